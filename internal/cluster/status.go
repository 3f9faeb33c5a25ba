package cluster

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/query"
)

// StoreContact returns the time of the last response of the store.
type StoreContact interface {
	LastContact() time.Time
}

// StatusReader returns the status of the whole system as this instance knows it.
type StatusReader struct {
	Router *Router
	Store  StoreContact
	// Workers returns the newest list of workers from the inventory.
	Workers func() []model.Worker
}

// Status returns the instances, the partitions and the counts of jobs and workers.
func (s *StatusReader) Status(_ context.Context) (query.Status, error) {
	r := s.Router
	status := query.Status{
		Instance:          r.cfg.Self,
		SinceStoreContact: r.cfg.Clock.Now().Sub(s.Store.LastContact()),
		Jobs:              map[string]int{},
	}
	partitions := 0
	if doc, ok := r.cfg.Documents.Current(); ok {
		status.Revision = doc.Revision
		partitions = doc.Operators.Partitions
	}
	for _, m := range r.cfg.Members.Members() {
		status.Instances = append(status.Instances, query.InstanceStatus{
			ID:         m.ID,
			DataCentre: m.DataCentre,
			Revision:   m.ConfigRevision,
			Draining:   m.Draining,
			Started:    m.Started,
		})
	}
	s.addPartitions(&status, partitions)
	s.addWorkers(&status)
	return status, nil
}

// addPartitions adds every partition. One without a summary within its TTL has no known owner.
func (s *StatusReader) addPartitions(status *query.Status, count int) {
	byPartition := map[model.Partition]partition.Summary{}
	for _, summary := range s.Router.summaries.fresh() {
		byPartition[summary.Partition] = summary
	}
	for p := range model.Partition(count) {
		summary := byPartition[p]
		status.Partitions = append(status.Partitions, query.PartitionStatus{
			Partition: p,
			Owner:     summary.Owner,
			Epoch:     summary.Epoch,
			Queued:    summary.Queued,
			Running:   summary.Running,
		})
		status.Workers.Reachable += summary.Reachable
		status.Workers.Quarantined += summary.Quarantined
		for _, c := range summary.States {
			status.Jobs[c.State.String()] += c.Count
		}
	}
}

// addWorkers counts the workers of the inventory.
func (s *StatusReader) addWorkers(status *query.Status) {
	for _, w := range s.Workers() {
		status.Workers.Total++
		if w.Leaving {
			status.Workers.Leaving++
		}
	}
}
