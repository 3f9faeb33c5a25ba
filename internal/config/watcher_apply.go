package config

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// relist reads all sections and applies those that are newer than the known ones.
func (w *Watcher) relist(ctx context.Context) error {
	seen := w.lastSeen()
	list, revision, err := w.store.List(ctx, SectionPrefix)
	if err != nil {
		return err
	}
	if err := w.checkStoreRevision(seen, revision); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkList(list, revision); err != nil {
		return err
	}
	w.apply(list)
	w.synced = max(w.synced, revision)
	return nil
}

// checkList refuses a list, read at the given store revision, that lacks a known section or has
// an older revision of it. Known sections with a higher revision than the list are not compared,
// because a watch or a later read delivered them while the list was being read.
func (w *Watcher) checkList(list []platform.KeyValue, revision int64) error {
	listed := map[string]model.Revision{}
	for _, kv := range list {
		listed[sectionName(kv.Key)] = model.Revision(kv.ModRevision)
	}
	for _, name := range w.sections.names() {
		known := w.knownRevision(name)
		if int64(known) <= revision && listed[name] < known {
			w.recordOlder(name, listed[name])
			return errOlderStore
		}
	}
	return nil
}

// handleWatchEvent applies one batch of a watch. A batch may repeat changes that are already known
// from a list.
func (w *Watcher) handleWatchEvent(e platform.WatchEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := int64(0)
	for _, kv := range e.Changed {
		newest = max(newest, kv.ModRevision)
		if kv.ModRevision == 0 {
			w.recordOlder(sectionName(kv.Key), 0)
		}
	}
	if len(e.Changed) == 0 {
		// A batch without changes reports progress up to its revision. In a batch with changes
		// the store's revision may be ahead of the changes that were delivered.
		newest = e.Revision
	}
	w.apply(e.Changed)
	w.synced = max(w.synced, newest)
	w.seen = max(w.seen, newest)
}

// apply puts the entries in force that are valid and newer than the known revision of their
// section.
func (w *Watcher) apply(entries []platform.KeyValue) {
	changed := false
	for _, kv := range entries {
		if model.Revision(kv.ModRevision) > w.knownRevision(sectionName(kv.Key)) {
			changed = w.putInForce(kv) || changed
		}
	}
	if changed {
		w.publish()
	}
}

// knownRevision returns the highest revision of the section that was read, whether it is in force
// or refused.
func (w *Watcher) knownRevision(name string) model.Revision {
	known := w.refused[name].Revision
	if s, ok := w.sections[name]; ok {
		known = max(known, s.Revision)
	}
	return known
}

// putInForce puts one newer entry in force, or refuses it and keeps the current section in force.
// It reports whether the entry was put in force.
func (w *Watcher) putInForce(kv platform.KeyValue) bool {
	name := sectionName(kv.Key)
	next, err := parseStored(kv)
	if err == nil {
		if problems := CheckChange(w.sections[name], next); len(problems) > 0 {
			err = &CheckError{Problems: problems}
		}
	}
	if err != nil {
		w.refuse(name, model.Revision(kv.ModRevision), err)
		return false
	}
	delete(w.refused, name)
	w.sections = w.sections.With(next)
	w.record(audit.Entry{Event: audit.EventConfigInForce, Subject: subject(name), Revision: next.Revision})
	return true
}

// refuse records a stored section that is not valid.
func (w *Watcher) refuse(name string, revision model.Revision, err error) {
	problem := err.Error()
	var check *CheckError
	if errors.As(err, &check) {
		problem = strings.ReplaceAll(problem, "\n", "; ")
	}
	w.refused[name] = RefusedSection{Section: name, Revision: revision, Problem: problem}
	w.record(audit.Entry{Event: audit.EventConfigInvalid, Subject: subject(name), Revision: revision, Reason: problem})
}

// recordOlder records an audit entry for a response that has an older revision of a section than
// the known one. The older revision is not used.
func (w *Watcher) recordOlder(name string, revision model.Revision) {
	reason := fmt.Sprintf("the store has revision %d, revision %d stays in force", revision, w.knownRevision(name))
	w.record(audit.Entry{Event: audit.EventConfigOlder, Subject: subject(name), Revision: revision, Reason: reason})
}

// publish builds the document from the sections, records conflicts between sections and notifies
// the subscribers.
func (w *Watcher) publish() {
	doc, ok := w.sections.Document()
	if !ok {
		return
	}
	w.doc = doc
	for _, p := range w.sections.Check() {
		w.record(audit.Entry{Event: audit.EventConfigProblem, Subject: subject(p.Section), Revision: doc.Revision, Reason: p.String()})
	}
	for _, c := range w.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// subject returns the audit subject of a section.
func subject(section string) string { return "config/" + section }
