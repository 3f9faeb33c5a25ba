package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// checkInterval is the pause between two searches for stuck tasks and lapsed leases.
	checkInterval = 250 * time.Millisecond
)

// Plan returns the orders to send now.
func (s *State) Plan(now time.Time) []Action {
	if now.Sub(s.checked) >= checkInterval {
		s.checked = now
		s.shortUsual += shortRate * (float64(s.shortCPU) - s.shortUsual)
		s.lapse(now)
		s.stuck(now)
		s.movePaced(now)
	}
	s.openDue(now)
	s.place(now)
	s.sendStops(now)
	out := s.actions
	s.actions = nil
	return out
}

// openDue opens the occurrences whose time has come.
func (s *State) openDue(now time.Time) {
	for o := range s.scheduled {
		if o.due.After(now) {
			continue
		}
		delete(s.scheduled, o)
		for _, st := range o.steps {
			s.openStep(st, now)
		}
	}
}

// sendStops orders the ends that were decided, and repeats those without an answer.
func (s *State) sendStops(now time.Time) {
	for a := range s.stops {
		if a.worker.silent || now.Sub(a.stopSent) < s.limits.StopRetry {
			continue
		}
		a.stopSent = now
		w := a.worker
		s.actions = append(s.actions, Action{Kind: ActionStop, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Task: a.id(), Run: a.run})
	}
}

// urgency is how an open step stands against the objective of its job.
type urgency struct {
	// latest is when its tasks must start for the job to meet its objective.
	latest time.Time
	// missed says that the objective cannot be met any more.
	missed bool
}

// urgency reckons with the estimates: a job's objective is a multiple of its longest chain.
func (s *State) urgency(st *step, now time.Time) urgency {
	q := s.queueOf(st.job)
	from := st.job.Accepted
	if !st.occ.due.IsZero() {
		from = st.occ.due
	}
	objective := from.Add(time.Duration(q.Stretch*float64(st.job.whole)) + q.Slack)
	latest := objective.Add(-st.rest)
	return urgency{latest: latest, missed: now.After(latest) && !st.spec.LongRunning}
}

// chain returns the longest sum of estimates along the steps.
func (s *Spec) chain() time.Duration {
	var longest time.Duration
	for i := range s.Steps {
		if len(s.Steps[i].After) == 0 {
			longest = max(longest, s.chainFrom(i))
		}
	}
	return longest
}

// chainFrom returns the longest sum of estimates from a step to the end.
func (s *Spec) chainFrom(step int) time.Duration {
	rest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= step; i-- {
		rest[i] += s.Steps[i].Estimate
		for _, before := range s.Steps[i].After {
			rest[before] = max(rest[before], rest[i])
		}
	}
	return rest[step]
}

// candidate is an open step with its place in the order.
type candidate struct {
	step     *step
	priority int
	urgency
}

