package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the discrete-event simulation of BenchmarkSlots, which compares policies for sharing
// the slots of targets among instances: 65 targets with 8 slots each and 8 instances. A message
// between any two of them takes 0.5 ms.
const (
	simTargets      = 65
	simSlots        = 8
	simInstances    = 8
	simNetworkDelay = 500 * time.Microsecond
	simServiceTime  = 20 * time.Millisecond
	simRequests     = 100_000
	// simSlowTargets targets are slower by simSlowFactor. They are chosen again at random every
	// simSlowPeriod.
	simSlowTargets = 6
	simSlowFactor  = 3.0
	simSlowPeriod  = time.Second
)

// simRequest is one request; done is called when a target has executed it.
type simRequest struct {
	arrived time.Duration
	// work is the execution time on a target that is not slow.
	work time.Duration
	done func()
}

// simTarget executes up to simSlots requests and queues the rest.
type simTarget struct {
	busy  int
	queue []*simRequest
	slow  bool
}

// simEvent is a function to run at a simulated time.
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

// simulation is the state of one run of the simulation.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	events    simEvents
	targets   []*simTarget
	latencies []time.Duration
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now + d, run})
}

// deliver starts a request at a target, or queues it there if all slots are busy.
func (s *simulation) deliver(r int, req *simRequest) {
	target := s.targets[r]
	if target.busy == simSlots {
		target.queue = append(target.queue, req)
		return
	}
	target.busy++
	s.execute(target, req)
}

func (s *simulation) execute(target *simTarget, req *simRequest) {
	took := req.work
	if target.slow {
		took = time.Duration(float64(took) * simSlowFactor)
	}
	s.after(took, func() {
		req.done()
		if len(target.queue) == 0 {
			target.busy--
			return
		}
		next := target.queue[0]
		target.queue = target.queue[1:]
		s.execute(target, next)
	})
}

// redrawSlowTargets chooses the slow targets at random, and again after each simSlowPeriod.
func (s *simulation) redrawSlowTargets() {
	for _, r := range s.targets {
		r.slow = false
	}
	for _, i := range s.random.Perm(simTargets)[:simSlowTargets] {
		s.targets[i].slow = true
	}
	s.after(simSlowPeriod, s.redrawSlowTargets)
}

// answered records the latency of a request whose response has arrived.
func (s *simulation) answered(req *simRequest) { s.latencies = append(s.latencies, s.now-req.arrived) }

// simPolicy decides how a request that arrived at an instance is sent to a target.
type simPolicy interface {
	submit(instance int, req *simRequest)
}

// simTargetState is the state that one sender keeps of one target.
type simTargetState struct {
	inFlight int
	latency  latencyStats
}

// load estimates the load of the target, by which targets are compared.
func (v *simTargetState) load() float64 { return float64(v.inFlight+1) * float64(v.latency.mean) }

// simSender queues requests for a set of targets and limits the requests in flight at each of them.
type simSender struct {
	s       *simulation
	targets []int
	states  []simTargetState
	limit   int
	samples int
	queue   []*simRequest
}

func newSimSender(s *simulation, targets []int, limit, samples int) *simSender {
	return &simSender{s: s, targets: targets, states: make([]simTargetState, len(targets)), limit: limit, samples: samples}
}

// hasFree reports whether a new request would be sent without waiting.
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

// choose returns the least loaded of some randomly sampled targets below the limit, or -1.
func (q *simSender) choose() int {
	var free []int
	for i := range q.states {
		if q.states[i].inFlight < q.limit {
			free = append(free, i)
		}
	}
	best := -1
	for range min(q.samples, len(free)) {
		i := free[q.s.random.IntN(len(free))]
		if best < 0 || q.states[i].load() < q.states[best].load() {
			best = i
		}
	}
	return best
}

// send sends a request to a target and processes its response.
func (q *simSender) send(i int, req *simRequest) {
	q.states[i].inFlight++
	sent, reply := q.s.now, req.done
	req.done = func() {
		q.s.after(simNetworkDelay, func() {
			q.states[i].inFlight--
			q.states[i].latency.add(q.s.now - sent)
			reply()
			q.serve()
		})
	}
	q.s.after(simNetworkDelay, func() { q.s.deliver(q.targets[i], req) })
}

// simLocalPolicy sends from the instance at which the request arrived.
type simLocalPolicy struct{ senders []*simSender }

func newSimLocalPolicy(s *simulation, limit, samples int) simPolicy {
	all := make([]int, simTargets)
	for i := range all {
		all[i] = i
	}
	p := &simLocalPolicy{}
	for range simInstances {
		p.senders = append(p.senders, newSimSender(s, all, limit, samples))
	}
	return p
}

func (p *simLocalPolicy) submit(instance int, req *simRequest) { p.senders[instance].submit(req) }

// simOwnerPolicy assigns each target to one instance. An instance sends a request to its own targets
// if one of them has a free slot. Otherwise it forwards the request to the one of two random
// instances that has the shorter queue. The simulation uses exact queue lengths, which real
// instances would not have, so the results favour this policy.
type simOwnerPolicy struct {
	s       *simulation
	senders []*simSender
}

func newSimOwnerPolicy(s *simulation) simPolicy {
	p := &simOwnerPolicy{s: s}
	for i := range simInstances {
		var targets []int
		for r := i; r < simTargets; r += simInstances {
			targets = append(targets, r)
		}
		p.senders = append(p.senders, newSimSender(s, targets, simSlots, 2))
	}
	return p
}

