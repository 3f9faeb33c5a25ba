package soak

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/standin/process"
)

// seeds are played by CI: one of all kinds of faults, and each seed that ever failed.
var seeds = []uint64{3}

// runTime is how long faults go on in each run of CI.
const runTime = 8 * time.Second

// Real processes under random faults keep the promises of docs/PROMISES.md.
func TestSoak(t *testing.T) {
	is := is.New(t)
	binary, err := process.Build(t.Context(), t.TempDir(), "github.com/geraniumwick/geraniumwick/cmd/geraniumwickd", "geraniumwickd")
	is.NoErr(err)
	for _, seed := range seeds {
		t.Logf("seed %d", seed)
		r, err := Run(context.Background(), Options{
			Seed: seed, Binary: binary, Dir: t.TempDir(), Instances: 3, Workers: 6, Callers: 3, Duration: runTime,
		})
		is.NoErr(err)
		t.Logf("%d jobs, %d starts, faults: %v", r.Accepted, r.Starts, r.Faults)
		is.Equal(r.Violations, []string{}) // no promise is broken
		is.True(r.Accepted > 0)
	}
}
