package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// Guards against a reason that the metrics name although no task waits for it any more.
func TestTheWaitGaugesFollowTheState(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	s := batch.New(1, batch.Timing{})
	now := time.Unix(1_000_000, 0)
	s.AddJob(&batch.Job{ID: "j", Accepted: now, Spec: batch.Spec{Steps: []batch.Step{{Count: 3}}}}, nil, false, now)
	s.Plan(now)
	updateWaitGauges(scope, s.WaitingTasks(now.Add(4*time.Second)))
	gauges := scope.Snapshot().Gauges()
	is.Equal(gauges["tasks_waiting+reason=no-worker"].Value(), 3.0)
	is.Equal(gauges["tasks_waiting_age+reason=no-worker"].Value(), 4.0)
	is.Equal(gauges["tasks_waiting+reason=room"].Value(), 0.0)
	s.Cancel("j", now)
	updateWaitGauges(scope, s.WaitingTasks(now.Add(4*time.Second)))
	gauges = scope.Snapshot().Gauges()
	is.Equal(gauges["tasks_waiting+reason=no-worker"].Value(), 0.0)
	is.Equal(gauges["tasks_waiting_age+reason=no-worker"].Value(), 0.0)
}

func TestReservationsOfEachServiceAreShown(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	updateReservationGauges(scope, []batch.Reservations{{Service: "svc", Held: 2, CPU: 9500, ShortDemand: 40_000}})
	gauges := scope.Snapshot().Gauges()
	is.Equal(gauges["reservations_held+service=svc"].Value(), 2.0)
	is.Equal(gauges["reserved_cores+service=svc"].Value(), 9.5)
	is.Equal(gauges["short_task_demand_cores+service=svc"].Value(), 40.0)
}
