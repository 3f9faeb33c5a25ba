// Package quota accounts for what tenants use of the resources of all workers together: whether more fits under a
// tenant's cap, and how large its share of the workers is. It is pure: it has no clock and no I/O.
package quota

import "github.com/geraniumwick/geraniumwick/internal/resources"

// Admits reports whether an amount may be added to what is used under a cap. A resource whose cap is 0 is not bounded, and
// one of which nothing is added is not looked at: a cap that was lowered below the use holds up only what needs more of
// that resource.
func Admits(added, used, limit resources.Amount) bool {
	return admits(added.CPU, used.CPU, limit.CPU) && admits(added.MemoryMB, used.MemoryMB, limit.MemoryMB) && admits(added.GPU, used.GPU, limit.GPU)
}

func admits(added, used, limit int64) bool { return added == 0 || limit == 0 || used+added <= limit }

// DominantShare returns the largest share of the capacity that is used of any resource, divided by a weight (dominant
// resource fairness). Weights of 0 or less count as 1.
func DominantShare(used, capacity resources.Amount, weight float64) float64 {
	share := max(ratio(used.CPU, capacity.CPU), ratio(used.MemoryMB, capacity.MemoryMB), ratio(used.GPU, capacity.GPU))
	return share / effectiveWeight(weight)
}

// ratio returns part / whole, and 0 if the whole is 0.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
