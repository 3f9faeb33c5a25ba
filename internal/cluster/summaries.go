package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// spreadPeriod is how often an instance sends its summaries to the others.
	spreadPeriod = time.Second
	// summaryLife is how long a summary counts after it was received.
	summaryLife = 5 * time.Second
)

// received is a summary with the time of its arrival.
type received struct {
	summary partition.Summary
	at      time.Time
}

// summaries holds the newest summary of each partition.
type summaries struct {
	clock platform.Clock

	mu   sync.Mutex
	byID map[model.Partition]received
	rand *rand.Rand
}

// newSummaries returns an empty set.
func newSummaries(clock platform.Clock, seed uint64) *summaries {
	return &summaries{
		clock: clock,
		byID:  map[model.Partition]received{},
		rand:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// add takes summaries; one of a lower epoch comes from a deposed owner and is ignored.
func (s *summaries) add(added []partition.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range added {
		if n.Epoch < s.byID[n.Partition].summary.Epoch {
			continue
		}
		s.byID[n.Partition] = received{summary: n, at: s.clock.Now()}
	}
}

// fresh returns the summaries that still count, ordered by partition.
func (s *summaries) fresh() []partition.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var all []partition.Summary
	for _, r := range s.byID {
		if now.Sub(r.at) <= summaryLife {
			all = append(all, r.summary)
		}
	}
	slices.SortFunc(all, func(a, b partition.Summary) int { return int(a.Partition - b.Partition) })
	return all
}

// owner returns the instance that last said that it holds the partition.
func (s *summaries) owner(p model.Partition) (model.InstanceID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byID[p]
	if !ok || s.clock.Now().Sub(r.at) > summaryLife {
		return "", false
	}
	return r.summary.Owner, true
}

// forget drops the summary of a partition whose owner refused a call.
func (s *summaries) forget(p model.Partition, owner model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[p].summary.Owner == owner {
		delete(s.byID, p)
	}
}

// remoteUse returns what the teams hold in all partitions but one.
func (s *summaries) remoteUse(except model.Partition) map[model.Team]model.Resources {
	use := map[model.Team]model.Resources{}
	for _, summary := range s.fresh() {
		if summary.Partition == except {
			continue
		}
		for _, t := range summary.Teams {
			use[t.Team] = use[t.Team].Add(t.Used)
		}
	}
	return use
}

// destination picks a partition for a job that its own can't run: one with room, in
// proportion to its free processor time, else one that has workers where the job may run,
// if its own has none.
func (s *summaries) destination(spec model.JobSpec, from model.Partition, doc *config.Document) (model.Partition, bool) {
	var roomy, possible []partition.Summary
	fromPossible := false
	for _, summary := range s.fresh() {
		free, eligible := freeFor(spec, summary, doc)
		if summary.Partition == from {
			fromPossible = eligible
			continue
		}
		if !eligible {
			continue
		}
		possible = append(possible, summary)
		if spec.Declared.Fits(free.Largest) {
			roomy = append(roomy, summary)
		}
	}
	if len(roomy) > 0 {
		return s.pick(roomy, spec, doc), true
	}
	if fromPossible || len(possible) == 0 {
		return 0, false
	}
	return s.pick(possible, spec, doc), true
}

// pick chooses a summary at random, weighted by free processor time.
func (s *summaries) pick(from []partition.Summary, spec model.JobSpec, doc *config.Document) model.Partition {
	total := int64(0)
	for _, summary := range from {
		free, _ := freeFor(spec, summary, doc)
		total += 1 + max(free.Total.MilliCPU, 0)
	}
	s.mu.Lock()
	draw := s.rand.Int64N(total)
	s.mu.Unlock()
	for _, summary := range from {
		free, _ := freeFor(spec, summary, doc)
		draw -= 1 + max(free.Total.MilliCPU, 0)
		if draw < 0 {
			return summary.Partition
		}
	}
	return from[len(from)-1].Partition
}

// freeFor adds up the free resources of the data centres in which the job may run, and
// reports whether there are any.
func freeFor(spec model.JobSpec, s partition.Summary, doc *config.Document) (partition.FreeCapacity, bool) {
	var sum partition.FreeCapacity
	eligible := false
	for _, dc := range s.Free {
		if doc.DataCentreOut(dc.DataCentre) {
			continue
		}
		if len(spec.DataCentres) > 0 && !slices.Contains(spec.DataCentres, dc.DataCentre) {
			continue
		}
		eligible = true
		sum.Total = sum.Total.Add(dc.Total)
		if dc.Largest.MilliCPU > sum.Largest.MilliCPU {
			sum.Largest = dc.Largest
		}
	}
	return sum, eligible
}

// BroadcastSummaries sends the summaries of the partitions held here to all other instances
// until ctx ends.
func (r *Router) BroadcastSummaries(ctx context.Context) {
	ticker := time.NewTicker(spreadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		own := r.cfg.Manager.Summaries()
		r.summaries.add(own)
		for _, m := range r.others() {
			go r.sendSummaries(ctx, m.PeerAddr, own)
		}
	}
}

// sendSummaries sends summaries to one instance; a lost one is made good by the next.
func (r *Router) sendSummaries(ctx context.Context, addr string, own []partition.Summary) {
	ctx, cancel := context.WithTimeout(ctx, spreadPeriod)
	defer cancel()
	var reply empty
	if err := r.cfg.Pool.Call(ctx, addr, KindSummaries, summariesMessage{Summaries: own}, &reply); err != nil {
		r.cfg.Log.Debug().Str("event", "summaries.unsent").Str("peer", addr).Err(err).Send()
	}
}
