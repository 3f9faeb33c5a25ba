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

// Editor changes the stored document. Each edit replaces one section by compare-and-swap,
// so that of two operators who edit the same revision exactly one succeeds.
type Editor struct {
	store    platform.Store
	clock    platform.Clock
	instance model.InstanceID
	recorder audit.Recorder
	newID    func() string
	// retryPause is the wait between two tries of a write.
	retryPause time.Duration
	// inForce is consulted for sections that were stored by other means; may be nil.
	inForce *Watcher
}

// NewEditor returns an Editor. A nil recorder drops the audit entries.
func NewEditor(store platform.Store, clock platform.Clock, instance model.InstanceID, recorder audit.Recorder) *Editor {
	return &Editor{store: store, clock: clock, instance: instance, recorder: recorder, newID: uuid.NewString, retryPause: defaultRetryPause}
}

// SetWatcher makes the editor compare an edit with the section that the watcher has in
// force if the stored one was written by other means than an Editor. Without it, a stored
// section that no instance has put in force could not be replaced by a good one.
func (e *Editor) SetWatcher(w *Watcher) { e.inForce = w }

// EditResult is the outcome of an edit.
type EditResult struct {
	Section string `json:"section"`
	// Revision is in force everywhere once every live instance reports it or a higher one.
	Revision model.Revision `json:"revision"`
	// Unchanged says that the section had the text already.
	Unchanged bool `json:"unchanged,omitempty"`
}

// ConflictError says that the section changed since the revision that an edit was based
// on. Nothing was changed.
type ConflictError struct {
	Section  string         `json:"section"`
	Expected model.Revision `json:"expected"`
	// Current and Text are the section as it is; zero and empty if there is none.
	Current model.Revision `json:"current"`
	Text    string         `json:"text"`
	// Changes are the edits since the expected revision that are still kept.
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

// edit is one change on its way to the store.
type edit struct {
	change  Change
	section *Section
	// base is the entry that the edit replaces.
	base platform.KeyValue
}

// Put replaces the text of a section if the store still has it at the expected revision;
// zero creates it. Putting the text that is there already changes nothing. The error is a *CheckError or a *ConflictError, after which nothing
// was changed, or a *verdict.Error.
func (e *Editor) Put(ctx context.Context, name string, text []byte, expected model.Revision, actor string) (EditResult, error) {
	accepted, err := e.put(ctx, name, text, expected, actor)
	e.recordOutcome(name, actor, accepted, err)
	return accepted, err
}

// put is Put without the audit entry.
func (e *Editor) put(ctx context.Context, name string, text []byte, expected model.Revision, actor string) (EditResult, error) {
	next, err := Parse(name, text)
	if err != nil {
		return EditResult{}, err
	}
	var entries []platform.KeyValue
	base, err := e.readFresh(ctx, name, func() (kv platform.KeyValue, err error) {
		entries, _, err = e.store.List(ctx, SectionPrefix)
		return find(entries, SectionPrefix+name), err
	})
	if err != nil {
		return EditResult{}, err
	}
	current := model.Revision(base.ModRevision)
	if current != 0 && decodeEnvelope(base.Value).Text == next.Text {
		// An edit that is repeated after a lost answer finds its own text.
		return e.accept(ctx, EditResult{Section: name, Revision: current, Unchanged: true})
	}
	if current != expected {
		return EditResult{}, conflict(name, expected, base)
	}
	if err := e.checkEdit(entries, next); err != nil {
		return EditResult{}, err
	}
	return e.write(ctx, edit{change: e.newChange(name, actor), section: next, base: base})
}

// newChange returns the entry of an edit without its texts.
func (e *Editor) newChange(section, actor string) Change {
	return Change{ID: e.newID(), At: e.clock.Now().UTC(), Actor: actor, Section: section}
}

// checkEdit checks the document as it would be, and returns the problems that are new.
func (e *Editor) checkEdit(entries []platform.KeyValue, next *Section) error {
	set := SectionSet{}
	for _, kv := range entries {
		// A stored section that is not valid is not in force and takes no part in the check.
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

// acceptedSection returns the section that an edit must be compatible with.
func (e *Editor) acceptedSection(entries []platform.KeyValue, set SectionSet, name string) *Section {
	stored := find(entries, SectionPrefix+name)
	if e.inForce == nil || decodeEnvelope(stored.Value).Format == envelopeFormat {
		return set[name]
	}
	if s, ok := e.inForce.section(name); ok {
		return s
	}
	return set[name]
}

// write stores the edit and makes it accepted.
func (e *Editor) write(ctx context.Context, d edit) (EditResult, error) {
	name := d.section.Name
	value, err := editedValue(d)
	if err != nil {
		return EditResult{}, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "encode section: %v", err)
	}
	revision, err := e.swap(ctx, d, value)
	if err != nil {
		return EditResult{}, err
	}
	return e.accept(ctx, EditResult{Section: name, Revision: revision})
}

// editedValue returns the value to store.
func editedValue(d edit) ([]byte, error) {
	before := decodeEnvelope(d.base.Value)
	return before.edited(d.change, d.section.Text, model.Revision(d.base.ModRevision)).encode()
}

// swap writes the value by compare-and-swap. After an unknown outcome it sends the identical
// value again: either it is written now, or the entry that is there tells by the id of the
// edit whether the former try was.
func (e *Editor) swap(ctx context.Context, d edit, value []byte) (model.Revision, error) {
	key := SectionPrefix + d.section.Name
	unknown := false
	for {
		result, err := e.store.CompareAndSwap(ctx, key, d.base.ModRevision, value, 0)
		if err == nil {
			return outcome(d, result)
		}
		unknown = unknown || isUnknown(err)
		if !unknown {
			return 0, notStored(err)
		}
		if pause(ctx, e.retryPause) != nil {
			return 0, verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "the outcome of edit %s is not known; the history of section %q will show it: %v", d.change.ID, d.section.Name, err)
		}
	}
}

// outcome reads the answer of a compare-and-swap.
func outcome(d edit, result platform.CompareAndSwapResult) (model.Revision, error) {
	if result.Applied {
		return model.Revision(result.Revision), nil
	}
	stored := decodeEnvelope(result.Current.Value)
	if revision, mine := stored.revisionOf(d.change.ID, result.Current); mine {
		return revision, nil
	}
	return 0, conflict(d.section.Name, model.Revision(d.base.ModRevision), result.Current)
}

// accept raises the head, so that every instance that confirms its document from now on
// has the edit.
func (e *Editor) accept(ctx context.Context, a EditResult) (EditResult, error) {
	if err := raiseHead(ctx, e.store, a.Revision, e.retryPause); err != nil {
		return EditResult{}, verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "revision %d of section %q is stored, but not yet accepted everywhere: %v", a.Revision, a.Section, err)
	}
	return a, nil
}

