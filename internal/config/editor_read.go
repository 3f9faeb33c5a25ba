package config

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// olderReadDelay is the delay before a read that returned an older section is repeated.
	olderReadDelay = 100 * time.Millisecond
	// maxOlderReads limits the number of these reads.
	maxOlderReads = 50
)

// readUpToDate repeats a read, up to maxOlderReads times, until it returns the named section at no
// lower revision than the one in force on this instance. An edit that is checked against an older
// text could be wrongly accepted or refused.
func (e *Editor) readUpToDate(ctx context.Context, name string, read func() (platform.KeyValue, error)) (platform.KeyValue, error) {
	for range maxOlderReads {
		kv, err := read()
		if err != nil {
			return kv, storeUnavailable(err)
		}
		if !e.isOlder(name, kv) {
			return kv, nil
		}
		select {
		case <-ctx.Done():
			return kv, storeUnavailable(ctx.Err())
		case <-time.After(olderReadDelay):
		}
	}
	return platform.KeyValue{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable,
		"the store returned an older section %q than the one in force", name)
}

// isOlder reports whether the stored section is older than the one in force on this instance.
func (e *Editor) isOlder(name string, kv platform.KeyValue) bool {
	if e.watcher == nil {
		return false
	}
	s, ok := e.watcher.section(name)
	return ok && kv.ModRevision < int64(s.Revision)
}
