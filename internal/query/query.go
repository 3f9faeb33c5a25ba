// Package query serves the read-only HTTP calls about jobs, the configuration, the state of the system
// and the audit trail.
package query

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Jobs reads jobs from the owners of their partitions.
type Jobs interface {
	Job(ctx context.Context, id model.JobID) (ledger.JobStatus, error)
	List(ctx context.Context, team model.Team) ([]ledger.JobStatus, error)
}

// AuditTrail reads the audit trails of all live instances. The result unreachable names the instances
// that did not answer.
type AuditTrail interface {
	Explain(ctx context.Context, subject string) (entries []audit.Entry, unreachable []model.InstanceID, err error)
	Recent(ctx context.Context, limit int) (entries []audit.Entry, unreachable []model.InstanceID, err error)
}

// Cluster reads the state of the system.
type Cluster interface {
	Status(ctx context.Context) (Status, error)
}

// Status summarises the state of the system as one instance sees it.
type Status struct {
	Instance          model.InstanceID  `json:"instance"`
	Revision          model.Revision    `json:"revision"`
	SinceStoreContact time.Duration     `json:"storeAge"`
	Instances         []InstanceStatus  `json:"instances"`
	Partitions        []PartitionStatus `json:"partitions"`
	Workers           WorkerCounts      `json:"workers"`
	Jobs              map[string]int    `json:"jobs"`
}

// InstanceStatus is one live instance.
type InstanceStatus struct {
	ID         model.InstanceID `json:"id"`
	DataCentre model.DataCentre `json:"dataCentre"`
	Revision   model.Revision   `json:"revision"`
	Draining   bool             `json:"draining"`
	Started    time.Time        `json:"started"`
}

// PartitionStatus describes one partition. Owner is empty if it is not known.
type PartitionStatus struct {
	Partition model.Partition  `json:"partition"`
	Owner     model.InstanceID `json:"owner,omitempty"`
	Epoch     model.Epoch      `json:"epoch"`
	Queued    int              `json:"queued"`
	Running   int              `json:"running"`
}

// WorkerCounts counts the workers by state.
type WorkerCounts struct {
	Total       int `json:"total"`
	Reachable   int `json:"reachable"`
	Quarantined int `json:"quarantined"`
	Leaving     int `json:"leaving"`
}
