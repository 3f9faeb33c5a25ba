package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// network connects a pool with a server through pipes in memory, so that tests can run in a
// synctest bubble, where time is virtual. It can cut or freeze the connections.
type network struct {
	conns  chan net.Conn
	server *http.Server

	mu sync.Mutex
	// cutUp and cutDown are the bytes that pass to the server and back before the
	// connection is cut; -1 means no cut.
	cutUp, cutDown int
	frozen         chan struct{}
}

// newNetwork serves s on a network without faults until the test ends.
func newNetwork(t *testing.T, s *Server) *network {
	n := &network{conns: make(chan net.Conn), cutUp: -1, cutDown: -1}
	mux := http.NewServeMux()
	mux.Handle("/peer", s)
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(n) }()
	t.Cleanup(func() {
		close(n.conns)
		_ = n.server.Close()
	})
	return n
}

// pool returns a pool whose connections go through the network.
func (n *network) pool(t *testing.T) *Pool {
	p := NewPool("caller")
	t.Cleanup(p.Close)
	p.client = &http.Client{Transport: &http.Transport{DialContext: n.dial}}
	return p
}

func (n *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	near, far := newBufferedConn(a), newBufferedConn(b)
	select {
	case n.conns <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return &faultyConn{Conn: near, n: n, up: n.cutUp, down: n.cutDown}, nil
}

// freeze blocks the traffic in both directions without closing the connections.
func (n *network) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = make(chan struct{})
}

// unfreeze ends a freeze; the blocked traffic continues.
func (n *network) unfreeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.frozen)
	n.frozen = nil
}

// Accept implements net.Listener.
func (n *network) Accept() (net.Conn, error) {
	c, open := <-n.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (n *network) Close() error { return nil }

// Addr implements net.Listener.
func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

// bufferedConn buffers writes as TCP does. Without a buffer, two ends that reply to each other's
// pings at the same time deadlock.
type bufferedConn struct {
	net.Conn
	mu     sync.Mutex
	closed bool
	queue  chan []byte
}

func newBufferedConn(c net.Conn) *bufferedConn {
	b := &bufferedConn{Conn: c, queue: make(chan []byte, 1000)}
	go b.flush()
	return b
}

// flush writes the queued data until Close has closed the queue, and then closes the
// connection.
func (b *bufferedConn) flush() {
	for p := range b.queue {
		_, _ = b.Conn.Write(p)
	}
	_ = b.Conn.Close()
}

func (b *bufferedConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, net.ErrClosed
	}
	b.queue <- bytes.Clone(p)
	return len(p), nil
}

func (b *bufferedConn) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return net.ErrClosed
	}
	b.closed = true
	close(b.queue)
	return b.SetWriteDeadline(time.Now().Add(time.Second))
}

// errCut is the error of a read or write at which the connection is cut.
var errCut = errors.New("connection cut")

// faultyConn is the caller's end of a connection, on which the faults are injected.
type faultyConn struct {
	net.Conn
	n        *network
	mu       sync.Mutex
	up, down int // bytes left before the cut; -1 means no cut
}

func (c *faultyConn) Write(b []byte) (int, error) {
	c.waitWhileFrozen()
	allowed, cut := c.consume(&c.up, len(b))
	written, err := c.Conn.Write(b[:allowed])
	if cut {
		_ = c.Conn.Close()
		return written, errCut
	}
	return written, err
}

func (c *faultyConn) Read(b []byte) (int, error) {
	read, err := c.Conn.Read(b)
	c.waitWhileFrozen()
	allowed, cut := c.consume(&c.down, read)
	if cut {
		_ = c.Conn.Close()
		return allowed, errCut
	}
	return read, err
}

// consume subtracts n bytes from left. It returns how many of them pass and whether the
// connection is cut after those.
func (c *faultyConn) consume(left *int, n int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *left < 0 {
		return n, false
	}
	if n < *left {
		*left -= n
		return n, false
	}
	allowed := *left
	*left = 0
	return allowed, true
}

// waitWhileFrozen blocks while the network is frozen.
func (c *faultyConn) waitWhileFrozen() {
	c.n.mu.Lock()
	frozen := c.n.frozen
	c.n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}
