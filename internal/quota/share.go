package quota

import "math"

// MaxLevel is the highest level of a share.
const MaxLevel = 4

// Level ranks a tenant by its weighted dominant share: 0 up to the fair one, and one more with each doubling beyond, up to
// MaxLevel. A tenant of a lower level goes first. Within a level the shares don't matter, so that the order by urgency holds
// among tenants that use about as much.
func Level(share, fair float64) int {
	if share <= fair || fair <= 0 {
		return 0
	}
	return min(1+int(math.Log2(share/fair)), MaxLevel)
}

// FairShare returns the weighted dominant share that each tenant has if those who want resources share them by their
// weights; 0 if nobody does.
func FairShare(weights []float64) float64 {
	var sum float64
	for _, w := range weights {
		sum += effectiveWeight(w)
	}
	if sum == 0 {
		return 0
	}
	return 1 / sum
}

// effectiveWeight returns a weight, or 1 in place of one that is 0 or less.
func effectiveWeight(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
