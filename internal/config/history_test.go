package config

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// referenceModel holds the edits that the history must contain, as known from the results that
// the editors returned.
type referenceModel struct {
	accepted map[string]model.Revision
	// unknownOutcome holds for each failed edit whether its outcome is unknown.
	unknownOutcome map[string]bool
	last           map[string]string
}

// TestHistoriesOfEditsWithFaults runs editors and a watcher against a store that loses responses
// and delays writes, and compares the stored history and the document in force with a reference
// model.
func TestHistoriesOfEditsWithFaults(t *testing.T) {
	rapid.Check(t, checkHistory)
}

// checkHistory runs one generated sequence of edits and faults.
func checkHistory(t *rapid.T) {
	store := newFakeStore()
	w := NewWatcher(store, fixedClock{}, WatcherOptions{})
	reference := referenceModel{accepted: map[string]model.Revision{}, unknownOutcome: map[string]bool{}, last: map[string]string{}}
	reference.put(t, store, OperatorsSection, goodOperators, 0, "base")
	highest := model.Revision(0)
	for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
		step(t, store, &reference, fmt.Sprint("e", i))
		doc, err := w.Confirm(context.Background())
		if err != nil {
			t.Fatalf("confirm: %v", err)
		}
		if doc.Revision < highest {
			t.Fatalf("the document in force went back from revision %d to %d", highest, doc.Revision)
		}
		highest = doc.Revision
		reference.compare(t, store, doc)
	}
}

// step makes one random edit, with or without a fault, or lets the delayed writes take effect.
func step(t *rapid.T, store *fakeStore, reference *referenceModel, id string) {
	section := rapid.SampledFrom([]string{"u", "v"}).Draw(t, "section")
	text := fmt.Sprintf("team: %s\nquota: {milliCPU: %d}\n", section, rapid.IntRange(0, 5).Draw(t, "quota"))
	switch rapid.SampledFrom([]string{"edit", "stale", "lost", "delayed", "land"}).Draw(t, "kind") {
	case "edit":
		reference.put(t, store, section, text, currentRevision(store, section), id)
	case "stale":
		reference.put(t, store, section, text, max(0, currentRevision(store, section)-1), id)
	case "lost":
		store.withLock(func() { store.responsesToLose = 1 })
		reference.put(t, store, section, text, currentRevision(store, section), id)
		store.withLock(func() { store.responsesToLose = 0 })
	case "delayed":
		store.withLock(func() { store.writesToDelay = 1 })
		reference.put(t, store, section, text, currentRevision(store, section), id)
		store.withLock(func() { store.writesToDelay = 0 })
	case "land":
		store.applyDelayedSwaps()
	}
}

// currentRevision returns the section's revision in the store.
func currentRevision(store *fakeStore, section string) model.Revision {
	store.mu.Lock()
	defer store.mu.Unlock()
	return model.Revision(store.entries[SectionPrefix+section].ModRevision)
}

// put makes one edit and records its result. The timeout is zero or 10 seconds; with zero, the edit
// gives up after the first attempt of each write.
func (m *referenceModel) put(t *rapid.T, store *fakeStore, section, text string, expected model.Revision, id string) {
	e := NewEditor(store, fixedClock{}, "i-1", nil)
	e.newID = func() string { return id }
	e.retryDelay = time.Microsecond
	ctx, cancel := context.WithTimeout(context.Background(), rapid.SampledFrom([]time.Duration{0, 10 * time.Second}).Draw(t, "patience"))
	defer cancel()
	before := currentRevision(store, section)
	result, err := e.Put(ctx, section, []byte(text), expected, "op")
	if err != nil {
		m.unknownOutcome[id] = EditFailure(err).Verdict != verdict.NotRun
		return
	}
	if expected != before && !result.Unchanged {
		t.Fatalf("edit %s of revision %d was accepted at revision %d", id, expected, before)
	}
	if !result.Unchanged {
		m.accepted[id] = result.Revision
	}
}

// compare checks the history and the document against the reference model.
func (m *referenceModel) compare(t *rapid.T, store *fakeStore, doc *Document) {
	changes, dropped, err := NewEditor(store, fixedClock{}, "i-1", nil).History(context.Background(), "")
	if err != nil || dropped > 0 {
		t.Fatalf("history: %v, dropped %d", err, dropped)
	}
	seen := map[string]model.Revision{}
	for _, c := range changes {
		if _, duplicate := seen[c.ID]; duplicate {
			t.Fatalf("edit %s is in the history twice", c.ID)
		}
		seen[c.ID] = c.Revision
		if _, accepted := m.accepted[c.ID]; !accepted && !m.unknownOutcome[c.ID] {
			t.Fatalf("edit %s is in the history, but was refused", c.ID)
		}
	}
	for id, revision := range m.accepted {
		if seen[id] != revision {
			t.Fatalf("edit %s was accepted as revision %d, the history says %d", id, revision, seen[id])
		}
	}
	if !slices.IsSortedFunc(changes, func(a, b Change) int { return int(b.Revision - a.Revision) }) {
		t.Fatalf("history is not in order: %v", changes)
	}
	if doc.Revision != changes[0].Revision && !m.unknownOutcome[changes[0].ID] {
		t.Fatalf("revision %d is in force, the newest accepted one is %d", doc.Revision, changes[0].Revision)
	}
}
