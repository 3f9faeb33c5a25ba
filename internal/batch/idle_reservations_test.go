package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reserveForLarge adds a job of one task that needs a whole worker, on which three tasks of one core run for an hour, and reserves
// room for it.
func reserveForLarge(is *is.I, f *fleet, tenant string, st Step) *Job {
	f.add("running", "q", time.Hour, taskStep(3, 1000))
	f.run(fleetTick, nil)
	j := addJobOf(f.s, tenant, "large", "q", f.now, st)
	f.run(4*fleetTick, nil)
	is.Equal(f.s.Reservations()[0].Held, 1)
	return j
}

// expectRoomIsFree checks that a small task gets the room at once.
func expectRoomIsFree(is *is.I, f *fleet) {
	f.add("next", "q", time.Hour, taskStep(1, 1000))
	came := f.now
	f.run(10*fleetTick, nil)
	is.True(f.waited("next", came) <= 2*fleetTick) // its start record and its start
	is.Equal(f.s.Reservations()[0].Held, 0)
}

// Room is reserved for a large task; then the cap of its tenant is lowered so that it must not start. What is reserved goes to others.
func TestAHolderThatItsCapHoldsUpKeepsNoRoom(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 4000}, "a")
	f := newFleet(s, now)
	reserveForLarge(is, f, testTenant, taskStep(1, 4000))
	setCap(s, Resources{CPU: 3000})
	expectRoomIsFree(is, f)
}

// Each task of the holder is held back by itself: it pauses, since workers were lost after its last starts.
func TestAHolderThatPausesKeepsNoRoom(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	f := newFleet(s, now)
	j := reserveForLarge(is, f, "", longRunningStep(1, 4000, 0))
	task := &j.occs[0].steps[0].tasks[0]
	for i := range crashesToPause {
		task.suspicions = append(task.suspicions, Suspicion{Run: int64(i + 1), Worker: "gone"})
	}
	task.lostAt = f.now
	expectRoomIsFree(is, f)
}

// A worker moves to another service while room is reserved on it. The reservation ends once and is counted in neither service.
func TestAReservationEndsWhenItsWorkerChangesItsService(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	f := newFleet(s, now)
	reserveForLarge(is, f, "", taskStep(1, 4000))
	s.Events()
	info := s.workers["a"].info
	info.Service = "other"
	s.UpdateWorker(info, f.now)
	f.run(time.Second, nil)
	released := 0
	for _, e := range s.Events() {
		if e.Name == "room.released" {
			released++
		}
	}
	is.Equal(released, 1)
	for _, service := range []string{"svc", "other"} {
		is.Equal(s.reservationsOf(service).Len(), 0)
		is.Equal(s.reservationsOf(service).ReservedCPU(), int64(0))
	}
}
