package quota

import (
	"testing"

	"github.com/matryer/is"
)

// What fits under a cap: a resource without a cap is free, and one that nothing is added to holds up nothing.
func TestFits(t *testing.T) {
	for _, c := range []struct {
		name               string
		added, used, limit Amount
		fits               bool
	}{
		{"up to the cap", Amount{CPU: 2}, Amount{CPU: 3}, Amount{CPU: 5}, true},
		{"above the cap", Amount{CPU: 3}, Amount{CPU: 3}, Amount{CPU: 5}, false},
		{"another resource binds", Amount{1, 8, 0}, Amount{1, 1, 0}, Amount{CPU: 5, MemoryMB: 8}, false},
		{"no cap", Amount{1, 8, 1}, Amount{100, 100, 100}, Amount{}, true},
		{"the cap was lowered below the use of a resource that it does not need", Amount{CPU: 1}, Amount{GPU: 4}, Amount{CPU: 5, GPU: 2}, true},
		{"the cap was lowered below the use", Amount{GPU: 1}, Amount{GPU: 4}, Amount{GPU: 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.added.Fits(c.used, c.limit), c.fits)
		})
	}
}

// The dominant share is that of the resource of which a tenant has most, and counts by the tenant's weight.
func TestDominantShare(t *testing.T) {
	is := is.New(t)
	capacity := Amount{CPU: 100, MemoryMB: 1000}
	is.Equal(DominantShare(Amount{CPU: 20, MemoryMB: 500, GPU: 3}, capacity, 2), 0.25)
	is.Equal(DominantShare(Amount{CPU: 20}, capacity, 0), 0.2) // without a weight
	is.Equal(DominantShare(Amount{}, Amount{}, 1), 0.0)
}

// What is in doubt counts, but for no more than the workers can hold that may run it.
func TestTheBoundOfAnAccount(t *testing.T) {
	is := is.New(t)
	a := NewBook().Account("t")
	a.Add(Amount{CPU: 3})
	a.AddDoubt(Amount{CPU: 10, MemoryMB: 4})
	is.Equal(a.Bound(Amount{CPU: 6, MemoryMB: 6}), Amount{CPU: 9, MemoryMB: 4})
	is.Equal(a.Bound(Amount{}), Amount{CPU: 3})
	a.RemoveDoubt(Amount{CPU: 10, MemoryMB: 4})
	a.Remove(Amount{CPU: 3})
	is.Equal(a.Bound(Amount{CPU: 6, MemoryMB: 6}), Amount{})
}
