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
	// broadcastInterval is the time between two broadcasts of an instance's summaries.
	broadcastInterval = time.Second
	// summaryTTL is the time after which a received summary is ignored.
	summaryTTL = 5 * time.Second
)

// receivedSummary is a summary with the time at which it was received.
type receivedSummary struct {
	summary partition.Summary
	at      time.Time
}

// summaries holds the newest received summary of each partition.
type summaries struct {
	clock platform.Clock

	mu          sync.Mutex
	byPartition map[model.Partition]receivedSummary
	rand        *rand.Rand
}

// newSummaries returns an empty set whose random choices depend on the seed.
func newSummaries(clock platform.Clock, seed uint64) *summaries {
	return &summaries{
		clock:       clock,
		byPartition: map[model.Partition]receivedSummary{},
		rand:        rand.New(rand.NewPCG(seed, seed)),
	}
}

// add stores summaries. One with a lower epoch than the stored one comes from a deposed owner
// and is ignored.
func (s *summaries) add(added []partition.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, summary := range added {
		if summary.Epoch < s.byPartition[summary.Partition].summary.Epoch {
			continue
		}
		s.byPartition[summary.Partition] = receivedSummary{summary: summary, at: s.clock.Now()}
	}
}

// fresh returns the summaries within their TTL, ordered by partition.
func (s *summaries) fresh() []partition.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var all []partition.Summary
	for _, r := range s.byPartition {
		if now.Sub(r.at) <= summaryTTL {
			all = append(all, r.summary)
		}
	}
	slices.SortFunc(all, func(a, b partition.Summary) int { return int(a.Partition - b.Partition) })
	return all
}

// owner returns the owner of the partition according to its summary, if that is within its
// TTL.
func (s *summaries) owner(p model.Partition) (model.InstanceID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byPartition[p]
	if !ok || s.clock.Now().Sub(r.at) > summaryTTL {
		return "", false
	}
	return r.summary.Owner, true
}

// remove removes the summary of a partition if it names the owner. It is called after a call to
// that owner failed, so that the next call goes to the assigned member.
func (s *summaries) remove(p model.Partition, owner model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPartition[p].summary.Owner == owner {
		delete(s.byPartition, p)
	}
}

// remoteUse returns the resources that the teams use in all partitions except one.
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

// destination chooses a partition for a job that the partition from cannot run at present: one
// with a worker that has enough free capacity, if there is any. Otherwise, and only if from has
// no workers in data centres where the job may run, it chooses one that has such workers. The
// choice is random, weighted by free CPU.
func (s *summaries) destination(spec model.JobSpec, from model.Partition, doc *config.Document) (model.Partition, bool) {
	var withCapacity, candidates []partition.Summary
	fromEligible := false
	for _, summary := range s.fresh() {
		free, eligible := freeCapacityFor(spec, summary, doc)
		if summary.Partition == from {
			fromEligible = eligible
			continue
		}
		if !eligible {
			continue
		}
		candidates = append(candidates, summary)
		if spec.Declared.Fits(free.Largest) {
			withCapacity = append(withCapacity, summary)
		}
	}
	if len(withCapacity) > 0 {
		return s.pickWeighted(withCapacity, spec, doc), true
	}
	if fromEligible || len(candidates) == 0 {
		return 0, false
	}
	return s.pickWeighted(candidates, spec, doc), true
}

// pickWeighted chooses a partition at random, weighted by its free CPU for the job, so that several
// owners do not all choose the same one. Adding 1 to each weight lets it choose a partition without
// free CPU.
func (s *summaries) pickWeighted(from []partition.Summary, spec model.JobSpec, doc *config.Document) model.Partition {
	total := int64(0)
	for _, summary := range from {
		free, _ := freeCapacityFor(spec, summary, doc)
		total += 1 + max(free.Total.MilliCPU, 0)
	}
	s.mu.Lock()
	draw := s.rand.Int64N(total)
	s.mu.Unlock()
	for _, summary := range from {
		free, _ := freeCapacityFor(spec, summary, doc)
		draw -= 1 + max(free.Total.MilliCPU, 0)
		if draw < 0 {
			return summary.Partition
		}
	}
	return from[len(from)-1].Partition
}

// freeCapacityFor adds up the free capacity of the partition in the data centres where the job
// may run, and reports whether the partition has any such data centre. Largest is the one with the
// most CPU among these data centres.
func freeCapacityFor(spec model.JobSpec, s partition.Summary, doc *config.Document) (partition.FreeCapacity, bool) {
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

// BroadcastSummaries sends the summaries of the partitions that this instance owns to all other
// instances at each broadcastInterval, until ctx ends.
func (r *Router) BroadcastSummaries(ctx context.Context) {
	ticker := time.NewTicker(broadcastInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		own := r.cfg.Manager.Summaries()
		r.summaries.add(own)
		for _, m := range r.otherMembers() {
			go r.sendSummaries(ctx, m.PeerAddr, own)
		}
	}
}

// sendSummaries sends summaries to one instance. A failure is only logged, because the next
// broadcast sends them again.
func (r *Router) sendSummaries(ctx context.Context, addr string, own []partition.Summary) {
	ctx, cancel := context.WithTimeout(ctx, broadcastInterval)
	defer cancel()
	var reply empty
	if err := r.cfg.Pool.Call(ctx, addr, KindSummaries, summariesMessage{Summaries: own}, &reply); err != nil {
		r.cfg.Log.Debug().Str("event", "summaries.unsent").Str("peer", addr).Err(err).Send()
	}
}
