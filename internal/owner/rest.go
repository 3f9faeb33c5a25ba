package owner

import "time"

const (
	// restFactor is the rest after a decision, as a multiple of the time that it took. Under
	// load, more events share a decision, and time is left for calls and answers.
	restFactor = 2
	// maxRest bounds the rest, so that a slow machine still decides several times a second.
	maxRest = 40 * time.Millisecond
)

// rest spaces decisions by what they cost.
type rest struct {
	until time.Time
	timer <-chan time.Time
}

// due fires when a decision that was put off may be taken.
func (r *rest) due() <-chan time.Time { return r.timer }

// over reports whether a decision may be taken now; otherwise due fires later.
func (r *rest) over(now time.Time) bool {
	if wait := r.until.Sub(now); wait > 0 {
		if r.timer == nil {
			r.timer = time.After(wait)
		}
		return false
	}
	r.timer = nil
	return true
}

// begin starts the rest after a decision.
func (r *rest) begin(began, now time.Time) {
	r.until = now.Add(min(restFactor*now.Sub(began), maxRest))
}
