package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// updateWaitGauges sets for each reason how many tasks wait for it, and for how many seconds the first of them has
// waited. A reason that no task waits for any more goes back to 0.
func updateWaitGauges(scope tally.Scope, waiting []batch.WaitingTasks) {
	for _, w := range waiting {
		tagged := scope.Tagged(map[string]string{"reason": w.Reason})
		tagged.Gauge("tasks_waiting").Update(float64(w.Count))
		tagged.Gauge("tasks_waiting_age").Update(w.Oldest.Seconds())
	}
}

// updateUnconfirmedGauges sets for each phase how many tasks have starts that are not known to run, and for how many
// seconds the first of them has been so. A phase without any goes back to 0.
func updateUnconfirmedGauges(scope tally.Scope, unconfirmed []batch.UnconfirmedTasks) {
	for _, u := range unconfirmed {
		tagged := scope.Tagged(map[string]string{"phase": u.Phase})
		tagged.Gauge("tasks_unconfirmed").Update(float64(u.Count))
		tagged.Gauge("tasks_unconfirmed_age").Update(u.Oldest.Seconds())
	}
}