// queue returns the open steps, most urgent first. A job that will miss its objective comes
// after those of its priority that can still meet theirs.
func (s *State) queue(now time.Time) []candidate {
	out := make([]candidate, 0, len(s.open))
	for st := range s.open {
		out = append(out, candidate{step: st, priority: s.queueOf(st.job).Priority, urgency: s.urgency(st, now)})
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			compareBool(a.missed, b.missed),
			a.latest.Compare(b.latest),
			cmp.Compare(a.step.job.ID, b.step.job.ID),
			cmp.Compare(a.step.occ.number, b.step.occ.number),
			cmp.Compare(a.step.number, b.step.number),
		)
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// place starts as many waiting tasks as there is room for.
func (s *State) place(now time.Time) {
	if len(s.open) == 0 {
		return
	}
	workers := s.usable(now)
	if len(workers) == 0 {
		return
	}
	s.plan++
	var refused refusals
	for _, c := range s.queue(now) {
		if refused.cover(c.step) {
			continue
		}
		if c.step.spec.Gang {
			s.placeGang(c.step, workers, now)
		} else {
			if !s.placeStep(c.step, workers, now) {
				refused.add(c.step)
			}
		}
		if c.step.waiting == 0 {
			delete(s.open, c.step)
		}
	}
}

// usable returns the workers that may get tasks, in a fixed order.
func (s *State) usable(now time.Time) []*worker {
	out := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		if w.usable(s, now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// placeStep starts the waiting tasks of a step until one finds no worker, and reports
// whether all found one.
func (s *State) placeStep(st *step, workers []*worker, now time.Time) bool {
	if st.announced && !st.durable {
		return true
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.attempts) > 0 || t.doubtful && len(s.unresolved) > 0 {
			continue
		}
		if st.spec.LongRunning && t.lastRun == 0 && !s.spares(st, workers, now) {
			return true
		}
		w := s.choose(st, t, workers, now)
		if w == nil {
			return false
		}
		if !st.durable {
			s.announce(st)
			return true
		}
		s.startTask(st, i, s.nextRun(t.lastRun), w, now)
	}
	return true
}

// refusals are the steps for which no worker was found in a plan. A step that asks for no
// less on the same terms finds none either.
type refusals []*step

func (r *refusals) add(st *step) { *r = append(*r, st) }

func (r refusals) cover(st *step) bool {
	return slices.ContainsFunc(r, func(o *step) bool {
		return o.job.Service == st.job.Service && o.spec.Filler == st.spec.Filler &&
			(!st.spec.Filler || o.spec.Image == st.spec.Image) &&
			(o.spec.Label == "" || o.spec.Label == st.spec.Label) &&
			o.spec.MaxPerWorker == 0 && o.spec.Need.Fits(st.spec.Need)
	})
}

const (
	// shortRate is the part by which the mean of what short tasks reserve follows at each check.
	shortRate = 0.05
	// shortReserve is how many times that mean stays free of new tasks that last, and
	// maxReserve the most of all processors that does.
	shortReserve = 6.0
	maxReserve   = 0.25
	// reserveWait is the wait after which a task that lasts starts without regard to the reserve.
	reserveWait = 60 * time.Second
)

// spares reports whether a new task that lasts leaves enough room to short tasks, which
// would otherwise wait for as long as it lasts. The longer it has waited, the less is kept.
func (s *State) spares(st *step, workers []*worker, now time.Time) bool {
	var free, capacity int64
	for _, w := range workers {
		free += w.free().CPU
		capacity += w.info.Capacity.CPU
	}
	reserve := min(shortReserve*s.shortUsual, maxReserve*float64(capacity))
	reserve *= max(0, 1-now.Sub(st.job.Accepted).Seconds()/reserveWait.Seconds())
	return float64(free-st.reserved.CPU+s.shortCPU) >= reserve
}

// countShort keeps account of what short tasks reserve.
func (s *State) countShort(a *attempt, by int64) {
	if !a.step.spec.LongRunning {
		s.shortCPU += by * a.reserved.CPU
	}
}

// placeGang starts all members at once or none.
func (s *State) placeGang(st *step, workers []*worker, now time.Time) {
	if st.announced && !st.durable {
		return
	}
	run := st.gangRun
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.attempts) > 0 || t.doubtful && len(s.unresolved) > 0 {
			return
		}
		run = max(run, t.lastRun)
	}
	if !st.durable {
		s.announce(st)
		return
	}
	st.gangRun = s.nextRun(run)
	checkpoint := st.tasks[0].checkpoint
	var placed []*attempt
	for i := range st.tasks {
		st.tasks[i].checkpoint = checkpoint
		w := s.choose(st, &st.tasks[i], workers, now)
		if w == nil {
			s.undo(st, placed)
			return
		}
		placed = append(placed, s.reserve(st, i, st.gangRun, w, now))
	}
	for _, a := range placed {
		s.send(a)
	}
}

// undo takes back reservations of which no start has been sent.
func (s *State) undo(st *step, placed []*attempt) {
	for _, a := range placed {
		t := a.task()
		a.worker.detach(a)
		s.countShort(a, -1)
		st.job.attempts--
		t.attempts = nil
		st.waiting++
	}
}

// nextRun returns a run number above last and above those of former owners.
func (s *State) nextRun(last int64) int64 {
	return max(last+1, (s.epoch-1)*runStride+1)
}

func (s *State) startTask(st *step, index int, run int64, w *worker, now time.Time) {
	s.send(s.reserve(st, index, run, w, now))
}

// reserve registers an attempt whose start is not sent yet. The worker's clock of the
// order's end is set when it is sent.
func (s *State) reserve(st *step, index int, run int64, w *worker, now time.Time) *attempt {
	a := &attempt{step: st, index: index, run: run, worker: w, reserved: st.reserved, ordered: now, progress: now, paced: paceFull}
	a.notAfter = noLimit
	s.begin(a)
	w.feltIn = 0
	return a
}

// noLimit is the end of an order whose end on the worker's clock is not known yet.
const noLimit = int64(1) << 62

