package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Pattern: a decision that takes long, under a stream of events. The next one waits for
// twice as long, and is taken without another event.
func TestRestFollowsWhatADecisionTook(t *testing.T) {
	for name, c := range map[string]struct{ took, rest time.Duration }{
		"cheap":     {0, 0},
		"usual":     {3 * time.Millisecond, 6 * time.Millisecond},
		"very slow": {time.Second, maxRest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var r rest
				began := time.Now()
				is.True(r.over(began)) // nothing was decided yet
				time.Sleep(c.took)
				r.begin(began, time.Now())
				is.Equal(r.over(time.Now()), c.rest == 0)
				if c.rest == 0 {
					return
				}
				decided := time.Now()
				<-r.due()
				is.Equal(time.Since(decided), c.rest)
				is.True(r.over(time.Now()))
			})
		})
	}
}
