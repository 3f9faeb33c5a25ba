package batch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/placement"
)

// fleet plays workers that run each task for as long as its job says.
type fleet struct {
	s         *State
	now       time.Time
	durations map[string]time.Duration // by the job; a task without one does not end
	began     map[attemptKey]time.Time
	startedAt map[string]time.Time // when the first task of a job was started
	seq       int64
}

func newFleet(s *State, now time.Time) *fleet {
	return &fleet{s: s, now: now, durations: map[string]time.Duration{}, began: map[attemptKey]time.Time{}, startedAt: map[string]time.Time{}}
}

// add adds a job of one step whose tasks run for a time.
func (f *fleet) add(id, queue string, runs time.Duration, st Step) {
	f.durations[id] = runs
	addJob(f.s, id, queue, f.now, st)
}

// tick reports what all workers run, plans, and lets fleetTick pass.
func (f *fleet) tick() {
	for _, w := range f.s.sortedWorkers() {
		f.report(w)
	}
	planAll(f.s, f.now, func(a Action) {
		f.began[attemptKey{a.Task, a.Run}] = f.now
		if _, known := f.startedAt[a.Task.Job]; !known {
			f.startedAt[a.Task.Job] = f.now
		}
		f.s.StartAnswered(a.Worker, a.Task, a.Run, AnswerOK, f.now)
	})
	f.now = f.now.Add(fleetTick)
}

// fleetTick is the time between two reports of each worker.
const fleetTick = 50 * time.Millisecond

func (f *fleet) report(w *worker) {
	r := Report{Incarnation: w.info.Incarnation, Clock: f.now.UnixMilli(), RequestedAt: f.now}
	for key, a := range w.attempts {
		ran, runs := f.now.Sub(f.began[key]), f.durations[key.task.Job]
		if runs == 0 || ran < runs {
			percent := 0
			if runs > 0 {
				percent = int(100 * ran / runs)
			}
			r.Running = append(r.Running, RunningAttempt{Task: key.task, Run: a.run, Percent: percent})
			continue
		}
		f.seq++
		r.Ended = append(r.Ended, EndedAttempt{Seq: f.seq, Task: key.task, Run: a.run, Reason: EndDone})
	}
	f.s.LeaseRenewed(w.info.ID, f.now.Add(time.Hour), true)
	f.s.ApplyReport(w.info.ID, r, f.now)
}

// run ticks for a time; before each tick it calls next with the number of the tick.
func (f *fleet) run(during time.Duration, next func(tick int)) {
	for i := range int(during / fleetTick) {
		if next != nil {
			next(i)
		}
		f.tick()
	}
}

// waited returns how long after a time the first task of a job was started; the time that has passed if none was.
func (f *fleet) waited(id string, since time.Time) time.Duration {
	if at, started := f.startedAt[id]; started {
		return at.Sub(since)
	}
	return f.now.Sub(since)
}

// largeAmongSmall plays four workers of four cores on which small tasks of one core arrive as fast as they end, each for a second
// by its estimate and for as long as given in truth. Half a second after the small tasks fill the fleet a job of one large task of four
// cores comes, which goes before the small ones that come later. It returns the fleet and when the large job came.
func largeAmongSmall(runs time.Duration) (*fleet, time.Time) {
	s, now := newTestState("a", "b", "c", "d")
	f := newFleet(s, now)
	small := func(i int) {
		f.add("small"+time.Duration(i).String(), "q", runs, taskStep(1, 1000))
	}
	f.run(2*time.Second, small)
	came := f.now
	f.add("large", "q", time.Second, taskStep(1, 4000))
	f.run(4*time.Second, func(i int) { small(1000 + i) })
	return f, came
}

// Guards against a large task that waits for as long as small ones come that need less: each took the room that another gave back.
func TestALargeTaskStartsAmongSmallOnes(t *testing.T) {
	is := is.New(t)
	f, came := largeAmongSmall(time.Second)
	is.True(f.waited("large", came) <= time.Second+10*fleetTick) // a worker runs empty in the duration of a small task
}

// The forecast is wrong: small tasks run for far longer than they say, and learned nothing is. The reservation ends after MaxHold.
func TestRoomThatDoesNotComeIsNotReservedForLong(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	f := newFleet(s, now)
	f.add("small", "q", time.Hour, taskStep(3, 1000))
	f.run(fleetTick, nil)
	f.add("large", "q", time.Second, taskStep(1, 4000))
	f.run(placement.MaxHold/2, nil)
	is.Equal(s.Reservations()[0].Held, 1)
	f.add("next", "q", 10*time.Second, taskStep(1, 1000)) // fits into what is reserved, and ends too late for it
	f.run(fleetTick, nil)
	is.Equal(s.WaitingTasks(f.now)[heldByReservation].Count, 1)
	came := f.now
	f.run(placement.MaxWithheld+4*fleetTick, nil)
	is.True(f.waited("next", came) <= placement.MaxWithheld+2*fleetTick)
	f.run(placement.MaxHold, nil)
	is.Equal(s.Reservations()[0].Held, 0)
}

