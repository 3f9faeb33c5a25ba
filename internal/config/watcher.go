package config

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// defaultPollInterval is the time between two reads of HeadKey, which detect edits that a
	// watch did not deliver because it stopped without an error.
	defaultPollInterval = time.Second
	// relistInterval is the time between two complete reads of the sections. They detect changes
	// that an Editor did not make, which do not raise HeadKey, after a watch stopped without an
	// error.
	relistInterval = 10 * time.Minute
	// callTimeout is the timeout of one store call of the watcher.
	callTimeout = 2 * time.Second
)

// WatcherOptions are the optional parts of a Watcher.
type WatcherOptions struct {
	Instance model.InstanceID
	// Recorder receives the audit entries; if it is nil, none are recorded.
	Recorder audit.Recorder
	// PollInterval is the time between two confirmations; zero means one second.
	PollInterval time.Duration
}

// UnconfirmedError says that the document in force could not be proved to be the newest. Nothing
// may be started on the basis of an unconfirmed document.
type UnconfirmedError struct {
	Cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return "configuration not confirmed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

var (
	errNoDocument = errors.New("no document is in force")
	errOlderStore = errors.New("the store returned an older document than the one in force")
	errNotSynced  = errors.New("the newest accepted section has not been read from the store")
)

// RefusedSection is a stored section that is not in force.
type RefusedSection struct {
	Section  string         `json:"section"`
	Revision model.Revision `json:"revision"`
	Problem  string         `json:"problem"`
}

// Watcher follows the sections in the store and provides the document in force, on which this
// instance bases its decisions. It never replaces a section by an older revision. Its methods may be
// called from any goroutine.
type Watcher struct {
	store platform.Store
	clock platform.Clock
	opts  WatcherOptions

	mu       sync.Mutex
	sections SectionSet
	doc      *Document
	// synced is the store revision up to which all changes of sections have been received.
	synced int64
	// seen is the highest store revision in any response so far.
	seen int64
	// accepted is the highest revision that was read from HeadKey.
	accepted    model.Revision
	confirmed   time.Time
	refused     map[string]RefusedSection
	subscribers []chan struct{}
	changed     <-chan struct{}

	confirmations coalescer
}

// NewWatcher returns a Watcher. It has no document until Run or Confirm has read one.
func NewWatcher(store platform.Store, clock platform.Clock, opts WatcherOptions) *Watcher {
	if opts.PollInterval == 0 {
		opts.PollInterval = defaultPollInterval
	}
	w := &Watcher{
		store:    store,
		clock:    clock,
		opts:     opts,
		sections: SectionSet{},
		refused:  map[string]RefusedSection{},
	}
	w.changed = w.Subscribe()
	w.confirmations.run = w.confirmOnce
	return w
}

// Current returns the document in force. It must not be modified.
func (w *Watcher) Current() (*Document, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc, w.doc != nil
}

// Sections returns the sections in force in the order of their names.
func (w *Watcher) Sections() []*Section {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*Section
	for _, name := range w.sections.names() {
		list = append(list, w.sections[name])
	}
	return list
}

// section returns the section in force with the name.
func (w *Watcher) section(name string) (*Section, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.sections[name]
	return s, ok
}

// Refused returns the stored sections that are not in force, in the order of their names.
func (w *Watcher) Refused() []RefusedSection {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []RefusedSection
	for _, name := range slices.Sorted(maps.Keys(w.refused)) {
		list = append(list, w.refused[name])
	}
	return list
}

// Changed returns a channel of capacity one that receives a notification after each change of
// the document. All callers share the channel; a second consumer needs its own from Subscribe.
func (w *Watcher) Changed() <-chan struct{} { return w.changed }

// Subscribe returns a new channel of capacity one that receives a notification after each change
// of the document. A change is not notified while a notification is pending.
func (w *Watcher) Subscribe() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := make(chan struct{}, 1)
	w.subscribers = append(w.subscribers, c)
	return c
}

// Confirmed returns the start time of the last store read that proved the document in force to
// be the newest.
func (w *Watcher) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Confirm returns the document in force after a store read, begun after the call, has proved
// that it includes every accepted edit. If it does not include them, the sections are read
// first. Concurrent callers share one read. The error is an *UnconfirmedError.
func (w *Watcher) Confirm(ctx context.Context) (*Document, error) {
	return w.confirmations.do(ctx)
}

// confirmOnce makes one confirmation.
func (w *Watcher) confirmOnce() (*Document, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	started := w.clock.Now()
	seen := w.lastSeen()
	h, err := readHead(ctx, w.store)
	if err != nil {
		return nil, &UnconfirmedError{Cause: err}
	}
	if err := w.checkStoreRevision(seen, h.StoreRevision); err != nil {
		return nil, &UnconfirmedError{Cause: err}
	}
	if err := w.checkHeadRevision(h); err != nil {
		return nil, &UnconfirmedError{Cause: err}
	}
	if !w.includesHead(h) {
		if err := w.relist(ctx); err != nil {
			return nil, &UnconfirmedError{Cause: err}
		}
	}
	return w.recordConfirmation(h, started)
}

// includesHead reports whether all changes up to the accepted revision have been received. It
// returns false if there is no document or HeadKey does not exist; then only a complete read of
// the sections can confirm the document.
func (w *Watcher) includesHead(h headRead) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return h.KeyRevision != 0 && w.doc != nil && int64(h.AcceptedRevision) <= w.synced
}

// recordConfirmation records the time of the confirmation and returns the document, if it
// includes the accepted revision and the newest operators' section is in force. An operators'
// section that was refused may take a data centre out of service, so nothing may start on the basis
// of the previous one.
func (w *Watcher) recordConfirmation(h headRead, started time.Time) (*Document, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.doc == nil {
		return nil, &UnconfirmedError{Cause: errNoDocument}
	}
	if int64(h.AcceptedRevision) > w.synced {
		return nil, &UnconfirmedError{Cause: errNotSynced}
	}
	if r, refused := w.refused[OperatorsSection]; refused {
		return nil, &UnconfirmedError{Cause: fmt.Errorf("the operators' section of revision %d is not in force: %s", r.Revision, r.Problem)}
	}
	if started.After(w.confirmed) {
		w.confirmed = started
	}
	return w.doc, nil
}

// lastSeen returns the highest store revision in any response so far.
func (w *Watcher) lastSeen() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}

// checkStoreRevision refuses a response whose store revision is lower than before, the highest one
// known when the call began. Such a response shows an older state of the store.
func (w *Watcher) checkStoreRevision(before, revision int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision < before {
		w.record(audit.Entry{Event: audit.EventConfigOlder, Subject: HeadKey, Reason: fmt.Sprintf("the store is at revision %d, after %d was seen", revision, before)})
		return errOlderStore
	}
	w.seen = max(w.seen, revision)
	return nil
}

// checkHeadRevision refuses a head with a lower revision than one that was read before. The head
// never decreases, so such a response shows an older state of the store.
func (w *Watcher) checkHeadRevision(h headRead) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.AcceptedRevision < w.accepted {
		w.record(audit.Entry{Event: audit.EventConfigOlder, Subject: HeadKey, Revision: h.AcceptedRevision, Reason: fmt.Sprintf("the head is %d, after %d was read", h.AcceptedRevision, w.accepted)})
		return errOlderStore
	}
	w.accepted = h.AcceptedRevision
	return nil
}

// record passes an audit entry to the recorder, if there is one.
func (w *Watcher) record(e audit.Entry) {
	if w.opts.Recorder == nil {
		return
	}
	e.At = w.clock.Now()
	e.Instance = w.opts.Instance
	w.opts.Recorder.Record(e)
}
