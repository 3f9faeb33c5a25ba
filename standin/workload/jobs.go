package workload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/fleet/work"
)

// Jobs returns n batch jobs of a deployment. Their CPU times are random between shortest and
// longest, and differ widely from what their class declares. Every eighth job is urgent and takes the
// shortest time.
func Jobs(deployment, run string, n int, shortest, longest time.Duration, seed uint64) []model.JobSpec {
	team, ordinary, urgent := model.Team("levy"), model.JobClass("recalculation"), model.JobClass("due-return")
	if deployment == Pallikkara {
		team, ordinary, urgent = "filterkeep", "monthly-report", "clinic-recall"
	}
	random := rand.New(rand.NewPCG(seed, 3))
	specs := make([]model.JobSpec, 0, n)
	for i := range n {
		w := work.Payload{
			CPUTime: shortest + time.Duration(random.Int64N(int64(longest-shortest)+1)),
			Noise:   0.01 + 0.04*random.Float64(),
		}
		spec := model.JobSpec{
			ID:    model.JobID(fmt.Sprintf("%s/%s-%05d", team, run, i+1)),
			Team:  team,
			Class: ordinary,
		}
		if i%8 == 7 {
			spec.Class = urgent
			w.CPUTime = shortest
		}
		spec.Payload, _ = json.Marshal(w)
		specs = append(specs, spec)
	}
	return specs
}
