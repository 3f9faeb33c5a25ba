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

// naive is the naive version of the document: the accepted edits in the order of their
// revisions, as told by the answers to the editors.
type naive struct {
	accepted map[string]model.Revision
	// open holds edits whose outcome their editor does not know.
	open map[string]bool
	last map[string]string
}

// TestHistoriesOfEditsWithFaults runs editors and a watcher against a store that loses and
// delays writes, and compares what they say with the naive version.
func TestHistoriesOfEditsWithFaults(t *testing.T) {
	rapid.Check(t, checkHistory)
}

// checkHistory runs one generated history.
func checkHistory(t *rapid.T) {
	store := newFakeStore()
	w := NewWatcher(store, testClock{}, WatcherOptions{})
	n := naive{accepted: map[string]model.Revision{}, open: map[string]bool{}, last: map[string]string{}}
	n.put(t, store, OperatorsSection, goodOperators, 0, "base")
	highest := model.Revision(0)
	for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
		step(t, store, &n, fmt.Sprint("e", i))
		doc, err := w.Confirm(context.Background())
		if err != nil {
			t.Fatalf("confirm: %v", err)
		}
		if doc.Revision < highest {
			t.Fatalf("went back from revision %d to %d", highest, doc.Revision)
		}
		highest = doc.Revision
		n.compare(t, store, doc)
	}
}

// step makes one random edit or fault.
func step(t *rapid.T, store *fakeStore, n *naive, id string) {
	section := rapid.SampledFrom([]string{"u", "v"}).Draw(t, "section")
	text := fmt.Sprintf("team: %s\nquota: {milliCPU: %d}\n", section, rapid.IntRange(0, 5).Draw(t, "quota"))
	switch rapid.SampledFrom([]string{"edit", "stale", "lost", "delayed", "land"}).Draw(t, "kind") {
	case "edit":
		n.put(t, store, section, text, currentRevision(store, section), id)
	case "stale":
		n.put(t, store, section, text, max(0, currentRevision(store, section)-1), id)
	case "lost":
		store.set(func() { store.loseSwaps = 1 })
		n.put(t, store, section, text, currentRevision(store, section), id)
		store.set(func() { store.loseSwaps = 0 })
	case "delayed":
		store.set(func() { store.delaySwaps = 1 })
		n.put(t, store, section, text, currentRevision(store, section), id)
		store.set(func() { store.delaySwaps = 0 })
	case "land":
		store.land()
	}
}

// currentRevision returns the section's revision in the store.
func currentRevision(store *fakeStore, section string) model.Revision {
	store.mu.Lock()
	defer store.mu.Unlock()
	return model.Revision(store.entries[SectionPrefix+section].ModRevision)
}

// put makes one edit that gives up after the first try of each write.
func (n *naive) put(t *rapid.T, store *fakeStore, section, text string, expected model.Revision, id string) {
	e := NewEditor(store, testClock{}, "i-1", nil)
	e.newID = func() string { return id }
	e.retryPause = time.Microsecond
	ctx, cancel := context.WithTimeout(context.Background(), rapid.SampledFrom([]time.Duration{0, 10 * time.Second}).Draw(t, "patience"))
	defer cancel()
	before := currentRevision(store, section)
	accepted, err := e.Put(ctx, section, []byte(text), expected, "op")
	if err != nil {
		n.open[id] = EditFailure(err).Verdict != verdict.NotRun
		return
	}
	if expected != before && !accepted.Unchanged {
		t.Fatalf("edit %s of revision %d was accepted at revision %d", id, expected, before)
	}
	if !accepted.Unchanged {
		n.accepted[id] = accepted.Revision
	}
}

// compare checks the history and the document against the naive version.
func (n *naive) compare(t *rapid.T, store *fakeStore, doc *Document) {
	changes, dropped, err := NewEditor(store, testClock{}, "i-1", nil).History(context.Background(), "")
	if err != nil || dropped > 0 {
		t.Fatalf("history: %v, dropped %d", err, dropped)
	}
	seen := map[string]model.Revision{}
	for _, c := range changes {
		if _, doubled := seen[c.ID]; doubled {
			t.Fatalf("edit %s is in the history twice", c.ID)
		}
		seen[c.ID] = c.Revision
		if _, told := n.accepted[c.ID]; !told && !n.open[c.ID] {
			t.Fatalf("edit %s is in the history, but was refused", c.ID)
		}
	}
	for id, revision := range n.accepted {
		if seen[id] != revision {
			t.Fatalf("edit %s was accepted as revision %d, the history says %d", id, revision, seen[id])
		}
	}
	if !slices.IsSortedFunc(changes, func(a, b Change) int { return int(b.Revision - a.Revision) }) {
		t.Fatalf("history is not in order: %v", changes)
	}
	if doc.Revision != changes[0].Revision && !n.open[changes[0].ID] {
		t.Fatalf("revision %d is in force, the newest accepted one is %d", doc.Revision, changes[0].Revision)
	}
}
