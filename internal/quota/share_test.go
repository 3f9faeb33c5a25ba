package quota

import (
	"testing"

	"github.com/matryer/is"
)

// The level of a tenant: its fair share is free, then each doubling is one more.
func TestLevels(t *testing.T) {
	is := is.New(t)
	fair := FairShare([]float64{1, 2, 0}) // a weight of 0 counts as 1
	is.Equal(fair, 0.25)
	for _, c := range []struct {
		share float64
		level int
	}{{0, 0}, {0.25, 0}, {0.26, 1}, {0.49, 1}, {0.5, 2}, {1.1, 3}, {1000, MaxLevel}} {
		is.Equal(Level(c.share, fair), c.level)
	}
	is.Equal(Level(1, FairShare(nil)), 0)
}
