package config

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Editor changes the stored document. Each edit replaces one section by compare-and-swap, so
// of two concurrent edits of the same revision exactly one succeeds.
type Editor struct {
	store    platform.Store
	clock    platform.Clock
	instance model.InstanceID
	recorder audit.Recorder
	newID    func() string
	// retryDelay is the delay between two attempts of a write.
	retryDelay time.Duration
	// watcher provides the section in force, which an edit is compared with if the stored section
	// was not written by an Editor; it may be nil.
	watcher *Watcher
}

// NewEditor returns an Editor. If recorder is nil, no audit entries are recorded.
func NewEditor(store platform.Store, clock platform.Clock, instance model.InstanceID, recorder audit.Recorder) *Editor {
	return &Editor{store: store, clock: clock, instance: instance, recorder: recorder, newID: uuid.NewString, retryDelay: defaultRetryDelay}
}

// SetWatcher makes the editor compare an edit with the watcher's section in force if the stored
// section was not written by an Editor. Such a stored section may violate CheckChange and have been
// refused by every instance; compared with it, a valid edit would be refused as well.
func (e *Editor) SetWatcher(w *Watcher) { e.watcher = w }

// EditResult is the outcome of an edit.
type EditResult struct {
	Section string `json:"section"`
	// Revision is in force everywhere once every live instance reports it or a higher one.
	Revision model.Revision `json:"revision"`
	// Unchanged says that the section already had this text.
	Unchanged bool `json:"unchanged,omitempty"`
}

