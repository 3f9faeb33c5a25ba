package logging

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// Guards against callers who can fill the log, and against lines that are left out without a trace.
func TestASamplerBoundsTheRateOfEachKind(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSampler(100 * time.Millisecond)
		written, leftOut := 0, 0
		for range 1000 {
			n, ok := s.Admit("a")
			if ok {
				written++
				leftOut += n
			}
			time.Sleep(time.Millisecond)
		}
		is.Equal(written, 10)
		is.Equal(leftOut, 9*99)
		_, ok := s.Admit("b")
		is.True(ok)
	})
}
