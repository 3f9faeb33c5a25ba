package audit

import (
	"fmt"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// The longest texts of an entry that the trail keeps, in bytes. Callers choose some of them,
// and must not be able to fill the memory.
const (
	maxSubject = 256
	maxActor   = 128
	maxReason  = 512
	maxChange  = 1024
)

// Trail keeps the newest entries of one instance in memory and logs each as a JSON line.
// When it is full the oldest entry is dropped. It is a Recorder.
type Trail struct {
	instance model.InstanceID
	clock    platform.Clock
	log      zerolog.Logger

	mu      sync.Mutex
	entries []Entry
	// next is the place in entries for the next entry.
	next    int
	full    bool
	dropped uint64
	// places lists for each subject the places of its entries in order.
	places map[string][]int
}

// NewTrail returns a Trail of at most limit entries, at least one.
func NewTrail(instance model.InstanceID, clock platform.Clock, log zerolog.Logger, limit int) *Trail {
	return &Trail{
		instance: instance,
		clock:    clock,
		log:      log,
		entries:  make([]Entry, max(limit, 1)),
		places:   map[string][]int{},
	}
}

// Record keeps the entry and logs it. An empty time or instance is filled in.
func (t *Trail) Record(e Entry) {
	if e.At.IsZero() {
		e.At = t.clock.Now()
	}
	if e.Instance == "" {
		e.Instance = t.instance
	}
	e.clip()
	t.keep(e)
	t.write(e)
}

// clip shortens the texts of the entry to their limits.
func (e *Entry) clip() {
	e.Subject = clip(e.Subject, maxSubject)
	e.Actor = clip(e.Actor, maxActor)
	e.Reason = clip(e.Reason, maxReason)
	e.Before = clip(e.Before, maxChange)
	e.After = clip(e.After, maxChange)
}

// clip returns the text, or its beginning if it is longer than limit. The copy lets the rest
// of a long text be freed.
func clip(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:limit]), "") + "..."
}

// keep stores the entry in place of the oldest.
func (t *Trail) keep(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.full {
		t.drop(t.entries[t.next].Subject)
	}
	t.entries[t.next] = e
	t.places[e.Subject] = append(t.places[e.Subject], t.next)
	t.next++
	if t.next == len(t.entries) {
		t.next = 0
		t.full = true
	}
}

// drop forgets the oldest entry of the subject.
func (t *Trail) drop(subject string) {
	t.dropped++
	rest := t.places[subject][1:]
	if len(rest) == 0 {
		delete(t.places, subject)
		return
	}
	t.places[subject] = rest
}

// Subject returns the entries about the subject, the oldest first. If older entries of any
// subject are no longer kept, the first one returned says so.
func (t *Trail) Subject(subject string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Entry
	if t.dropped > 0 {
		list = append(list, t.droppedEntry(subject))
	}
	for _, place := range t.places[subject] {
		list = append(list, t.entries[place])
	}
	return list
}

// droppedEntry says that the absence of an entry before the oldest kept one proves nothing.
func (t *Trail) droppedEntry(subject string) Entry {
	return Entry{
		At:       t.entries[t.next].At,
		Instance: t.instance,
		Subject:  subject,
		Event:    EventDropped,
		Reason:   fmt.Sprintf("%d entries of this instance before this time are no longer kept", t.dropped),
	}
}

// Recent returns the newest entries, at most limit, the oldest first.
func (t *Trail) Recent(limit int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.next
	if t.full {
		kept = len(t.entries)
	}
	list := make([]Entry, 0, min(kept, max(limit, 0)))
	for age := cap(list); age > 0; age-- {
		place := (t.next - age + len(t.entries)) % len(t.entries)
		list = append(list, t.entries[place])
	}
	return list
}

// Dropped returns the number of entries that are no longer kept. While it is above zero,
// the absence of an entry proves nothing.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}

// write logs the entry with its stable event name.
func (t *Trail) write(e Entry) {
	line := t.log.Info().Time("at", e.At).Str("event", e.Event).Str("subject", e.Subject)
	text := func(key, value string) {
		if value != "" {
			line = line.Str(key, value)
		}
	}
	text("instance", string(e.Instance))
	text("actor", e.Actor)
	text("reason", e.Reason)
	text("verdict", e.Verdict)
	text("worker", string(e.Worker))
	text("before", e.Before)
	text("after", e.After)
	if e.Attempt != 0 {
		line = line.Uint32("attempt", e.Attempt)
	}
	if e.Revision != 0 {
		line = line.Int64("revision", int64(e.Revision))
	}
	line.Bool("durable", e.Durable).Msg("audit")
}
