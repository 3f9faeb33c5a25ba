package batch

import (
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/placement"
)

type (
	reservation  = placement.Reservation[*step, *worker]
	reservations = placement.Reservations[*step, *worker]
)

// maxRoomSearches is the number of searches for room to reserve within checkInterval. Each looks at the ends to come on all workers.
const maxRoomSearches = 2

// reservationsOf returns the reservations of a service.
func (s *State) reservationsOf(service string) *reservations {
	rs := s.reservations[service]
	if rs == nil {
		rs = placement.NewReservations[*step, *worker]()
		s.reservations[service] = rs
	}
	return rs
}

// noteHolders notes the places of the steps with reservations in the order of the decision that begins.
func (s *State) noteHolders(now time.Time) {
	clear(s.holders)
	for _, rs := range s.reservations {
		for r := range rs.All() {
			s.holders[r.Holder] = s.openStepEntry(r.Holder, now)
		}
	}
}

// beginPlacing notes which step is placed now, and endPlacing that none is.
func (s *State) beginPlacing(entry openStepEntry, now time.Time) {
	s.placing = entry
	s.largeWait = s.largeWaitBefore(entry.step, now)
}

func (s *State) endPlacing() { s.placing, s.largeWait = openStepEntry{}, Resources{} }

// reservesFrom reports whether a worker's room is reserved from the step that is placed now, see isServedBefore, and its tasks
// would take it. Long-running tasks that are down, and tasks that were kept from room for MaxWithheld, take it regardless.
func (s *State) reservesFrom(st *step, w *worker, now time.Time) bool {
	r := w.reservation
	if r == nil || r.Holder == st || s.placing.step != st {
		return false
	}
	if st.spec.BestEffort || s.placing.restart || st.ignoresReservations(now) {
		return false
	}
	if holder, known := s.holders[r.Holder]; !known || !holder.isServedBefore(s.placing) {
		return false
	}
	return !r.Admits(st.reserved, s.expectedEnd(st, now))
}

// isServedBefore reports whether what is reserved for a step is kept from another one: the step goes before it, or the other one
// is long-running and of no higher priority, so that it would keep the room for good.
func (e openStepEntry) isServedBefore(o openStepEntry) bool {
	if o.step.spec.LongRunning {
		return e.priority <= o.priority
	}
	return e.compare(o) < 0
}

// ignoresReservations reports whether reservations have kept tasks of the step from room for long enough.
func (st *step) ignoresReservations(now time.Time) bool {
	since := st.waits.withheldSince
	return !since.IsZero() && now.Sub(since) >= placement.MaxWithheld
}

// seekRoom does what can be done for a task that has found no room: its size is noted, and room is reserved for it.
func (s *State) seekRoom(st *step, t *task, reason waitReason, workers []*worker, now time.Time) {
	switch {
	case reason == heldByReservation && st.waits.withheldSince.IsZero():
		st.waits.withheldSince = now
	case reason == heldByRoom && !st.spec.BestEffort:
		s.noteLargeWait(st, now)
		s.reserveRoom(st, t, workers, now)
	}
}

// isLarge reports whether the tasks of a step need more than a typical short one. Smaller ones get room by their order alone.
func (s *State) isLarge(st *step) bool {
	return st.reserved.CPU > s.shortDemandOf(s.queueOf(st.job).Service).sizes.Typical()
}

// reserveRoom reserves room for a task of a step on the worker that is expected to have it first.
func (s *State) reserveRoom(st *step, t *task, workers []*worker, now time.Time) {
	q := s.queueOf(st.job)
	if s.roomSearches <= 0 || st.spec.Gang || q.RequiresTicket || t.suspected() || !s.isLarge(st) {
		return
	}
	rs := s.reservationsOf(q.Service)
	if !rs.MayReserve(st, st.reserved, serviceCPU(q.Service, workers), now) {
		return
	}
	s.roomSearches--
	w, o := s.firstOutlook(st, t, &q, workers, now)
	if w == nil {
		return
	}
	w.reservation = rs.Reserve(st, w, st.reserved, o, now)
	s.holders[st] = s.placing
	s.event(Event{
		Name: "room.reserved", Job: st.job.ID, Task: TaskID{Job: st.job.ID, Occurrence: st.occ.number, Step: st.number}, Worker: w.info.ID,
		Detail: fmt.Sprintf("it needs %s, expected to be free in %s", st.reserved, o.Ready.Sub(now).Round(time.Millisecond)),
		Inputs: fmt.Sprintf("free now: %s; %d reservations of %d/1000 CPU", w.free(), rs.Len(), rs.ReservedCPU()),
	})
}

// serviceCPU returns the CPU of those of the workers that belong to a service, in thousandths of a core.
func serviceCPU(service string, workers []*worker) int64 {
	var cpu int64
	for _, w := range workers {
		if w.info.Service == service {
			cpu += w.info.Capacity.CPU
		}
	}
	return cpu
}

