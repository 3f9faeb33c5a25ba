package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The comparison of the ways to share the slots of runners among instances runs in
// synthetic time: 65 runners with 8 slots, 8 instances, 0.5 ms between any two of them.
const (
	simRunners   = 65
	simSlots     = 8
	simInstances = 8
	simHop       = 500 * time.Microsecond
	simService   = 20 * time.Millisecond
	simRequests  = 100_000
	// simSlow of the runners are slowed by simSlowFactor, drawn anew every simEpoch.
	simSlow       = 6
	simSlowFactor = 3.0
	simEpoch      = time.Second
)

// simRequest is one request; done is called when the runner has executed it.
type simRequest struct {
	arrived time.Duration
	// work is the execution time on a runner that is not slow.
	work time.Duration
	done func()
}

// simRunner executes up to simSlots requests and queues the rest.
type simRunner struct {
	busy  int
	queue []*simRequest
	slow  bool
}

// simEvent happens at a time.
type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sim is one run.
type sim struct {
	random    *rand.Rand
	now       time.Duration
	events    simEvents
	runners   []*simRunner
	latencies []time.Duration
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.events, simEvent{s.now + d, run}) }

// deliver hands a request to a runner.
func (s *sim) deliver(r int, req *simRequest) {
	runner := s.runners[r]
	if runner.busy == simSlots {
		runner.queue = append(runner.queue, req)
		return
	}
	runner.busy++
	s.execute(runner, req)
}

func (s *sim) execute(runner *simRunner, req *simRequest) {
	took := req.work
	if runner.slow {
		took = time.Duration(float64(took) * simSlowFactor)
	}
	s.after(took, func() {
		req.done()
		if len(runner.queue) == 0 {
			runner.busy--
			return
		}
		next := runner.queue[0]
		runner.queue = runner.queue[1:]
		s.execute(runner, next)
	})
}

// redraw chooses the slow runners.
func (s *sim) redraw() {
	for _, r := range s.runners {
		r.slow = false
	}
	for _, i := range s.random.Perm(simRunners)[:simSlow] {
		s.runners[i].slow = true
	}
	s.after(simEpoch, s.redraw)
}

// answered notes the latency of a request whose answer has arrived.
func (s *sim) answered(req *simRequest) { s.latencies = append(s.latencies, s.now-req.arrived) }

// simWay sends a request that arrived at an instance.
type simWay interface {
	submit(instance int, req *simRequest)
}

// simView is what one sender knows of one runner.
type simView struct {
	inFlight int
	latency  latencyStats
}

// load is the measure by which targets are compared.
func (v *simView) load() float64 { return float64(v.inFlight+1) * float64(v.latency.mean) }

// simSender is a queue before a set of runners with a limit for each.
type simSender struct {
	s       *sim
	runners []int
	views   []simView
	limit   int
	choices int
	queue   []*simRequest
}

func newSimSender(s *sim, runners []int, limit, choices int) *simSender {
	return &simSender{s: s, runners: runners, views: make([]simView, len(runners)), limit: limit, choices: choices}
}

// hasFree reports whether a slot is free for another request.
func (q *simSender) hasFree() bool { return len(q.queue) == 0 && q.choose() >= 0 }

func (q *simSender) submit(req *simRequest) {
	q.queue = append(q.queue, req)
	q.serve()
}

func (q *simSender) serve() {
	for len(q.queue) > 0 {
		i := q.choose()
		if i < 0 {
			return
		}
		req := q.queue[0]
		q.queue = q.queue[1:]
		q.send(i, req)
	}
}

// choose returns the least loaded of some random runners below the limit, or -1.
func (q *simSender) choose() int {
	var free []int
	for i := range q.views {
		if q.views[i].inFlight < q.limit {
			free = append(free, i)
		}
	}
	best := -1
	for range min(q.choices, len(free)) {
		i := free[q.s.random.IntN(len(free))]
		if best < 0 || q.views[i].load() < q.views[best].load() {
			best = i
		}
	}
	return best
}

// send sends a request and takes its answer.
func (q *simSender) send(i int, req *simRequest) {
	q.views[i].inFlight++
	sent, reply := q.s.now, req.done
	req.done = func() {
		q.s.after(simHop, func() {
			q.views[i].inFlight--
			q.views[i].latency.add(q.s.now - sent)
			reply()
			q.serve()
		})
	}
	q.s.after(simHop, func() { q.s.deliver(q.runners[i], req) })
}

// simLocal sends from the instance at which the request arrived.
type simLocal struct{ senders []*simSender }

func newSimLocal(s *sim, limit, choices int) simWay {
	all := make([]int, simRunners)
	for i := range all {
		all[i] = i
	}
	w := &simLocal{}
	for range simInstances {
		w.senders = append(w.senders, newSimSender(s, all, limit, choices))
	}
	return w
}

func (w *simLocal) submit(instance int, req *simRequest) { w.senders[instance].submit(req) }

// simOwned gives each runner one dispatching instance. A request goes to the own runners if
// one is free, else with one peer hop to the instance with the shorter queue of two. The
// true queue lengths are used, which favours this way.
type simOwned struct {
	s       *sim
	senders []*simSender
}

func newSimOwned(s *sim) simWay {
	w := &simOwned{s: s}
	for i := range simInstances {
		var runners []int
		for r := i; r < simRunners; r += simInstances {
			runners = append(runners, r)
		}
		w.senders = append(w.senders, newSimSender(s, runners, simSlots, 2))
	}
	return w
}

