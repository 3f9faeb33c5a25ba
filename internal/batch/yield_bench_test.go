package batch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlanOfHotTenants measures the decision in which two tenants with many waiting jobs rise above their fair shares.
func BenchmarkPlanOfHotTenants(b *testing.B) {
	for _, jobs := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				s, now := newSharesState(1, 1)
				for i := range 16 {
					addWorker(s, WorkerID(fmt.Sprintf("w%04d", i)), Resources{CPU: 32_000, MemoryMB: 128_000}, now)
				}
				for i := range jobs {
					addJobOf(s, []string{"hot", "small"}[i%2], fmt.Sprintf("j%d", i), "q", now.Add(-time.Duration(i)*time.Millisecond), taskStep(4, 1000))
				}
				s.Plan(now)
				s.MarkStored(s.TakeDirty(1 << 20))
				s.Events()
				b.StartTimer()
				s.Plan(now.Add(time.Millisecond))
			}
		})
	}
}
