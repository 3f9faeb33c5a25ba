package connguard

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
)

const (
	// headerCost is the memory that a byte of headers may take while it is read, in bytes: the shortest header has five
	// bytes, and an entry in a map.
	headerCost = 16
	// fieldCost is the memory that a header takes beside its text, in bytes.
	fieldCost = 100
)

// conn is a connection of a guarded server.
type conn struct {
	net.Conn
	guard   *Guard
	headers *bodybudget.Account

	// The guard's lock guards the fields below.
	state     state
	bodySince time.Time // when the first byte of the request's body was waited for
}

func newConn(g *Guard, inner net.Conn) *conn {
	c := &conn{Conn: inner, guard: g, state: state{phase: idle, since: time.Now()}}
	c.headers = g.options.Budget.Open(func() { _ = c.Close() }) // there is nothing to be done about a failure
	return c
}

// Read implements net.Conn. It charges headers to the budget; if that is full, the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.readsHeaders() {
		return n, err
	}
	if growErr := c.headers.Grow(int64(n) * headerCost); growErr != nil {
		c.guard.options.Recorder.Record(refusals.BytesHeld)
		_ = c.Close() // there is nothing to be done about a failure
		return 0, errors.Trace(growErr)
	}
	return n, err
}

// readsHeaders reports whether what has been read belongs to the headers of a request.
func (c *conn) readsHeaders() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.state.phase == idle {
		c.state.phase, c.state.since = headers, time.Now()
	}
	return c.state.phase == headers
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *conn) setWriting(since time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.state.writingSince = since
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	c.headers.Close()
	return c.Conn.Close()
}

// setPhase sets the phase of the connection, which began at a time.
func (c *conn) setPhase(p phase, since time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.state.phase, c.state.since = p, since
}

// beginRequest is called when the headers of a request have been read.
func (c *conn) beginRequest(r *http.Request) {
	c.guard.mu.Lock()
	c.state.phase, c.state.since, c.bodySince = handling, time.Now(), time.Time{}
	c.guard.mu.Unlock()
	size := int64(len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		size += fieldCost + int64(len(name))
		for _, value := range values {
			size += int64(len(value))
		}
	}
	_ = c.headers.Set(min(size, c.headers.Bytes())) // to hold less always succeeds
	c.headers.SetReceived()
}

// endRequest is called when the handler of a request has returned.
func (c *conn) endRequest() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.state.phase != hijacked {
		c.state.phase, c.state.since = ending, time.Now()
	}
}

// awaitBody is called when a handler waits for the body of a request.
func (c *conn) awaitBody() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.bodySince.IsZero() {
		c.bodySince = time.Now()
	}
	c.state.phase, c.state.since = body, c.bodySince
}

func (c *conn) setIdle() {
	c.setPhase(idle, time.Now())
	c.headers.Reset()
}

func (c *conn) setHijacked() {
	c.setPhase(hijacked, time.Now())
	c.headers.Reset()
}

// discardTimeout bounds the time in which a server reads what a handler has left of a body, in order to discard it.
const discardTimeout = 5 * time.Second

// trackedBody tells the connection when a handler waits for the body of a request.
type trackedBody struct {
	io.ReadCloser
	conn  *conn
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.conn.awaitBody()
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	b.conn.setPhase(handling, time.Now())
	return n, err
}

// limitDiscard is called when the handler has returned. The server replaces the deadline when it waits for the next request.
func (b *trackedBody) limitDiscard() {
	if !b.ended.Load() {
		_ = b.conn.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only on a closed connection
	}
}
