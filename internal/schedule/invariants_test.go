package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// smallEpisodes returns short versions of the hardest episodes. No jobs arrive towards their end,
// so that all jobs can finish.
func smallEpisodes() []scenario {
	shift := between(0.25, 0.5, 200, 500)
	return []scenario{
		{name: "noisy waves", load: constant(0.35), noiseFactor: square(3), length: 1800, lastSubmit: 600},
		{name: "all at once", load: shift, noiseFactor: square(3), wrongDeclarations: true, deadWorkers: 1, impossibleShare: 0.06, cancelAt: 300, outAt: 200, backAt: 500,
			length: 3000, lastSubmit: 600},
	}
}

// maximumSignals returns the largest allowed number of throttles of one attempt. Each cycle lasts
// at least twice as long as the one before, up to maximumThrottleTime, and has two throttles and
// two releases.
func maximumSignals(length time.Duration) int {
	cycles := 1
	for elapsed, throttleTime := time.Duration(0), minimumThrottleTime; elapsed < length; cycles++ {
		elapsed += throttleTime
		throttleTime = min(2*throttleTime, maximumThrottleTime)
	}
	return 4 * cycles
}

// TestInvariantsInSmallEpisodes runs the small episodes on a reduced version of each deployment.
func TestInvariantsInSmallEpisodes(t *testing.T) {
	const seed = 11
	for _, d := range deployments() {
		d.workers = 12
		d.perRack = 4
		for _, s := range smallEpisodes() {
			t.Run(d.name+" "+s.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := newSimCluster(d, s, New(seed, d.weights), true, seed).run()
				t.Logf("seed %d: finished %d, parked %d, evicted %d+%d, killed %d, most signals to one attempt %d",
					seed, r.finished, r.parked, r.evictions, r.forced, r.kills, r.maxThrottles)
				is.True(r.finished > 0)
				is.Equal(r.overCommitted, 0)       // never over capacity
				is.Equal(r.startedOutOfService, 0) // no start in a data centre that is out
				is.Equal(r.impossibleAccepted, 0)  // impossible declarations are refused
				is.Equal(r.failingNotParked, 0)    // jobs that always fail are parked
				is.Equal(r.unfinished, 0)          // everything else finishes
				is.True(r.maxThrottles <= maximumSignals(time.Duration(s.length)*time.Second))
			})
		}
	}
}

// TestSameSeedSameDecisions: a decision depends on the seed and the sequence of calls only.
func TestSameSeedSameDecisions(t *testing.T) {
	is := is.New(t)
	d := deployments()[0]
	d.workers = 12
	s := smallEpisodes()[1]
	s.length = 400
	a := newSimCluster(d, s, New(3, d.weights), true, 3).run()
	b := newSimCluster(d, s, New(3, d.weights), true, 3).run()
	is.Equal(a.work, b.work)
	is.Equal(a.p99(), b.p99())
	is.Equal(a.throttles, b.throttles)
	is.Equal(a.evictions, b.evictions)
}
