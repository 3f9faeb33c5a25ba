package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// Callers are refused while the store is away. Those that wait for long return later the longer the outage
// lasts, and not all at once; those that wait for a short time return often enough to find its end.
func TestRetryAfterFollowsTheOutage(t *testing.T) {
	const unknown = 0
	for name, c := range map[string]struct {
		outage, wait time.Duration
		spread       float64
		want         time.Duration
	}{
		"just begun":                {100 * time.Millisecond, unknown, 0, time.Second},
		"lasts":                     {4 * time.Second, unknown, 0, 4 * time.Second},
		"lasts, early caller":       {4 * time.Second, unknown, -1, 3 * time.Second},
		"lasts, late caller":        {4 * time.Second, unknown, 1, 5 * time.Second},
		"for minutes":               {5 * time.Minute, unknown, 0, 8 * time.Second},
		"a caller with a minute":    {4 * time.Second, time.Minute, 0, 4 * time.Second},
		"a caller with ten seconds": {4 * time.Second, 10 * time.Second, 0, 2500 * time.Millisecond},
		"a caller with two seconds": {4 * time.Second, 2 * time.Second, 1, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(retryAfter(c.outage, c.wait, c.spread), c.want)
		})
	}
}

// The outage is measured from the last answer of the store.
func TestRetryAfterCountsFromTheLastContact(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		i := newInstance(&fakeStore{})
		i.watcher.noteContact()
		is.Equal(i.RetryAfter(0), minRetryAfter)
		time.Sleep(4 * time.Second)
		after := i.RetryAfter(0)
		is.True(after >= 3*time.Second && after <= 5*time.Second)
		is.Equal(i.RetryAfter(3*time.Second), minRetryAfter)
	})
}