// ConflictError says that the section changed since the revision that an edit was based
// on. Nothing was changed.
type ConflictError struct {
	Section  string         `json:"section"`
	Expected model.Revision `json:"expected"`
	// Current and Text are the revision and the text of the stored section; zero and empty if
	// there is none.
	Current model.Revision `json:"current"`
	Text    string         `json:"text"`
	// Changes are the edits since the expected revision that are still in the history.
	Changes []Change `json:"changes,omitempty"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	message := fmt.Sprintf("section %q is at revision %d, not at %d", e.Section, e.Current, e.Expected)
	for _, c := range e.Changes {
		message += fmt.Sprintf("; revision %d by %s changed line %d", c.Revision, c.Actor, c.Line)
	}
	return message
}

// pendingEdit is an edit that has been checked and is to be written to the store.
type pendingEdit struct {
	change  Change
	section *Section
	// base is the stored entry that the edit replaces.
	base platform.KeyValue
}

// Put replaces the text of a section if the store still has it at the expected revision; zero
// means that the section is to be created. Putting the text that the section already has changes
// nothing. The error is a *CheckError or a *ConflictError, after which nothing was changed, or a
// *verdict.Error.
func (e *Editor) Put(ctx context.Context, name string, text []byte, expected model.Revision, actor string) (EditResult, error) {
	result, err := e.put(ctx, name, text, expected, actor)
	e.recordOutcome(name, actor, result, err)
	return result, err
}

// put is Put without the audit entry.
func (e *Editor) put(ctx context.Context, name string, text []byte, expected model.Revision, actor string) (EditResult, error) {
	next, err := Parse(name, text)
	if err != nil {
		return EditResult{}, err
	}
	var entries []platform.KeyValue
	base, err := e.readUpToDate(ctx, name, func() (kv platform.KeyValue, err error) {
		entries, _, err = e.store.List(ctx, SectionPrefix)
		return findEntry(entries, SectionPrefix+name), err
	})
	if err != nil {
		return EditResult{}, err
	}
	current := model.Revision(base.ModRevision)
	if current != 0 && decodeEnvelope(base.Value).Text == next.Text {
		// The text is already stored, for example because this edit repeats one whose response
		// was lost.
		return e.accept(ctx, EditResult{Section: name, Revision: current, Unchanged: true})
	}
	if current != expected {
		return EditResult{}, newConflictError(name, expected, base)
	}
	if err := e.checkEdit(entries, next); err != nil {
		return EditResult{}, err
	}
	return e.write(ctx, pendingEdit{change: e.newChange(name, actor), section: next, base: base})
}

// newChange returns the history entry of an edit without its texts.
func (e *Editor) newChange(section, actor string) Change {
	return Change{ID: e.newID(), At: e.clock.Now().UTC(), Actor: actor, Section: section}
}

// checkEdit checks the document as it would be after the edit. The error is a *CheckError with
// the problems that the edit would add.
func (e *Editor) checkEdit(entries []platform.KeyValue, next *Section) error {
	set := SectionSet{}
	for _, kv := range entries {
		// An invalid stored section is not in force and is left out of the check.
		if s, err := parseStored(kv); err == nil {
			set[s.Name] = s
		}
	}
	problems := CheckChange(e.acceptedSection(entries, set, next.Name), next)
	problems = append(problems, newProblems(set.Check(), set.With(next).Check())...)
	if len(problems) == 0 {
		return nil
	}
	sortProblems(problems)
	return &CheckError{Problems: problems}
}

// acceptedSection returns the section that an edit is compared with by CheckChange.
func (e *Editor) acceptedSection(entries []platform.KeyValue, set SectionSet, name string) *Section {
	stored := findEntry(entries, SectionPrefix+name)
	if e.watcher == nil || decodeEnvelope(stored.Value).Format == envelopeFormat {
		return set[name]
	}
	if s, ok := e.watcher.section(name); ok {
		return s
	}
	return set[name]
}

// write stores the edit and raises the head to its revision.
func (e *Editor) write(ctx context.Context, edit pendingEdit) (EditResult, error) {
	name := edit.section.Name
	value, err := encodeEdit(edit)
	if err != nil {
		return EditResult{}, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "encode section: %v", err)
	}
	revision, err := e.swap(ctx, edit, value)
	if err != nil {
		return EditResult{}, err
	}
	return e.accept(ctx, EditResult{Section: name, Revision: revision})
}

// encodeEdit returns the value to store: the new text with the extended change history.
func encodeEdit(edit pendingEdit) ([]byte, error) {
	before := decodeEnvelope(edit.base.Value)
	return before.withChange(edit.change, edit.section.Text, model.Revision(edit.base.ModRevision)).encode()
}

// swap writes the value by compare-and-swap. After an unknown outcome it sends the identical
// value again. Either this attempt writes it, or the history in the stored entry shows by the id
// of the edit whether an earlier attempt did.
func (e *Editor) swap(ctx context.Context, edit pendingEdit, value []byte) (model.Revision, error) {
	key := SectionPrefix + edit.section.Name
	unknown := false
	for {
		result, err := e.store.CompareAndSwap(ctx, key, edit.base.ModRevision, value, 0)
		if err == nil {
			return swapResult(edit, result)
		}
		unknown = unknown || isUnknown(err)
		if !unknown {
			return 0, storeUnavailable(err)
		}
		if sleep(ctx, e.retryDelay) != nil {
			return 0, verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "the outcome of edit %s is not known; the history of section %q will show it: %v", edit.change.ID, edit.section.Name, err)
		}
	}
}

// swapResult returns the revision that the edit was written as, or a *ConflictError.
func swapResult(edit pendingEdit, result platform.CompareAndSwapResult) (model.Revision, error) {
	if result.Applied {
		return model.Revision(result.Revision), nil
	}
	stored := decodeEnvelope(result.Current.Value)
	if revision, found := stored.revisionOf(edit.change.ID, result.Current); found {
		return revision, nil
	}
	return 0, newConflictError(edit.section.Name, model.Revision(edit.base.ModRevision), result.Current)
}

// accept raises the head, so that every instance that confirms its document from now on includes
// the edit.
func (e *Editor) accept(ctx context.Context, result EditResult) (EditResult, error) {
	if err := raiseHead(ctx, e.store, result.Revision, e.retryDelay); err != nil {
		return EditResult{}, verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "revision %d of section %q is stored, but not yet accepted: %v", result.Revision, result.Section, err)
	}
	return result, nil
}

// History returns the changes that are kept for a section, or for all sections if name is empty,
// the newest first. The second result is the number of older changes that were dropped.
func (e *Editor) History(ctx context.Context, name string) ([]Change, int, error) {
	entries, err := e.readEntries(ctx, name)
	if err != nil {
		return nil, 0, storeUnavailable(err)
	}
	var changes []Change
	dropped := 0
	for _, kv := range entries {
		stored := decodeEnvelope(kv.Value)
		changes = append(changes, stored.changesWithRevisions(kv)...)
		dropped += stored.Dropped
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return int(b.Revision - a.Revision) })
	return changes, dropped, nil
}

// readEntries reads the entry of the named section, or of all sections if name is empty.
func (e *Editor) readEntries(ctx context.Context, name string) ([]platform.KeyValue, error) {
	if name == "" {
		entries, _, err := e.store.List(ctx, SectionPrefix)
		return entries, err
	}
	kv, _, err := e.store.Get(ctx, SectionPrefix+name)
	if err != nil || kv.ModRevision == 0 {
		return nil, err
	}
	return []platform.KeyValue{kv}, nil
}

// findEntry returns the entry of the key, or one with ModRevision zero if there is none.
func findEntry(entries []platform.KeyValue, key string) platform.KeyValue {
	for _, kv := range entries {
		if kv.Key == key {
			return kv
		}
	}
	return platform.KeyValue{Key: key}
}

// newConflictError returns a *ConflictError with the current state of the section.
func newConflictError(name string, expected model.Revision, current platform.KeyValue) error {
	stored := decodeEnvelope(current.Value)
	err := &ConflictError{
		Section:  name,
		Expected: expected,
		Current:  model.Revision(current.ModRevision),
		Text:     stored.Text,
	}
	for _, c := range stored.changesWithRevisions(current) {
		if c.Revision > expected {
			err.Changes = append(err.Changes, c)
		}
	}
	return err
}

// storeUnavailable wraps a store error that proves that nothing was changed.
func storeUnavailable(err error) error {
	return verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "%v", err)
}
