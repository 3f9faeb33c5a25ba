package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A tenant that sends many times its rate: as many jobs a second as the rate are within it, after a burst of a second.
func TestAHotTenantIsWithinItsRateForAPart(t *testing.T) {
	is := is.New(t)
	var r Rate
	now := time.Unix(1_000_000, 0)
	within := 0
	for i := range 1000 { // 10 s at 100 a second
		if r.Admit(5, now.Add(time.Duration(i)*10*time.Millisecond)) {
			within++
		}
	}
	is.True(within >= 50 && within <= 55)
}

// A tenant that sends one job a second at irregular times is within a rate of one, and a clock that is set back costs nothing.
func TestASlowTenantIsWithinItsRate(t *testing.T) {
	is := is.New(t)
	var r Rate
	now := time.Unix(1_000_000, 0)
	is.True(r.Admit(0, now)) // a rate of 0 counts as 1
	is.True(!r.Admit(1, now.Add(400*time.Millisecond)))
	is.True(r.Admit(1, now.Add(1100*time.Millisecond)))
	back := now.Add(-time.Hour)
	is.True(!r.Admit(1, back))
	is.True(r.Admit(1, back.Add(time.Second)))
}
