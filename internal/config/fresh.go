package config

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// olderPause is the pause before a read that gave an older section is repeated.
	olderPause = 100 * time.Millisecond
	// olderTries bounds these reads.
	olderTries = 50
)

// readFresh repeats a read until it gives the section of the name at no lower revision than
// the one in force here. An edit on an older text would refuse or accept what it must not.
func (e *Editor) readFresh(ctx context.Context, name string, read func() (platform.KeyValue, error)) (platform.KeyValue, error) {
	for range olderTries {
		kv, err := read()
		if err != nil {
			return kv, notStored(err)
		}
		if !e.isOlder(name, kv) {
			return kv, nil
		}
		select {
		case <-ctx.Done():
			return kv, notStored(ctx.Err())
		case <-time.After(olderPause):
		}
	}
	return platform.KeyValue{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable,
		"the store answers with an older section %q than the one in force", name)
}

// isOlder reports whether the stored section is older than the one in force here.
func (e *Editor) isOlder(name string, kv platform.KeyValue) bool {
	if e.inForce == nil {
		return false
	}
	s, ok := e.inForce.section(name)
	return ok && kv.ModRevision < int64(s.Revision)
}
