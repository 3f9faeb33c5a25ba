package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// After a decision that took long, under a steady stream of events, the next decision must wait for
// twice as long, four times while requests wait for processor time, and for minCooldown in any case, and must then be made
// without another event.
func TestCooldownIsProportionalToDecisionTime(t *testing.T) {
	for name, c := range map[string]struct {
		took       time.Duration
		overloaded bool
		want       time.Duration
	}{
		"cheap":                             {0, false, minCooldown},
		"usual":                             {3 * time.Millisecond, false, 6 * time.Millisecond},
		"very slow":                         {time.Second, false, maxCooldown},
		"cheap, but requests wait":          {0, true, minCooldown},
		"usual, but requests wait":          {3 * time.Millisecond, true, 12 * time.Millisecond},
		"very slow, and requests wait, too": {time.Second, true, maxOverloadCooldown},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				var cd cooldown
				began := time.Now()
				is.True(cd.elapsed(began)) // there was no decision before
				time.Sleep(c.took)
				cd.start(began, time.Now(), c.overloaded)
				is.True(!cd.elapsed(time.Now()))
				decided := time.Now()
				<-cd.due()
				is.Equal(time.Since(decided), c.want)
				is.True(cd.elapsed(time.Now()))
			})
		})
	}
}
