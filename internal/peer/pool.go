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

// errClosed is the cause of a call failure when the connection was closed.
var errClosed = errors.New("connection closed")

// Pool keeps one connection to each peer. The first call opens it. A call after a failure
// opens it again, with exponential backoff between failed dials.
type Pool struct {
	self   model.InstanceID
	client *http.Client

	// OnDisconnect, if not nil, is called with the address of a peer whose connection has
	// closed. It must be set before the first call.
	OnDisconnect func(addr string)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// link holds the connection to one peer and the state of its redials.
type link struct {
	addr string

	// dialing is a semaphore that allows one dial at a time.
	dialing chan struct{}

	mu       sync.Mutex
	conn     *conn
	closed   bool
	failures int // failed dials since the last connection
	nextDial time.Time
}

// NewPool returns a pool without connections whose calls are made as the instance self.
func NewPool(self model.InstanceID) *Pool {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &Pool{self: self, client: &http.Client{Transport: transport}, links: map[string]*link{}}
}

// Call calls the peer at addr and stores its reply in out, which may be nil. Errors are
// *verdict.Error: NotRun if the call was certainly never written or the peer refused it,
// MayHaveRun if it was written and no readable response arrived.
func (p *Pool) Call(ctx context.Context, addr string, k Kind, in, out any) error {
	body, err := encMode.Marshal(in)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
	}
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
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

// result decodes the reply of the response into out, or returns the error in the response.
func (r response) result(out any) error {
	if r.Err != nil {
		return r.Err
	}
	if out == nil {
		return nil
	}
	if err := decMode.Unmarshal(r.Body, out); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "cannot decode reply: %v", err)
	}
	return nil
}

// CloseExcept closes the connections to all peers whose address is not in keep, so that the
// pool holds no links to instances that have been replaced.
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

// Close closes all connections and refuses later calls.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
}

// link returns the link to the peer and creates it if needed.
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

// connect returns the open connection or dials a new one.
func (l *link) connect(ctx context.Context, p *Pool) (*conn, error) {
	if c, err := l.currentConn(time.Now()); c != nil || err != nil {
		return c, err
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c, err := l.currentConn(time.Now()); c != nil || err != nil {
		return c, err
	}
	c, err := dial(ctx, p.client, l.addr, p.self)
	if err != nil {
		l.dialFailed(ctx.Err() != nil)
		return nil, err
	}
	if p.OnDisconnect != nil {
		go func() {
			<-c.closed
			p.OnDisconnect(l.addr)
		}()
	}
	return c, l.setConn(c)
}

// currentConn returns the open connection, nil if there is none, or an error while the
// backoff after a failed dial lasts.
func (l *link) currentConn(now time.Time) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !l.conn.isClosed() {
		return l.conn, nil
	}
	if now.Before(l.nextDial) {
		return nil, errors.New("not dialled: the backoff after a failed dial has not ended")
	}
	return nil, nil
}

// setConn stores a new connection, or closes it if the link was closed during the dial.
func (l *link) setConn(c *conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.close()
		return errClosed
	}
	l.conn, l.failures = c, 0
	return nil
}

// dialFailed starts the backoff after a failed dial. A dial that failed because the caller's
// context ended says nothing about the peer and starts none.
func (l *link) dialFailed(callerCancelled bool) {
	if callerCancelled {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextDial = time.Now().Add(backoff(l.failures))
	l.failures++
}

// close closes the connection of the link and refuses one that is being dialled.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.close()
	}
}

// backoff returns the delay after a failed dial that follows the given number of failures in
// a row. It doubles with each failure and is half random, so that the instances do not dial
// at the same time.
func backoff(failures int) time.Duration {
	delay := maxBackoff
	if failures < 6 {
		delay = min(minBackoff<<failures, maxBackoff)
	}
	return delay/2 + rand.N(delay/2)
}

// probeTimeout bounds the dial of ConnectionRefused.
const probeTimeout = 300 * time.Millisecond

// ConnectionRefused reports whether the machine at the address refuses the connection, which
// shows that the process there has ended. It returns false for a peer that is unreachable,
// which may still be running.
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
