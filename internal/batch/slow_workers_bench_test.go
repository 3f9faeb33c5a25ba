package batch

import (
	"fmt"
	"testing"
)

// BenchmarkJudgeWorkerSpeeds measures the comparison of all tasks with their peers, which a Plan makes each checkInterval, while a
// tenth of the workers is slow.
func BenchmarkJudgeWorkerSpeeds(b *testing.B) {
	for _, workers := range []int{490, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := loadedState(workers, workers)
			attempts := 0
			for _, w := range s.workers {
				for _, a := range w.attempts {
					attempts++
					a.listed, a.percent, a.lastMeasurement = true, fullPercent, 30
					if w.info.ID[len(w.info.ID)-1] == '0' {
						a.lastMeasurement = 2500
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.judgeWorkerSpeeds(now)
				s.Events()
			}
			b.ReportMetric(float64(attempts), "attempts")
		})
	}
}
