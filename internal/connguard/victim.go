package connguard

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/refusals"
)

// phase is what a connection is being used for.
type phase int

const (
	idle     phase = iota // no request has begun
	headers               // the headers of a request are being read
	handling              // a handler works on a request
	body                  // a handler waits for the body of a request
	ending                // the handler has returned, the response is not sent yet
	hijacked              // another protocol is spoken
)

// state is the phase of a connection.
type state struct {
	phase phase
	// since is when the phase began; that of body is when the first byte was waited for.
	since time.Time
	// writingSince is when a write began that has not ended; the zero time if there is none.
	writingSince time.Time
}

const (
	// idleTime is the time after which a connection without a request may be closed in favour of another one.
	idleTime = 250 * time.Millisecond
	// slowTime is the time after which a request or response that waits for its client counts as slow.
	slowTime = time.Second
)

// slowSince returns since when a connection has waited for its client, and whether it does.
func (s state) slowSince() (time.Time, bool) {
	switch {
	case !s.writingSince.IsZero():
		return s.writingSince, true
	case s.phase == headers || s.phase == body || s.phase == ending:
		return s.since, true
	default:
		return time.Time{}, false
	}
}

// victimSearch finds the connection that is to be closed in favour of a new one: the one that has been idle for longest,
// else the slowest one. Its value allocates nothing.
type victimSearch[C any] struct {
	oldestIdle, oldestSlow C
	// idleReason and slowReason are empty if no connection has been idle for idleTime or slow for slowTime.
	idleReason, slowReason refusals.Reason
	idleSince, slowSince   time.Time
}

func newVictimSearch[C any](now time.Time) victimSearch[C] {
	return victimSearch[C]{idleSince: now.Add(-idleTime), slowSince: now.Add(-slowTime)}
}

// consider looks at one connection.
func (v *victimSearch[C]) consider(c C, s state) {
	if s.phase == idle && !s.since.After(v.idleSince) {
		v.oldestIdle, v.idleSince, v.idleReason = c, s.since, refusals.IdleClosed
	}
	if since, slow := s.slowSince(); slow && !since.After(v.slowSince) {
		v.oldestSlow, v.slowSince, v.slowReason = c, since, refusals.SlowClosed
	}
}

// victim returns the connection that was found, and why it is to be closed. The reason is empty if none was found.
func (v *victimSearch[C]) victim() (C, refusals.Reason) {
	if v.idleReason != "" {
		return v.oldestIdle, v.idleReason
	}
	return v.oldestSlow, v.slowReason
}
