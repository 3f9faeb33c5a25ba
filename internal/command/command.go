// Package command serves the HTTP calls that change state: requests of callers, jobs, and
// edits of the configuration.
package command

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Jobs changes jobs, wherever the partition that owns them is. Errors carry a verdict.
type Jobs interface {
	// Submit is idempotent by the job's id.
	Submit(ctx context.Context, spec model.JobSpec) (ledger.JobStatus, error)
	Cancel(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error)
	// Resume queues a parked job again.
	Resume(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error)
}
