package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// coreUnits is the number of units of CPU in a core.
const coreUnits = 1000

// updateReservationGauges sets for each service how many reservations of room are held, how many cores they reserve, and how many
// cores sufficed for short tasks most of the time lately, which new long-running tasks leave to them.
func updateReservationGauges(scope tally.Scope, services []batch.Reservations) {
	for _, r := range services {
		tagged := scope.Tagged(map[string]string{"service": r.Service})
		tagged.Gauge("reservations_held").Update(float64(r.Held))
		tagged.Gauge("reserved_cores").Update(float64(r.CPU) / coreUnits)
		tagged.Gauge("short_task_demand_cores").Update(float64(r.ShortDemand) / coreUnits)
	}
}
