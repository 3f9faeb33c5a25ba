package soak

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// pipeDialTimeout is how long an attempt to connect through a cut takes.
const pipeDialTimeout = 600 * time.Millisecond

// pipes connects one client to a server over connections in memory, which can go silent. They work under
// synthetic time.
type pipes struct {
	accepted chan<- net.Conn // server's ends of new connections

	mu    sync.Mutex
	cut   bool
	conns []*pipe
}

// pipe is the client's end of a connection.
type pipe struct {
	net.Conn
	silenced, closed chan struct{}
	closeOnce        sync.Once
}

// dial implements platform.Dialer.
func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		p.mu.Unlock()
		defer p.mu.Lock()
		return nil, waitInVain(ctx)
	}
	client, server := net.Pipe()
	c := &pipe{Conn: client, silenced: make(chan struct{}), closed: make(chan struct{})}
	p.conns = append(slices.DeleteFunc(p.conns, (*pipe).isClosed), c)
	p.accepted <- server
	return c, nil
}

// waitInVain waits until an attempt to connect is given up.
func waitInVain(ctx context.Context) error {
	timer := time.NewTimer(pipeDialTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errors.New("cut")
	}
}

// silence makes all open connections silent for good: neither end hears of the other again.
func (p *pipes) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		close(c.silenced)
	}
	p.conns = nil
}

// setCut makes it impossible, or possible again, to establish connections.
func (p *pipes) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (c *pipe) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *pipe) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *pipe) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilenced() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *pipe) Write(b []byte) (int, error) {
	if c.isSilenced() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *pipe) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pipeListener accepts the server's ends.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "unix"} }