// firstOutlook returns the worker that is expected to have room for a task first, within MaxHold; nil if there is none.
func (s *State) firstOutlook(st *step, t *task, q *Queue, workers []*worker, now time.Time) (*worker, placement.Outlook) {
	var first *worker
	var best placement.Outlook
	for _, w := range workers {
		if w.reservation != nil || w.info.Service != q.Service || !st.reserved.Fits(w.info.Capacity) || st.reserved.Fits(w.free()) {
			continue
		}
		if !w.mayHaveRoom(st.reserved, now) || st.violates(w) != notRejected || t.mustAvoid(st, w, now) {
			continue
		}
		o, ok := placement.Forecast(w.free(), s.endsOn(w, now), st.reserved, now, now.Add(placement.MaxHold))
		if ok && (first == nil || o.Compare(best) < 0) {
			first, best = w, o
		}
	}
	return first, best
}

// noteReservedStart notes that a task is about to be started on a worker: the reservation of its step has served its purpose, and
// one of another step there has less room besides.
func (s *State) noteReservedStart(st *step, w *worker, now time.Time) {
	if r := s.reservationsOf(w.info.Service).OfHolder(st); r != nil {
		s.releaseRoom(r, "a task of the step starts")
	}
	if r := w.reservation; r != nil {
		r.NoteStart(st.reserved, s.expectedEnd(st, now))
	}
}

// reviewReservations renews the forecasts of all reservations, and ends those that have lost their purpose or their worker, or
// whose room does not come in time.
func (s *State) reviewReservations(now time.Time) {
	s.roomSearches = maxRoomSearches
	for _, rs := range s.reservations {
		rs.ForgetPauses(now)
		for r := range rs.All() {
			s.reviewReservation(r, now)
		}
	}
}

func (s *State) reviewReservation(r *reservation, now time.Time) {
	switch {
	case !r.Holder.isOpen || r.Holder.waiting == 0:
		s.releaseRoom(r, "no task of the step waits")
		return
	case !r.Worker.usable(s, now):
		s.releaseRoom(r, "its worker may get no tasks")
		return
	}
	o, ok := placement.Forecast(r.Worker.free(), s.endsOn(r.Worker, now), r.Need, now, r.Until)
	if !ok || !now.Before(r.Until) {
		s.giveUpRoom(r, now)
		return
	}
	r.Update(o)
}

// releaseIfHeldUp ends the reservation of a step that has just been considered, if something else than room keeps its tasks from
// being started, such as the cap of its tenant.
func (s *State) releaseIfHeldUp(st *step) {
	if _, holds := s.holders[st]; !holds || st.waits.reason.lacksRoom() {
		return
	}
	if r := s.reservationsOf(s.queueOf(st.job).Service).OfHolder(st); r != nil {
		s.releaseRoom(r, "the step waits for something else: "+st.waits.reason.String())
	}
}

// lacksRoom reports whether a step that waits for this reason starts once it has room, or once the start that it has room for is
// recorded or may be sent.
func (r waitReason) lacksRoom() bool {
	switch r {
	case heldByRoom, heldByShare, heldByLikeStep, heldByReservation, heldByWithheldRoom, heldByStartRecord, heldBySendRate:
		return true
	default:
		return false
	}
}

// releaseRoom ends a reservation.
func (s *State) releaseRoom(r *reservation, reason string) {
	s.reservationsOf(r.Worker.info.Service).Release(r)
	s.noteReleased(r, reason)
}

// giveUpRoom ends a reservation whose forecast was wrong.
func (s *State) giveUpRoom(r *reservation, now time.Time) {
	s.reservationsOf(r.Worker.info.Service).GiveUp(r, now)
	s.noteReleased(r, "the room is not free in time")
}

func (s *State) noteReleased(r *reservation, reason string) {
	r.Worker.reservation = nil
	delete(s.holders, r.Holder)
	st := r.Holder
	s.event(Event{Name: "room.released", Job: st.job.ID, Task: TaskID{Job: st.job.ID, Occurrence: st.occ.number, Step: st.number}, Worker: r.Worker.info.ID, Detail: reason})
}

// describeReservation describes for the log the first reservation that keeps tasks of a step from room.
func (s *State) describeReservation(st *step, now time.Time) string {
	q := s.queueOf(st.job)
	for _, w := range s.sortedWorkers() {
		if s.reservesFrom(st, w, now) && st.suits(w, &q, now) {
			r := w.reservation
			return fmt.Sprintf("%s is reserved for %s/%d/%d, which needs %s, expected to be free in %s, for another %s at most",
				w.info.ID, r.Holder.job.ID, r.Holder.occ.number, r.Holder.number, r.Need, r.Ready.Sub(now).Round(time.Millisecond), r.Until.Sub(now).Round(time.Millisecond))
		}
	}
	return "no reservation"
}

// Reservations is what is reserved in one service.
type Reservations struct {
	Service string
	Held    int
	// CPU is reserved, and ShortDemand what sufficed for short tasks most of the time lately, in thousandths of a core.
	CPU, ShortDemand int64
}

// Reservations returns what is reserved in each service that has had short tasks or reservations.
func (s *State) Reservations() []Reservations {
	var out []Reservations
	for service, d := range s.shortDemands {
		rs := s.reservationsOf(service)
		out = append(out, Reservations{Service: service, Held: rs.Len(), CPU: rs.ReservedCPU(), ShortDemand: d.cpu.High()})
	}
	return out
}
