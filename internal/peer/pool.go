package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// errClosed is the cause of calls that a closed connection ended.
var errClosed = errors.New("connection closed")

// Pool keeps one connection to each peer that is called. A connection is opened by the
// first call and again, after a growing pause, by a call after it failed.
type Pool struct {
	self   model.InstanceID
	client *http.Client

	// OnDisconnect is told the address of a peer whose connection has ended; nil tells nobody. It
	// is set before the first call.
	OnDisconnect func(addr string)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// link is the way to one peer.
type link struct {
	addr string

	// dialing admits one dial at a time.
	dialing chan struct{}

	mu       sync.Mutex
	conn     *conn
	closed   bool
	failures int
	notUntil time.Time
}

// NewPool returns a pool of the instance.
func NewPool(self model.InstanceID) *Pool {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &Pool{self: self, client: &http.Client{Transport: transport}, links: map[string]*link{}}
}

// Call calls the peer at addr and stores its reply in out, which may be nil. Errors are
// *verdict.Error: NotRun if the call was certainly never written or the peer refused it,
// MayHaveRun if it was written and no answer arrived.
func (p *Pool) Call(ctx context.Context, addr string, k Kind, in, out any) error {
	body, err := encoding.Marshal(in)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	if err := ctx.Err(); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "call not sent: %v", err)
	}
	l, err := p.link(addr)
	if err != nil {
		return err
	}
	c, err := l.connect(ctx, p)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonPeerUnreachable, "%s: %v", addr, err)
	}
	r, err := c.do(ctx, k, body)
	if err != nil {
		return err
	}
	return r.result(out)
}

// result turns an answer into the outcome of the call.
func (r response) result(out any) error {
	if r.Err != nil {
		return r.Err
	}
	if out == nil {
		return nil
	}
	if err := decoding.Unmarshal(r.Body, out); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "unreadable answer: %v", err)
	}
	return nil
}

// CloseExcept closes the connections to all peers but those given, so that replaced instances
// do not stay in memory.
func (p *Pool) CloseExcept(keep []string) {
	wanted := map[string]bool{}
	for _, addr := range keep {
		wanted[addr] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if !wanted[addr] {
			delete(p.links, addr)
			l.close()
		}
	}
}

// Close closes all connections. Later calls are refused.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
}

// link returns the way to the peer.
func (p *Pool) link(addr string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonShutdown, "peer pool closed")
	}
	l := p.links[addr]
	if l == nil {
		l = &link{addr: addr, dialing: make(chan struct{}, 1)}
		p.links[addr] = l
	}
	return l, nil
}

// connect returns the open connection or opens one.
func (l *link) connect(ctx context.Context, p *Pool) (*conn, error) {
	if c, err := l.current(time.Now()); c != nil || err != nil {
		return c, err
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c, err := l.current(time.Now()); c != nil || err != nil {
		return c, err
	}
	c, err := dial(ctx, p.client, l.addr, p.self)
	if err != nil {
		l.failed(ctx.Err() != nil)
		return nil, err
	}
	if p.OnDisconnect != nil {
		go func() {
			<-c.closed
			p.OnDisconnect(l.addr)
		}()
	}
	return c, l.opened(c)
}

// current returns the open connection, or an error while a pause lasts.
func (l *link) current(now time.Time) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !l.conn.isClosed() {
		return l.conn, nil
	}
	if now.Before(l.notUntil) {
		return nil, errors.New("waiting after a failed dial")
	}
	return nil, nil
}

// opened keeps a new connection, unless the link was closed during the dial.
func (l *link) opened(c *conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.close()
		return errClosed
	}
	l.conn, l.failures = c, 0
	return nil
}

// failed begins a pause after a failed dial. A failure that is the caller's own timeout
// says nothing about the peer.
func (l *link) failed(callerGone bool) {
	if callerGone {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notUntil = time.Now().Add(backoff(l.failures))
	l.failures++
}

// close ends the connection of the link.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.close()
	}
}

// backoff returns the pause after the given number of failures in a row: it doubles each
// time, and a random part keeps the instances from dialing in step.
func backoff(failures int) time.Duration {
	pause := maxBackoff
	if failures < 6 {
		pause = min(minBackoff<<failures, maxBackoff)
	}
	return pause/2 + rand.N(pause/2)
}

// probeTimeout bounds the search for a listener.
const probeTimeout = 300 * time.Millisecond

// ConnectionRefused reports whether nothing listens at the address, although its machine
// answers: the process has ended. A peer that is only unreachable is not known to be gone.
func ConnectionRefused(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
