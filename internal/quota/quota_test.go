package quota

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/resources"
)

// What fits under a cap: a resource without a cap is free, and one that nothing is added to holds up nothing.
func TestFits(t *testing.T) {
	for _, c := range []struct {
		name               string
		added, used, limit resources.Amount
		fits               bool
	}{
		{"up to the cap", resources.Amount{CPU: 2}, resources.Amount{CPU: 3}, resources.Amount{CPU: 5}, true},
		{"above the cap", resources.Amount{CPU: 3}, resources.Amount{CPU: 3}, resources.Amount{CPU: 5}, false},
		{"another resource binds", resources.Amount{CPU: 1, MemoryMB: 8, GPU: 0}, resources.Amount{CPU: 1, MemoryMB: 1, GPU: 0}, resources.Amount{CPU: 5, MemoryMB: 8}, false},
		{"no cap", resources.Amount{CPU: 1, MemoryMB: 8, GPU: 1}, resources.Amount{CPU: 100, MemoryMB: 100, GPU: 100}, resources.Amount{}, true},
		{"the cap was lowered below the use of a resource that it does not need", resources.Amount{CPU: 1}, resources.Amount{GPU: 4}, resources.Amount{CPU: 5, GPU: 2}, true},
		{"the cap was lowered below the use", resources.Amount{GPU: 1}, resources.Amount{GPU: 4}, resources.Amount{GPU: 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Admits(c.added, c.used, c.limit), c.fits)
		})
	}
}

// The dominant share is that of the resource of which a tenant has most, and counts by the tenant's weight.
func TestDominantShare(t *testing.T) {
	is := is.New(t)
	capacity := resources.Amount{CPU: 100, MemoryMB: 1000}
	is.Equal(DominantShare(resources.Amount{CPU: 20, MemoryMB: 500, GPU: 3}, capacity, 2), 0.25)
	is.Equal(DominantShare(resources.Amount{CPU: 20}, capacity, 0), 0.2) // without a weight
	is.Equal(DominantShare(resources.Amount{}, resources.Amount{}, 1), 0.0)
}

// Jobs that ask for more than any worker has do not make the sum of what is in doubt overflow.
func TestDoubtDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	var a Account
	for range 2000 {
		a.AddDoubt(resources.Amount{CPU: 1 << 40}.Times(20_000))
		is.Equal(a.Bound(resources.Amount{CPU: 7}), resources.Amount{CPU: 7})
	}
}

// What is in doubt counts, but for no more than the workers can hold that may run it.
func TestTheBoundOfAnAccount(t *testing.T) {
	is := is.New(t)
	a := NewBook().Account("t")
	a.Add(resources.Amount{CPU: 3})
	a.AddDoubt(resources.Amount{CPU: 10, MemoryMB: 4})
	is.Equal(a.Bound(resources.Amount{CPU: 6, MemoryMB: 6}), resources.Amount{CPU: 9, MemoryMB: 4})
	is.Equal(a.Bound(resources.Amount{}), resources.Amount{CPU: 3})
	a.RemoveDoubt(resources.Amount{CPU: 10, MemoryMB: 4})
	a.Remove(resources.Amount{CPU: 3})
	is.Equal(a.Bound(resources.Amount{CPU: 6, MemoryMB: 6}), resources.Amount{})
}
