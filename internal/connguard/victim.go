package connguard

import (
	"iter"
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

// chooseVictim returns the connection that is to be closed in favour of a new one, and why: the one that has been idle for
// longest, else the slowest one. The reason is empty if none has been idle for idleTime or slow for slowTime.
func chooseVictim[C any](conns iter.Seq2[C, state], now time.Time) (C, refusals.Reason) {
	var oldestIdle, oldestSlow C
	var idleReason, slowReason refusals.Reason
	idleSince, slowSince := now.Add(-idleTime), now.Add(-slowTime)
	for c, s := range conns {
		if s.phase == idle && !s.since.After(idleSince) {
			oldestIdle, idleSince, idleReason = c, s.since, refusals.IdleClosed
		}
		if since, slow := s.slowSince(); slow && !since.After(slowSince) {
			oldestSlow, slowSince, slowReason = c, since, refusals.SlowClosed
		}
	}
	if idleReason != "" {
		return oldestIdle, idleReason
	}
	return oldestSlow, slowReason
}
