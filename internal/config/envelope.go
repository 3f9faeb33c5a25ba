package config

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// envelopeFormat marks a stored section that carries its trail of changes.
	envelopeFormat = "geraniumwick.section/1"
	// maxChanges bounds the changes that a section keeps.
	maxChanges = 32
	// maxChangeBytes bounds the text before and after that one change keeps.
	maxChangeBytes = 2 << 10
	// maxTrailBytes bounds the texts of all changes that a section keeps.
	maxTrailBytes = 32 << 10
)

// Change is one accepted edit of a section. It is written together with the text by one
// compare-and-swap, so that no accepted edit can be without its entry.
type Change struct {
	// ID identifies the edit, so that its writer recognises it after a lost answer.
	ID      string    `json:"id"`
	At      time.Time `json:"at"`
	Actor   string    `json:"actor"`
	Section string    `json:"section"`
	// Replaces is the revision that the edit was based on; zero created the section.
	Replaces model.Revision `json:"replaces"`
	// Revision is the store revision of the edit.
	Revision model.Revision `json:"revision,omitempty"`
	// Line is the first changed line.
	Line int `json:"line"`
	// Before and After are the changed lines only.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Truncated says that Before or After was cut to the limit.
	Truncated bool `json:"shortened,omitempty"`
}

// envelope is the stored form of a section.
type envelope struct {
	Format string `json:"format"`
	Text   string `json:"text"`
	// Changes holds the newest edits, the newest last.
	Changes []Change `json:"changes"`
	// Dropped counts the older edits that are no longer kept.
	Dropped int `json:"dropped,omitempty"`
}

// decodeEnvelope reads a stored section. A value without the format mark is a plain text
// that was written by other means, without a trail.
func decodeEnvelope(value []byte) envelope {
	var e envelope
	if bytes.HasPrefix(value, []byte("{")) && json.Unmarshal(value, &e) == nil && e.Format == envelopeFormat {
		return e
	}
	return envelope{Text: string(value)}
}

// encode returns the stored form.
func (e envelope) encode() ([]byte, error) {
	e.Format = envelopeFormat
	return json.Marshal(e)
}

// edited returns the envelope after a change to the text.
func (e envelope) edited(c Change, text string, replaces model.Revision) envelope {
	c.Replaces = replaces
	c.Line, c.Before, c.After = changedLines(e.Text, text)
	c.Before, c.Truncated = shorten(c.Before, c.Truncated)
	c.After, c.Truncated = shorten(c.After, c.Truncated)
	next := envelope{Text: text, Dropped: e.Dropped}
	next.Changes = append(append(next.Changes, e.Changes...), c)
	next.trim()
	return next
}

// trim drops the oldest changes beyond the limits.
func (e *envelope) trim() {
	size := 0
	for _, c := range e.Changes {
		size += len(c.Before) + len(c.After)
	}
	for len(e.Changes) > maxChanges || size > maxTrailBytes {
		size -= len(e.Changes[0].Before) + len(e.Changes[0].After)
		e.Changes = e.Changes[1:]
		e.Dropped++
	}
}

// revisionOf returns the store revision of the edit with the id, given the entry that holds
// the envelope.
func (e envelope) revisionOf(id string, kv platform.KeyValue) (model.Revision, bool) {
	for _, c := range e.numbered(kv) {
		if c.ID == id {
			return c.Revision, true
		}
	}
	return 0, false
}

// numbered returns the changes with their revisions: each is the one that the next replaced.
func (e envelope) numbered(kv platform.KeyValue) []Change {
	changes := append([]Change(nil), e.Changes...)
	for i := range changes {
		changes[i].Revision = model.Revision(kv.ModRevision)
		if i+1 < len(changes) {
			changes[i].Revision = changes[i+1].Replaces
		}
	}
	return changes
}

// changedLines returns the first differing line and the lines that differ, leaving out the
// common beginning and end.
func changedLines(before, after string) (line int, old, new string) {
	a := strings.SplitAfter(before, "\n")
	b := strings.SplitAfter(after, "\n")
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	endA, endB := len(a), len(b)
	for endA > start && endB > start && a[endA-1] == b[endB-1] {
		endA--
		endB--
	}
	return start + 1, strings.Join(a[start:endA], ""), strings.Join(b[start:endB], "")
}

// shorten cuts the text to the limit of a change.
func shorten(text string, already bool) (string, bool) {
	if len(text) <= maxChangeBytes {
		return text, already
	}
	return strings.ToValidUTF8(text[:maxChangeBytes], ""), true
}

// sectionName returns the section's name of a store key.
func sectionName(key string) string {
	return strings.TrimPrefix(key, SectionPrefix)
}

// parseStored parses a stored section.
func parseStored(kv platform.KeyValue) (*Section, error) {
	s, err := Parse(sectionName(kv.Key), []byte(decodeEnvelope(kv.Value).Text))
	if err != nil {
		return nil, err
	}
	s.Revision = model.Revision(kv.ModRevision)
	return s, nil
}
