package bootclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheClockNeverGoesBack(t *testing.T) {
	is := is.New(t)
	last := Now()
	is.True(last > 0)
	for range 1000 {
		now := Now()
		is.True(now >= last)
		last = now
	}
}

func BenchmarkNow(b *testing.B) {
	var last time.Duration
	for range b.N {
		last = Now()
	}
	_ = last
}
