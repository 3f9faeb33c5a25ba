// Package quota accounts for what tenants use of the resources of all workers together: whether more fits under a
// tenant's cap, and how large its share of the workers is. It is pure: it has no clock and no I/O.
package quota

// Amount is an amount of each kind of resource.
type Amount struct {
	CPU      int64 // thousandths of a core
	MemoryMB int64
	GPU      int64
}

// Plus returns a + b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.MemoryMB + b.MemoryMB, a.GPU + b.GPU}
}

// Minus returns a - b.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.MemoryMB - b.MemoryMB, a.GPU - b.GPU}
}

// Times returns n times a.
func (a Amount) Times(n int) Amount {
	return Amount{int64(n) * a.CPU, int64(n) * a.MemoryMB, int64(n) * a.GPU}
}

// Min returns the smaller amount of each kind of resource.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.CPU, b.CPU), min(a.MemoryMB, b.MemoryMB), min(a.GPU, b.GPU)}
}

// Max returns the larger amount of each kind of resource.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPU, b.CPU), max(a.MemoryMB, b.MemoryMB), max(a.GPU, b.GPU)}
}

// Fits reports whether an amount may be added to what is used under a cap. A resource whose cap is 0 is not bounded, and
// one of which nothing is added is not looked at: a cap that was lowered below the use holds up only what needs more of
// that resource.
func (a Amount) Fits(used, limit Amount) bool {
	return fits(a.CPU, used.CPU, limit.CPU) && fits(a.MemoryMB, used.MemoryMB, limit.MemoryMB) && fits(a.GPU, used.GPU, limit.GPU)
}

func fits(added, used, limit int64) bool { return added == 0 || limit == 0 || used+added <= limit }

// DominantShare returns the largest share of the capacity that is used of any resource, divided by a weight (dominant
// resource fairness). Weights of 0 or less count as 1.
func DominantShare(used, capacity Amount, weight float64) float64 {
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
