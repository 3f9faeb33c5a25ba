// Package refusals counts the requests and connections that an instance refuses to protect itself, and logs them at
// a bounded rate.
package refusals

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// logInterval is the shortest time between two log lines of one Recorder.
const logInterval = 5 * time.Second

// Reason says why a request or connection was refused.
type Reason string

const (
	// BytesHeld means that requests being received held too many bytes.
	BytesHeld Reason = "bytes-held"
	// TooSlow means that a body arrived too slowly.
	TooSlow Reason = "too-slow"
	// IdleClosed means that an idle connection was closed in favour of a new one.
	IdleClosed Reason = "idle-closed"
	// SlowClosed means that a connection with a slow request or response was closed in favour of a new one.
	SlowClosed Reason = "slow-closed"
)

// Recorder records the refusals of one listener. It is safe for concurrent use.
type Recorder struct {
	listener string
	scope    tally.Scope
	log      zerolog.Logger

	mu       sync.Mutex
	unlogged map[Reason]int
	loggedAt time.Time
}

// New returns a recorder for the listener of a name.
func New(listener string, scope tally.Scope, log zerolog.Logger) *Recorder {
	return &Recorder{
		listener: listener,
		scope:    scope.Tagged(map[string]string{"listener": listener}),
		log:      log,
		unlogged: map[Reason]int{},
	}
}

// Record counts one refusal. It logs all since the last line, unless that was written within logInterval.
func (r *Recorder) Record(reason Reason) {
	r.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("listener_refused").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[reason]++
	if !r.loggedAt.IsZero() && time.Since(r.loggedAt) < logInterval {
		return
	}
	line := r.log.Warn().Str("event", "listener.refused").Str("listener", r.listener)
	for reason, n := range r.unlogged {
		line = line.Int(string(reason), n)
	}
	line.Send()
	clear(r.unlogged)
	r.loggedAt = time.Now()
}