// A worker runs three small tasks and has one core free; its room is reserved for a large one that waits. What ends before may
// run there, what does not may not.
func TestReservedRoomIsUsedUntilItIsNeeded(t *testing.T) {
	for _, c := range []struct {
		load   string
		queue  string
		next   Step
		starts bool
	}{
		{"a task that ends before the room is ready", "q", Step{Count: 1, Resources: Resources{CPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond}, true},
		{"a task that ends too late", "q", Step{Count: 1, Resources: Resources{CPU: 1000, MemoryMB: 100}, Estimate: 5 * time.Second}, false},
		{"a task of which nothing tells when it ends", "late", Step{Count: 1, Resources: Resources{CPU: 1000, MemoryMB: 100}}, false},
		{"a new long-running task", "q", longRunningStep(1, 1000, 0), false},
		{"a best-effort task, which takes no CPU", "late", bestEffortStep("fill", 1), true},
	} {
		t.Run(c.load, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			f := newFleet(s, now)
			f.add("small", "q", time.Second, taskStep(3, 1000))
			f.run(fleetTick, nil)
			f.add("large", "q", time.Second, taskStep(1, 4000))
			f.run(5*fleetTick, nil)
			is.Equal(s.Reservations()[0].Held, 1)
			f.add("next", c.queue, time.Second, c.next)
			f.run(2*fleetTick, nil)
			_, started := f.startedAt["next"]
			is.Equal(started, c.starts)
		})
	}
}

// Reserved room is no reason to keep a long-running task down that has run before: it goes first whatever waits.
func TestReservationsKeepNoLongRunningTaskDown(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	f := newFleet(s, now)
	f.add("lasting", "q", 0, longRunningStep(1, 1000, 0))
	f.run(fleetTick, nil)
	on := WorkerID("a")
	if s.workers["b"].longRunning > 0 {
		on = "b"
	}
	f.add("small", "q", time.Second, taskStep(6, 1000))
	f.run(fleetTick, nil)
	f.add("large", "q", time.Second, taskStep(1, 4000))
	f.run(5*fleetTick, nil)
	for _, a := range s.workers[on].attempts {
		if a.step.spec.LongRunning {
			s.remove(a, f.now)
		}
	}
	f.tick()
	is.Equal(s.WaitingTasks(f.now)[heldByReservation].Count, 0)
	is.Equal(s.workers["a"].longRunning+s.workers["b"].longRunning, 1)
}

// A reservation ends with its worker: lost or drained, the task gets room elsewhere.
func TestAReservationEndsWithItsWorker(t *testing.T) {
	for _, c := range []struct {
		failure string
		fail    func(f *fleet, w *worker)
	}{
		{"its worker is silent", func(f *fleet, w *worker) { f.s.MarkUnreachable(w.info.ID) }},
		{"its worker leaves the registry", func(f *fleet, w *worker) { f.s.RemoveWorker(w.info.ID) }},
		{"its worker drains", func(f *fleet, w *worker) {
			info := w.info
			info.Draining = true
			f.s.UpdateWorker(info, f.now)
		}},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a", "b")
			f := newFleet(s, now)
			f.add("small", "q", time.Second, taskStep(6, 1000))
			f.run(fleetTick, nil)
			f.add("large", "q", time.Second, taskStep(1, 4000))
			f.run(5*fleetTick, nil)
			r := s.reservationsOf("svc").OfHolder(s.jobs["large"].occs[0].steps[0])
			is.True(r != nil)
			c.fail(f, r.Worker)
			s.Plan(f.now.Add(checkInterval))
			is.True(r.Worker.reservation == nil)
			released := false
			for _, e := range s.Events() {
				released = released || e.Name == "room.released" && strings.Contains(e.Detail, "its worker")
			}
			is.True(released) // the log tells why
		})
	}
}

// A new owner has learned nothing: it goes by the estimates, and starts what fits.
func TestATakeOverForgetsReservations(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	f := newFleet(s, now)
	f.add("small", "q", time.Second, taskStep(3, 1000))
	f.run(fleetTick, nil)
	f.add("large", "q", time.Second, taskStep(1, 4000))
	f.run(5*fleetTick, nil)
	is.Equal(s.Reservations()[0].Held, 1)
	next := takeOver(s, f.now, "a")
	running := []RunningAttempt{}
	for key := range s.workers["a"].attempts {
		running = append(running, RunningAttempt{Task: key.task, Run: key.run, Percent: 10})
	}
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 5000, Running: running}, f.now)
	addJob(next, "urgent", "q", f.now.Add(-time.Second), taskStep(1, 1000))
	is.Equal(len(startActions(planUntilIdle(next, f.now))), 1) // it goes before the large one
}

// Guards against small tasks that are spread over the emptiest workers while a large one waits, which then fits on none. They take
// the room of workers that the large one does not fit on anyway.
func TestSmallTasksLeaveRoomForLargeOnes(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c")
	f := newFleet(s, now)
	f.add("lasting", "q", 0, longRunningStep(2, 1500, 1))
	f.run(fleetTick, nil) // two workers have 2.5 cores left
	f.add("small", "q", time.Hour, taskStep(1, 500))
	f.add("large", "q", time.Second, taskStep(2, 4000)) // one of its tasks starts, the other finds no room
	f.run(2*time.Second, nil)
	f.add("more", "q", time.Hour, taskStep(4, 500))
	f.run(fleetTick, nil)
	empty := 0
	for _, w := range s.workers {
		if w.free().CPU == 4000 {
			empty++
		}
	}
	is.Equal(empty, 1)
}
