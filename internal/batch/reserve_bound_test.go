package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a reserve that withholds room from a long-running task while at least half of the CPU of its service is
// free and the room suffices for two such tasks, however much short tasks have used before.
func TestTheReserveWithholdsNothingWhereHalfIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newTestState()
		need := int64(rapid.IntRange(1, 4000).Draw(t, "need"))
		j := addJob(s, "j", "q", now, longRunningStep(1, need, 0))
		s.shortDemandOf("svc").cpu.Observe(int64(rapid.IntRange(0, 40_000).Draw(t, "CPU of short tasks")))
		var capacity, used int64
		room := 0
		for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
			id := WorkerID(fmt.Sprint("w", i))
			cpu := int64(rapid.IntRange(1, 4).Draw(t, "cores")) * 1000
			addWorker(s, id, Resources{CPU: cpu, MemoryMB: 4000}, now)
			w := s.workers[id]
			w.used.CPU = int64(rapid.IntRange(0, int(cpu)).Draw(t, "used"))
			capacity, used = capacity+cpu, used+w.used.CPU
			room += int(w.free().CPU / need)
		}
		if 2*used >= capacity || room < 2 {
			t.Skip("no such room")
		}
		if !s.keepsHeadroom(j.occs[0].steps[0], s.usable(now), now.Add(time.Second)) {
			t.Fatalf("withheld: %d of %d in use, %d needed, room for %d", used, capacity, need, room)
		}
	})
}