func (s *State) send(a *attempt) {
	w := a.worker
	s.actions = append(s.actions, Action{
		Kind:       ActionStart,
		Worker:     w.info.ID,
		Address:    w.info.Address,
		Born:       w.info.Born,
		Task:       a.id(),
		Run:        a.run,
		Payload:    a.step.job.Spec.Payload,
		Checkpoint: a.task().checkpoint,
	})
	s.event(Event{Name: "task.start", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: w.info.ID})
}

// Sent tells the worker's clock after which a start that was sent is refused.
func (s *State) Sent(id WorkerID, task TaskID, run int64, notAfter int64) {
	if w := s.workers[id]; w != nil {
		if a := w.attempts[attemptKey{task, run}]; a != nil {
			a.notAfter = notAfter
		}
	}
}

// choose returns the best worker for a task, or nil.
func (s *State) choose(st *step, t *task, workers []*worker, now time.Time) *worker {
	service := s.queueOf(st.job).Service
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if w.info.Service != service || !st.reserved.Fits(w.free()) || !st.allows(w) {
			continue
		}
		if (st.spec.Filler || st.spec.LatencyTarget > 0) && w.feltIn != s.plan {
			w.feltIn, w.felts = s.plan, s.press.feel(w, now)
		}
		if st.spec.Filler && !s.admits(st, w) {
			continue
		}
		if score := s.score(st, t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best != nil && st.spec.RackLocal && st.rack == "" {
		st.rack = best.rack
	}
	return best
}

// allows checks what the step asks of a worker beside room.
func (st *step) allows(w *worker) bool {
	if st.spec.Label != "" && !slices.Contains(w.info.Labels, st.spec.Label) {
		return false
	}
	if st.spec.MaxPerWorker == 0 {
		return true
	}
	n := 0
	for key := range w.attempts {
		if key.task.Job == st.job.ID && key.task.Step == st.number && key.task.Occurrence == st.occ.number {
			n++
		}
	}
	return n < st.spec.MaxPerWorker
}

// The weights of a choice, in units of a worker's whole processors.
const (
	weightRack     = 8.0
	weightFailures = 4.0
	weightCold     = 2.0
	weightServing  = 6.0
	weightFillers  = 1.0
	weightImage    = 3.0
	weightShared   = 0.0
	weightPress    = 1.0
	// servingUse is the part of their reserved processors that tasks with a latency target use.
	servingUse = 0.45
	// fillerOvercommit is the part of a worker's processors by which fillers may ask for more
	// than others leave.
	fillerOvercommit = 0.1
)

// score rates a worker for a task; higher is better.
func (s *State) score(st *step, t *task, w *worker) float64 {
	score := 0.0
	if st.spec.DataRack != "" && w.rack == st.spec.DataRack || st.rack != "" && w.rack == st.rack {
		score += weightRack
	}
	if len(t.failed) > 0 && t.lastWorker == w.info.ID {
		score -= weightFailures
	}
	score -= weightFailures * float64(w.failures)
	if w.info.Cold > 0 {
		score -= weightCold
	}
	cpu := float64(max(1, w.info.Capacity.CPU))
	if st.spec.LatencyTarget > 0 {
		// Tasks with a latency target share few workers, so that the others are free of them.
		if w.serving > 0 {
			score += weightServing
		}
		if slices.ContainsFunc(w.felts, func(f felt) bool { return f.image == st.spec.Image }) {
			score += weightImage
		}
		score -= weightFillers * float64(w.fillCPU) / cpu
		return score - float64(w.free().CPU)/cpu
	}
	if st.spec.Filler {
		// Where tasks have latency targets, fillers come only if others are full, the lightest first.
		if w.serving > 0 {
			score -= weightShared + weightPress*s.press.worst(w, st, w.felts)
		}
	}
	return score + float64(w.left())/cpu
}

// left returns the processors that the tasks on a worker leave unused, in thousandths.
func (w *worker) left() int64 {
	return w.info.Capacity.CPU - w.used.CPU + int64((1-servingUse)*float64(w.servingCPU)) - w.fillCPU
}

// admits reports whether a filler may work on a worker: others leave enough, and no latency
// there is predicted to come near its target.
func (s *State) admits(st *step, w *worker) bool {
	if float64(w.left()-st.spec.Need.CPU) < -fillerOvercommit*float64(w.info.Capacity.CPU) {
		return false
	}
	if w.serving == 0 {
		return true
	}
	return s.press.worst(w, st, w.felts) <= admitUtilisation
}