func (p *simOwnerPolicy) submit(instance int, req *simRequest) {
	if p.senders[instance].hasFree() {
		p.senders[instance].submit(req)
		return
	}
	a, b := p.s.random.IntN(simInstances), p.s.random.IntN(simInstances)
	if len(p.senders[b].queue) < len(p.senders[a].queue) {
		a = b
	}
	reply := req.done
	req.done = func() { p.s.after(simNetworkDelay, reply) }
	p.s.after(simNetworkDelay, func() { p.senders[a].submit(req) })
}

// simHedgedPolicy sends a second copy of a request that has no response after a delay, limited by a
// retry budget. The slower copy is not cancelled.
type simHedgedPolicy struct {
	s      *simulation
	policy simPolicy
	delay  time.Duration
	budget *retryBudget
}

func (p *simHedgedPolicy) submit(instance int, req *simRequest) {
	p.budget.deposit()
	answered, reply := false, req.done
	first := func() {
		if !answered {
			answered = true
			reply()
		}
	}
	original := *req
	original.done = first
	p.policy.submit(instance, &original)
	p.s.after(p.delay, func() {
		if !answered && p.budget.tryWithdraw() {
			p.policy.submit(instance, &simRequest{work: req.work, done: first})
		}
	})
}

// newSimHedgedPolicy adds hedging to the policy that the package uses.
func newSimHedgedPolicy(s *simulation, delay time.Duration) simPolicy {
	return &simHedgedPolicy{s: s, policy: newSimLocalPolicy(s, inFlightPerSlot, sampledCandidates), delay: delay, budget: newRetryBudget()}
}

// simRun returns the median and the 99th percentile of the latencies of one run. The first instance
// receives skew times as many requests as any other.
func simRun(seed uint64, load, skew float64, policy func(*simulation) simPolicy) (p50, p99 time.Duration) {
	s := &simulation{random: rand.New(rand.NewPCG(seed, seed))}
	for range simTargets {
		s.targets = append(s.targets, &simTarget{})
	}
	s.redrawSlowTargets()
	capacity := simSlots * (simTargets - simSlowTargets + simSlowTargets/simSlowFactor)
	meanInterval := float64(simServiceTime) / (load * capacity)
	p := policy(s)
	arrived := 0
	var arrive func()
	arrive = func() {
		instance := int(s.random.Float64() * (simInstances - 1 + skew))
		if instance >= simInstances {
			instance = 0
		}
		req := &simRequest{arrived: s.now, work: time.Duration(s.random.ExpFloat64() * float64(simServiceTime))}
		req.done = func() { s.answered(req) }
		p.submit(instance, req)
		if arrived++; arrived < simRequests {
			s.after(time.Duration(s.random.ExpFloat64()*meanInterval), arrive)
		}
	}
	arrive()
	for len(s.latencies) < simRequests {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	measured := s.latencies[simRequests/5:]
	slices.Sort(measured)
	return measured[len(measured)/2], measured[len(measured)*99/100]
}

// BenchmarkSlots compares the policies. The metrics are means over the seeds. The ratio is that of the
// 99th percentile to the one of a random choice of targets, with the same seed.
func BenchmarkSlots(b *testing.B) {
	random := func(s *simulation) simPolicy { return newSimLocalPolicy(s, simRequests, 1) }
	policies := []struct {
		name   string
		policy func(*simulation) simPolicy
	}{
		{"random", random},
		{"a-split", func(s *simulation) simPolicy { return newSimLocalPolicy(s, 1, 2) }},
		{"a-split-double", func(s *simulation) simPolicy { return newSimLocalPolicy(s, 2, 2) }},
		{"a-split-double-five-choices", func(s *simulation) simPolicy { return newSimLocalPolicy(s, 2, sampledCandidates) }},
		{"a-split-triple-five-choices", func(s *simulation) simPolicy { return newSimLocalPolicy(s, inFlightPerSlot, sampledCandidates) }},
		{"a-split-triple-hedged-after-50ms", func(s *simulation) simPolicy { return newSimHedgedPolicy(s, 50*time.Millisecond) }},
		{"a-split-triple-hedged-after-100ms", func(s *simulation) simPolicy { return newSimHedgedPolicy(s, 100*time.Millisecond) }},
		{"b-owner", newSimOwnerPolicy},
		{"c-two-choices", func(s *simulation) simPolicy { return newSimLocalPolicy(s, 7, 2) }},
		{"c-five-choices", func(s *simulation) simPolicy { return newSimLocalPolicy(s, 7, sampledCandidates) }},
	}
	scenarios := []struct{ load, skew float64 }{{0.5, 1}, {0.7, 1}, {0.85, 1}, {0.95, 1}, {0.7, 2}, {0.85, 2}, {0.7, 4}}
	seeds := []uint64{1, 2, 3}
	for _, c := range scenarios {
		for _, w := range policies {
			b.Run(fmt.Sprintf("load=%.2f/skew=%.0f/%s", c.load, c.skew, w.name), func(b *testing.B) {
				for range b.N {
					var p50, p99, ratio float64
					for _, seed := range seeds {
						m, t := simRun(seed, c.load, c.skew, w.policy)
						_, randomP99 := simRun(seed, c.load, c.skew, random)
						p50 += m.Seconds() * 1e3 / float64(len(seeds))
						p99 += t.Seconds() * 1e3 / float64(len(seeds))
						ratio += float64(t) / float64(randomP99) / float64(len(seeds))
					}
					b.ReportMetric(p50, "p50-ms")
					b.ReportMetric(p99, "p99-ms")
					b.ReportMetric(ratio, "p99-of-random")
				}
			})
		}
	}
}
