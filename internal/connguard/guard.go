// Package connguard protects an HTTP server from clients that open many connections, leave them idle, or send their
// requests slowly. It bounds the open connections: if too many are open, idle and slow ones are closed in favour of new
// ones, which wait while all are in use. It also charges the headers of requests to a budget while they are read.
package connguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
)

// Options are the limits of one server. Those of 0 do not apply.
type Options struct {
	// MaxConns is the number of connections that may be open.
	MaxConns int
	// Crowded, if set, reports whether the process has so many connections, also those of other servers and those that it
	// has established, that another one needs the place of one that is open.
	Crowded func() bool
	// MaxHeaderBytes bounds the headers of a request, in bytes.
	MaxHeaderBytes int
	// ReadHeaderTimeout is the time within which the headers of a request must arrive, IdleTimeout that after which an
	// idle connection is closed, and WriteTimeout bounds the time from the headers of a request to the end of its response.
	ReadHeaderTimeout, IdleTimeout, WriteTimeout time.Duration
	// Budget is what headers and bodies are charged to.
	Budget *bodybudget.Budget
	// Recorder records closed connections and refused requests.
	Recorder *refusals.Recorder
}

// Guard protects one server. It is safe for concurrent use.
type Guard struct {
	options Options
	freed   chan struct{} // is sent to when a connection has been closed

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a guard.
func New(o Options) *Guard {
	return &Guard{options: o, freed: make(chan struct{}, 1), conns: map[*conn]struct{}{}}
}

type contextKey struct{}

// Server returns a server for h with the limits of the guard. Its listeners must be those of Listener.
func (g *Guard) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           g.handler(g.options.Budget.Handler(h, g.options.Recorder)),
		MaxHeaderBytes:    g.options.MaxHeaderBytes,
		ReadHeaderTimeout: g.options.ReadHeaderTimeout,
		IdleTimeout:       g.options.IdleTimeout,
		WriteTimeout:      g.options.WriteTimeout,
		ConnState:         onState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, contextKey{}, guarded(c))
		},
	}
}

// handler returns a handler that tells the connection of each request how far the request is.
func (g *Guard) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(contextKey{}).(*conn)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.beginRequest(r)
		defer c.endRequest()
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		tracked := &trackedBody{ReadCloser: r.Body, conn: c}
		defer tracked.limitDiscard()
		r.Body = tracked
		h.ServeHTTP(w, r)
	})
}

// onState is told of the changes of a connection by its server.
func onState(c net.Conn, s http.ConnState) {
	inner := guarded(c)
	if inner == nil {
		return
	}
	switch s {
	case http.StateIdle:
		inner.setIdle()
	case http.StateHijacked:
		inner.setHijacked()
	}
}

// guarded returns the guard's connection below the one that a server uses, which may be encrypted, or nil.
func guarded(c net.Conn) *conn {
	for {
		switch layer := c.(type) {
		case *conn:
			return layer
		case interface{ NetConn() net.Conn }:
			c = layer.NetConn()
		default:
			return nil
		}
	}
}

// Listener returns a listener whose connections the guard protects and bounds.
func (g *Guard) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	guard  *Guard
	closed chan struct{}
	once   sync.Once
}

// recheckInterval is the time after which a connection that waits for its place looks again for one that has become idle
// or slow.
const recheckInterval = 50 * time.Millisecond

// Accept implements net.Listener. It returns a connection once there is a place for it.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(l.guard, accepted)
	for !l.guard.admit(c) {
		select {
		case <-l.guard.freed:
		case <-time.After(recheckInterval):
		case <-l.closed:
			_ = c.Close() // the listener is closed, too
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit reports whether there is a place for a connection, which is then taken. It closes an idle or slow connection to
// make one.
func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	victim, reason := g.takeVictim(time.Now())
	admitted := !g.isFull()
	if admitted {
		c.state.since = time.Now()
		g.conns[c] = struct{}{}
	}
	g.mu.Unlock()
	if victim != nil {
		g.options.Recorder.Record(reason)
		_ = victim.Close() // there is nothing to be done about a failure
	}
	return admitted
}

// isFull reports whether there is no place for another connection.
func (g *Guard) isFull() bool {
	if g.options.MaxConns > 0 && len(g.conns) >= g.options.MaxConns {
		return true
	}
	return g.options.Crowded != nil && g.options.Crowded()
}

// takeVictim removes and returns the connection to be closed before another one is admitted, and says why. It returns nil
// if there is a place, or if no connection may be closed.
func (g *Guard) takeVictim(now time.Time) (*conn, refusals.Reason) {
	if !g.isFull() {
		return nil, ""
	}
	search := newVictimSearch[*conn](now)
	for c := range g.conns {
		search.consider(c, c.state)
	}
	victim, reason := search.victim()
	delete(g.conns, victim)
	return victim, reason
}

// CloseIdle closes the connection that has been idle for longest, if that is at least a time, and reports whether it did.
func (g *Guard) CloseIdle(atLeast time.Duration) bool {
	c := g.takeIdle(time.Now().Add(-atLeast))
	if c == nil {
		return false
	}
	g.options.Recorder.Record(refusals.IdleClosed)
	_ = c.Close() // there is nothing to be done about a failure
	return true
}

// takeIdle removes and returns the connection that has been idle for longest, or nil if none has been since a time.
func (g *Guard) takeIdle(since time.Time) *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var longest *conn
	for c := range g.conns {
		if c.state.phase == idle && !c.state.since.After(since) {
			longest, since = c, c.state.since
		}
	}
	delete(g.conns, longest)
	return longest
}

// remove forgets a connection that is being closed.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	select {
	case g.freed <- struct{}{}:
	default: // a connection that waits has been told already
	}
}
