package owner

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// watchJobs watches the submissions and cancellations that instances have accepted.
func (l *leader) watchJobs(ctx context.Context, rev int64) {
	w := &kv.Watcher{
		Store: l.owner.store, Prefix: acceptedPrefix, WatchInterval: jobWatchInterval, RetryDelay: storeRetryDelay,
		OnReset: func(items []kv.Item, rev int64) {
			l.postStoreEvent(func(l *leader, now time.Time) { l.resetSubmissions(items, rev, now) })
		},
		OnChange: func(events []kv.Event, rev int64) {
			items := existingItems(events)
			l.postStoreEvent(func(l *leader, now time.Time) { l.changeSubmissions(items, rev, now) })
		},
	}
	w.Run(ctx, rev)
}

// resetSubmissions applies a complete listing of submissions and cancellations that began at a revision.
func (l *leader) resetSubmissions(items []kv.Item, rev int64, now time.Time) {
	added, forgotten := l.applySubmissions(items, nil, false, now)
	l.log.Info().Str("event", "jobs.listed").Int64("revision", rev).Int("keys", len(items)).Int("added", added).Int("forgotten", forgotten).Send()
	l.noteSubmissionsApplied(rev)
}

// changeSubmissions applies changes of submissions and cancellations up to a revision.
func (l *leader) changeSubmissions(items []kv.Item, rev int64, now time.Time) {
	l.applySubmissions(items, nil, false, now)
	l.noteSubmissionsApplied(rev)
}

// noteSubmissionsApplied notes that all changes of submissions up to a revision have been applied.
func (l *leader) noteSubmissionsApplied(rev int64) {
	l.jobsRevision = max(l.jobsRevision, rev)
	l.forgotten.dropRemoved(rev)
	l.earlyCancellations.dropUpTo(rev)
}

// existingItems returns the items of all events that are not deletions.
func existingItems(events []kv.Event) []kv.Item {
	var items []kv.Item
	for _, e := range events {
		if !e.Deleted {
			items = append(items, e.Item)
		}
	}
	return items
}

// watchWorkers watches the entries of workers in the registry.
func (l *leader) watchWorkers(ctx context.Context, rev int64) {
	w := &kv.Watcher{
		Store: l.owner.store, Prefix: l.owner.registry.Prefix(), WatchInterval: workerWatchInterval, RetryDelay: storeRetryDelay,
		OnReset: func(items []kv.Item, _ int64) {
			l.postStoreEvent(func(l *leader, _ time.Time) { l.resetWorkers(items) })
		},
		OnChange: func(events []kv.Event, _ int64) {
			l.postStoreEvent(func(l *leader, _ time.Time) { l.applyWorkerEvents(events) })
		},
	}
	w.Run(ctx, rev)
}

// resetWorkers applies a complete listing. Workers that are not listed are removed.
func (l *leader) resetWorkers(items []kv.Item) {
	clear(l.services.foreign)
	listed := map[batch.WorkerID]bool{}
	for _, item := range items {
		l.updateWorker(item)
		listed[l.owner.registry.ID(item.Key)] = true
	}
	for w := range l.state.Workers() {
		if !listed[w.ID] {
			l.state.RemoveWorker(w.ID)
		}
	}
}

// applyWorkerEvents applies changes of the entries of workers.
func (l *leader) applyWorkerEvents(events []kv.Event) {
	for _, e := range events {
		if e.Deleted {
			delete(l.services.foreign, e.Key)
			l.state.RemoveWorker(l.owner.registry.ID(e.Key))
			continue
		}
		l.updateWorker(e.Item)
	}
}

// updateWorker applies the entry of a worker. One that cannot be decoded, or is for a service that nobody has named, was written by
// another program: it names no worker to use, and changes nothing for a worker that is known.
func (l *leader) updateWorker(item kv.Item) {
	info, err := l.owner.registry.Decode(item.Key, item.Value)
	if err == nil {
		err = l.services.admit(item.Key, info)
	}
	if err != nil {
		if l.unreadableEntries.New(item.Key, err.Error()) {
			l.log.Warn().Str("event", "worker.unreadable").Str("key", item.Key).Err(err).Send()
		}
		return
	}
	l.applyWorker(item.Key, info, time.Now())
}

// applyWorker applies the entry of a worker under a key.
func (l *leader) applyWorker(key string, info batch.WorkerInfo, now time.Time) {
	l.unreadableEntries.Clear(key)
	l.incarnations.note(info.ID, info.Incarnation)
	l.state.UpdateWorker(info, now)
	if l.state.Incarnation(info.ID) == info.Incarnation {
		l.incarnations.replace(info.ID, info.Incarnation) // the state had forgotten the worker
	}
	l.workersRecord.noteFenced(info.ID, l.state.FencedIncarnation(info.ID, now))
	l.extendDoubt(info.ID, now)
	if info.Draining {
		l.starts.cancelOn(info.ID)
	}
	if l.workersRecord.durable[info.ID] {
		l.state.MarkRecorded(info.ID)
	} else if !l.workersRecord.contains(info.ID) && l.state.InUse(info.ID) {
		l.recordNewWorker(info.ID)
	}
	l.workersChanged = true
}

// recordNewWorker records a worker that is not in the workers record. It may be reached already, if it was not in use
// before.
func (l *leader) recordNewWorker(id batch.WorkerID) {
	if l.state.LeaseEnd(id).IsZero() {
		l.workersRecord.setLeaseEnd(id, time.Now(), false)
		return
	}
	l.workersRecord.setRenewed(id)
}