// History returns the kept changes of a section, or of all sections if name is empty, the
// newest first, and how many older ones are no longer kept.
func (e *Editor) History(ctx context.Context, name string) ([]Change, int, error) {
	entries, err := e.entries(ctx, name)
	if err != nil {
		return nil, 0, notStored(err)
	}
	var changes []Change
	dropped := 0
	for _, kv := range entries {
		stored := decodeEnvelope(kv.Value)
		changes = append(changes, stored.numbered(kv)...)
		dropped += stored.Dropped
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return int(b.Revision - a.Revision) })
	return changes, dropped, nil
}

// entries reads one section or all.
func (e *Editor) entries(ctx context.Context, name string) ([]platform.KeyValue, error) {
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

// find returns the entry of the key, or an absent one.
func find(entries []platform.KeyValue, key string) platform.KeyValue {
	for _, kv := range entries {
		if kv.Key == key {
			return kv
		}
	}
	return platform.KeyValue{Key: key}
}

// conflict describes the section that an edit was not based on.
func conflict(name string, expected model.Revision, current platform.KeyValue) error {
	stored := decodeEnvelope(current.Value)
	err := &ConflictError{
		Section:  name,
		Expected: expected,
		Current:  model.Revision(current.ModRevision),
		Text:     stored.Text,
	}
	for _, c := range stored.numbered(current) {
		if c.Revision > expected {
			err.Changes = append(err.Changes, c)
		}
	}
	return err
}

// notStored wraps a store error after which nothing was changed.
func notStored(err error) error {
	return verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "%v", err)
}
