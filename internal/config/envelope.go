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
	// envelopeFormat identifies a stored section that includes its change history.
	envelopeFormat = "geraniumwick.section/1"
	// maxChanges is the number of changes that a section keeps.
	maxChanges = 32
	// maxChangeBytes limits each of the two texts, before and after, of one change.
	maxChangeBytes = 2 << 10
	// maxHistoryBytes limits the total size of the texts of all changes of a section.
	maxHistoryBytes = 32 << 10
)

// Change is one accepted edit of a section. The same compare-and-swap writes it and the text,
// so every accepted edit has an entry in the history.
type Change struct {
	// ID identifies the edit, so that its writer can find out after a lost response whether the
	// edit was written.
	ID      string    `json:"id"`
	At      time.Time `json:"at"`
	Actor   string    `json:"actor"`
	Section string    `json:"section"`
	// Replaces is the revision that the edit was based on; zero means that it created the section.
	Replaces model.Revision `json:"replaces"`
	// Revision is the store revision of the edit.
	Revision model.Revision `json:"revision,omitempty"`
	// Line is the first changed line.
	Line int `json:"line"`
	// Before and After hold only the changed lines.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Truncated says that Before or After was cut to the limit.
	Truncated bool `json:"shortened,omitempty"`
}

// envelope is the stored form of a section.
type envelope struct {
	Format string `json:"format"`
	Text   string `json:"text"`
	// Changes holds the edits that are kept, the oldest first.
	Changes []Change `json:"changes"`
	// Dropped counts the older edits that are no longer kept.
	Dropped int `json:"dropped,omitempty"`
}

// decodeEnvelope reads a stored section. A value without the format field is plain text that
// was not written by an Editor and has no change history.
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

// withChange returns the envelope with the new text and with c added to the history.
func (e envelope) withChange(c Change, text string, replaces model.Revision) envelope {
	c.Replaces = replaces
	c.Line, c.Before, c.After = changedLines(e.Text, text)
	c.Before, c.Truncated = truncateText(c.Before, c.Truncated)
	c.After, c.Truncated = truncateText(c.After, c.Truncated)
	next := envelope{Text: text, Dropped: e.Dropped}
	next.Changes = append(append(next.Changes, e.Changes...), c)
	next.trim()
	return next
}

// trim drops the oldest changes until the history is within its limits.
func (e *envelope) trim() {
	size := 0
	for _, c := range e.Changes {
		size += len(c.Before) + len(c.After)
	}
	for len(e.Changes) > maxChanges || size > maxHistoryBytes {
		size -= len(e.Changes[0].Before) + len(e.Changes[0].After)
		e.Changes = e.Changes[1:]
		e.Dropped++
	}
}

// revisionOf returns the store revision of the edit with the id, given the entry that holds
// the envelope.
func (e envelope) revisionOf(id string, kv platform.KeyValue) (model.Revision, bool) {
	for _, c := range e.changesWithRevisions(kv) {
		if c.ID == id {
			return c.Revision, true
		}
	}
	return 0, false
}

// changesWithRevisions returns the changes with their revisions. The revision of a change is the
// one that the next change replaced; that of the last change is the revision of the entry.
func (e envelope) changesWithRevisions(kv platform.KeyValue) []Change {
	changes := append([]Change(nil), e.Changes...)
	for i := range changes {
		changes[i].Revision = model.Revision(kv.ModRevision)
		if i+1 < len(changes) {
			changes[i].Revision = changes[i+1].Replaces
		}
	}
	return changes
}

// changedLines returns the number of the first line that differs, and the lines of each text
// between their common beginning and end.
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

// truncateText cuts the text to maxChangeBytes. The second result is true if this text was cut or
// truncated was true.
func truncateText(text string, truncated bool) (string, bool) {
	if len(text) <= maxChangeBytes {
		return text, truncated
	}
	return strings.ToValidUTF8(text[:maxChangeBytes], ""), true
}

// sectionName returns the name of the section that is stored under the key.
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
