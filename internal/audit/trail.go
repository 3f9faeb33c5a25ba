package audit

import (
	"fmt"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// The maximum sizes of the texts of an entry, in bytes. Callers choose some of these texts, so
// without a limit they could exhaust memory.
const (
	maxSubjectBytes = 256
	maxActorBytes   = 128
	maxReasonBytes  = 512
	maxChangeBytes  = 1024
)

// Trail is a Recorder that keeps the newest entries of one instance in memory and logs each
// entry as a JSON line. When it is full, a new entry replaces the oldest.
type Trail struct {
	instance model.InstanceID
	clock    platform.Clock
	log      zerolog.Logger

	mu      sync.Mutex
	entries []Entry
	// next is the index in entries for the next entry.
	next    int
	full    bool
	dropped uint64
	// positions lists for each subject the indexes of its entries, the oldest first.
	positions map[string][]int
}

// NewTrail returns a Trail that keeps at most limit entries, and at least one.
func NewTrail(instance model.InstanceID, clock platform.Clock, log zerolog.Logger, limit int) *Trail {
	return &Trail{
		instance:  instance,
		clock:     clock,
		log:       log,
		entries:   make([]Entry, max(limit, 1)),
		positions: map[string][]int{},
	}
}

// Record keeps the entry and logs it. It sets the time and the instance if they are empty.
func (t *Trail) Record(e Entry) {
	if e.At.IsZero() {
		e.At = t.clock.Now()
	}
	if e.Instance == "" {
		e.Instance = t.instance
	}
	e.truncateTexts()
	t.keep(e)
	t.write(e)
}

// truncateTexts truncates the texts of the entry to their limits.
func (e *Entry) truncateTexts() {
	e.Subject = truncate(e.Subject, maxSubjectBytes)
	e.Actor = truncate(e.Actor, maxActorBytes)
	e.Reason = truncate(e.Reason, maxReasonBytes)
	e.Before = truncate(e.Before, maxChangeBytes)
	e.After = truncate(e.After, maxChangeBytes)
}

// truncate returns the text, or its beginning followed by "..." if it is longer than limit bytes. The
// beginning is copied, so that the memory of the long text can be freed.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:limit]), "") + "..."
}

// keep stores the entry, in place of the oldest one if the trail is full.
func (t *Trail) keep(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.full {
		t.drop(t.entries[t.next].Subject)
	}
	t.entries[t.next] = e
	t.positions[e.Subject] = append(t.positions[e.Subject], t.next)
	t.next++
	if t.next == len(t.entries) {
		t.next = 0
		t.full = true
	}
}

// drop counts a dropped entry and removes the oldest position of its subject.
func (t *Trail) drop(subject string) {
	t.dropped++
	rest := t.positions[subject][1:]
	if len(rest) == 0 {
		delete(t.positions, subject)
		return
	}
	t.positions[subject] = rest
}

// Subject returns the entries about the subject, the oldest first. If entries of any subject have
// been dropped, the first entry returned is an EventDropped.
func (t *Trail) Subject(subject string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Entry
	if t.dropped > 0 {
		list = append(list, t.droppedEntry(subject))
	}
	for _, position := range t.positions[subject] {
		list = append(list, t.entries[position])
	}
	return list
}

// droppedEntry returns an entry with the time of the oldest kept entry, which reports that all
// older ones were dropped. Their absence does not prove that nothing happened.
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
		position := (t.next - age + len(t.entries)) % len(t.entries)
		list = append(list, t.entries[position])
	}
	return list
}

// Dropped returns the number of entries that are no longer kept. If it is above zero, the absence
// of an entry does not prove that the event did not happen.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}

// write logs the entry with its stable event name.
func (t *Trail) write(e Entry) {
	line := t.log.Info().Time("at", e.At).Str("event", e.Event).Str("subject", e.Subject)
	addText := func(key, value string) {
		if value != "" {
			line = line.Str(key, value)
		}
	}
	addText("instance", string(e.Instance))
	addText("actor", e.Actor)
	addText("reason", e.Reason)
	addText("verdict", e.Verdict)
	addText("worker", string(e.Worker))
	addText("before", e.Before)
	addText("after", e.After)
	if e.Attempt != 0 {
		line = line.Uint32("attempt", e.Attempt)
	}
	if e.Revision != 0 {
		line = line.Int64("revision", int64(e.Revision))
	}
	line.Bool("durable", e.Durable).Msg("audit")
}
