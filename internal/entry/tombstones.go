package entry

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/quota"
)

// maxTombstonesPerSecond bounds the tombstones that an instance writes, on average and at once. Anyone may cancel jobs that do not
// exist.
const maxTombstonesPerSecond = 25

// tombstoneLimit bounds the rate of tombstones.
type tombstoneLimit struct {
	mu   sync.Mutex
	rate quota.Rate
}

// admit reports whether another tombstone may be written.
func (l *tombstoneLimit) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate.Admit(maxTombstonesPerSecond, time.Now())
}

// cancelUnstored cancels a job that is not stored. The instance that has its submission may be about to store it, or the store to carry
// that out, so a tombstone excludes it. It reports whether the job has been stored meanwhile; then it is not cancelled.
func (i *Instance) cancelUnstored(ctx context.Context, id, tenant string) (result Result, isStored bool) {
	if !i.tombstones.admit() {
		i.log.Warn().Str("event", "job.cancel").Str("job", id).Str("result", NotRun.String()).Str("why", "too many cancellations of jobs that are not stored").Send()
		return NotRun, false
	}
	tombstone := newKey{
		key: owner.TombstoneKey(tenant, id), value: []byte{},
		conditions: []kv.Condition{{Key: owner.JobKey(id)}}, // a tombstone that exists is written again and lives on
	}
	a := i.create(ctx, tombstone)
	if a.outcome == creationExcluded {
		return Unknown, true
	}
	if result = a.result(); result == Done {
		result = NotFound
	}
	i.log.Info().Str("event", "job.cancel").Str("job", id).Str("result", result.String()).Bool("tombstone", a.stored()).Send()
	return result, false
}