func (w *simOwned) submit(instance int, req *simRequest) {
	if w.senders[instance].hasFree() {
		w.senders[instance].submit(req)
		return
	}
	a, b := w.s.random.IntN(simInstances), w.s.random.IntN(simInstances)
	if len(w.senders[b].queue) < len(w.senders[a].queue) {
		a = b
	}
	reply := req.done
	req.done = func() { w.s.after(simHop, reply) }
	w.s.after(simHop, func() { w.senders[a].submit(req) })
}

// simHedged sends a second copy of a request that is not answered after a delay, within a
// budget of a share of the requests. The slower copy is executed to its end.
type simHedged struct {
	s      *sim
	way    simWay
	delay  time.Duration
	budget *retryBudget
}

func (w *simHedged) submit(instance int, req *simRequest) {
	w.budget.deposit()
	answered, reply := false, req.done
	first := func() {
		if !answered {
			answered = true
			reply()
		}
	}
	original := *req
	original.done = first
	w.way.submit(instance, &original)
	w.s.after(w.delay, func() {
		if !answered && w.budget.tryWithdraw() {
			w.way.submit(instance, &simRequest{work: req.work, done: first})
		}
	})
}

// newSimHedged hedges the way in use.
func newSimHedged(s *sim, delay time.Duration) simWay {
	return &simHedged{s: s, way: newSimLocal(s, inFlightPerSlot, sampledCandidates), delay: delay, budget: newRetryBudget()}
}

// simRun returns the median and the 99th percentile of one run. The first instance receives
// skew times the requests of any other.
func simRun(seed uint64, load, skew float64, way func(*sim) simWay) (p50, p99 time.Duration) {
	s := &sim{random: rand.New(rand.NewPCG(seed, seed))}
	for range simRunners {
		s.runners = append(s.runners, &simRunner{})
	}
	s.redraw()
	capacity := simSlots * (simRunners - simSlow + simSlow/simSlowFactor)
	gap := float64(simService) / (load * capacity)
	w := way(s)
	arrived := 0
	var arrive func()
	arrive = func() {
		instance := int(s.random.Float64() * (simInstances - 1 + skew))
		if instance >= simInstances {
			instance = 0
		}
		req := &simRequest{arrived: s.now, work: time.Duration(s.random.ExpFloat64() * float64(simService))}
		req.done = func() { s.answered(req) }
		w.submit(instance, req)
		if arrived++; arrived < simRequests {
			s.after(time.Duration(s.random.ExpFloat64()*gap), arrive)
		}
	}
	arrive()
	for len(s.latencies) < simRequests {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	warm := s.latencies[simRequests/5:]
	slices.Sort(warm)
	return warm[len(warm)/2], warm[len(warm)*99/100]
}

// BenchmarkSlots compares the ways. The metrics are the mean over the seeds; the ratio is
// that of the 99th percentiles to a random runner, in the same run.
func BenchmarkSlots(b *testing.B) {
	random := func(s *sim) simWay { return newSimLocal(s, simRequests, 1) }
	ways := []struct {
		name string
		way  func(*sim) simWay
	}{
		{"random", random},
		{"a-split", func(s *sim) simWay { return newSimLocal(s, 1, 2) }},
		{"a-split-double", func(s *sim) simWay { return newSimLocal(s, 2, 2) }},
		{"a-split-double-five-choices", func(s *sim) simWay { return newSimLocal(s, 2, sampledCandidates) }},
		{"a-split-triple-five-choices", func(s *sim) simWay { return newSimLocal(s, inFlightPerSlot, sampledCandidates) }},
		{"a-split-triple-hedged-after-50ms", func(s *sim) simWay { return newSimHedged(s, 50*time.Millisecond) }},
		{"a-split-triple-hedged-after-100ms", func(s *sim) simWay { return newSimHedged(s, 100*time.Millisecond) }},
		{"b-owner", newSimOwned},
		{"c-two-choices", func(s *sim) simWay { return newSimLocal(s, 7, 2) }},
		{"c-five-choices", func(s *sim) simWay { return newSimLocal(s, 7, sampledCandidates) }},
	}
	scenarios := []struct{ load, skew float64 }{{0.5, 1}, {0.7, 1}, {0.85, 1}, {0.95, 1}, {0.7, 2}, {0.85, 2}, {0.7, 4}}
	seeds := []uint64{1, 2, 3}
	for _, c := range scenarios {
		for _, w := range ways {
			b.Run(fmt.Sprintf("load=%.2f/skew=%.0f/%s", c.load, c.skew, w.name), func(b *testing.B) {
				for range b.N {
					var p50, p99, ratio float64
					for _, seed := range seeds {
						m, t := simRun(seed, c.load, c.skew, w.way)
						_, naive := simRun(seed, c.load, c.skew, random)
						p50 += m.Seconds() * 1e3 / float64(len(seeds))
						p99 += t.Seconds() * 1e3 / float64(len(seeds))
						ratio += float64(t) / float64(naive) / float64(len(seeds))
					}
					b.ReportMetric(p50, "p50-ms")
					b.ReportMetric(p99, "p99-ms")
					b.ReportMetric(ratio, "p99-of-random")
				}
			})
		}
	}
}
