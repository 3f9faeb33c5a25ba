package partition

import (
	"sort"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Summary is the state of a partition that its owner sends to all other instances.
type Summary struct {
	Partition model.Partition  `cbor:"1,keyasint"`
	Owner     model.InstanceID `cbor:"2,keyasint"`
	Epoch     model.Epoch      `cbor:"3,keyasint"`
	Queued    int              `cbor:"4,keyasint,omitempty"`
	Running   int              `cbor:"5,keyasint,omitempty"`
	Workers   int              `cbor:"6,keyasint,omitempty"`
	Reachable int              `cbor:"7,keyasint,omitempty"`
	Free      []FreeCapacity   `cbor:"8,keyasint,omitempty"`
	Teams     []TeamUsage      `cbor:"9,keyasint,omitempty"`
	States    []JobStateCount  `cbor:"10,keyasint,omitempty"`
	// Quarantined is the number of workers that receive no attempts except probes.
	Quarantined int `cbor:"11,keyasint,omitempty"`
}

// FreeCapacity is the unreserved capacity of the reachable workers of one data centre.
type FreeCapacity struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
	Total      model.Resources  `cbor:"2,keyasint"`
	// Largest is the unreserved capacity of the worker with the most unreserved processor time.
	Largest model.Resources `cbor:"3,keyasint"`
}

// TeamUsage is the sum of the reservations of a team's attempts that may be executing.
type TeamUsage struct {
	Team model.Team      `cbor:"1,keyasint"`
	Used model.Resources `cbor:"2,keyasint"`
}

// JobStateCount counts the jobs in one state.
type JobStateCount struct {
	State model.JobState `cbor:"1,keyasint"`
	Count int            `cbor:"2,keyasint"`
}

// latestSummary holds the newest summary, which the loop stores and other goroutines read.
type latestSummary struct {
	mu      sync.Mutex
	summary Summary
}

// store replaces the summary.
func (c *latestSummary) store(s Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary = s
}

// Summary returns the newest summary of the partition.
func (o *Owner) Summary() Summary {
	o.summary.mu.Lock()
	defer o.summary.mu.Unlock()
	return o.summary.summary
}

// summarize returns the summary of the partition.
func (p *loop) summarize(now time.Time) Summary {
	s := Summary{
		Partition: p.cfg.Partition,
		Owner:     p.cfg.Self,
		Epoch:     p.o.epoch,
		Queued:    len(p.ledger.Queue()),
		Workers:   len(p.sessions.byID),
	}
	s.Quarantined = p.countQuarantined()
	p.summarizeWorkers(now, &s)
	for team, held := range p.ledger.TeamUse() {
		s.Teams = append(s.Teams, TeamUsage{Team: team, Used: held})
	}
	sort.Slice(s.Teams, func(i, j int) bool { return s.Teams[i].Team < s.Teams[j].Team })
	p.summarizeJobs(&s)
	return s
}

// summarizeWorkers counts the reachable workers that are not leaving and adds up the unreserved
// capacity of each data centre.
func (p *loop) summarizeWorkers(now time.Time, s *Summary) {
	byName := map[model.DataCentre]*FreeCapacity{}
	for _, session := range p.sessions.ordered() {
		if !session.reachable(now, p.cfg.Timing) || session.worker.Leaving {
			continue
		}
		s.Reachable++
		free := session.worker.Capacity.Sub(p.ledger.Reserved(session.worker.ID))
		dc := byName[session.worker.DataCentre]
		if dc == nil {
			dc = &FreeCapacity{DataCentre: session.worker.DataCentre}
			byName[session.worker.DataCentre] = dc
		}
		dc.Total = dc.Total.Add(free)
		if free.MilliCPU > dc.Largest.MilliCPU {
			dc.Largest = free
		}
	}
	for _, dc := range byName {
		s.Free = append(s.Free, *dc)
	}
	sort.Slice(s.Free, func(i, j int) bool { return s.Free[i].DataCentre < s.Free[j].DataCentre })
}

// summarizeJobs adds the number of jobs in each state.
func (p *loop) summarizeJobs(s *Summary) {
	counts := map[model.JobState]int{}
	for _, job := range p.ledger.Jobs() {
		counts[job.State]++
	}
	s.Running = counts[model.JobRunning] + counts[model.JobEvicting]
	for state, n := range counts {
		s.States = append(s.States, JobStateCount{State: state, Count: n})
	}
	sort.Slice(s.States, func(i, j int) bool { return s.States[i].State < s.States[j].State })
}
