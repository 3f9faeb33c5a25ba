// Package connlimit keeps the connections of a process well below the number of its file descriptors. A process that has used
// them up reaches nobody any more, not even the store that it needs to free some.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrLimit says that a connection was not established since too many are open.
var ErrLimit = errors.New("too many open connections")

// Limit counts open connections, and bounds those that the process establishes. It is safe for concurrent use.
type Limit struct {
	max  int64
	open atomic.Int64
	// reclaim closes a connection that is not needed, and reports whether it did; nil if there is none.
	reclaim func() bool
}

// New returns a Limit under which connections are established while less than limit are open; 0 for no limit.
func New(limit int) *Limit { return &Limit{max: int64(limit)} }

// SetReclaim sets a function that closes a connection that is not needed, and reports whether it did. It is called when
// another connection is to be established and too many are open. It must be set before the first one is.
func (l *Limit) SetReclaim(reclaim func() bool) { l.reclaim = reclaim }

// Open returns the number of open connections.
func (l *Limit) Open() int { return int(l.open.Load()) }

// Dial establishes a connection with dial, or returns ErrLimit if too many are open and none can be closed.
func (l *Limit) Dial(dial func() (net.Conn, error)) (net.Conn, error) {
	for n := l.open.Add(1); l.max > 0 && n > l.max; n = l.open.Load() {
		if l.reclaim == nil || !l.reclaim() {
			l.open.Add(-1)
			return nil, errors.Trace(ErrLimit)
		}
	}
	c, err := dial()
	if err != nil {
		l.open.Add(-1)
		return nil, err
	}
	return l.counted(c), nil
}

// Listener returns a listener whose connections are counted. They are accepted in any case: whoever has connected waits for an
// answer.
func (l *Limit) Listener(listener net.Listener) net.Listener {
	return &countingListener{Listener: listener, limit: l}
}

// counted returns a connection that is counted until it is closed.
func (l *Limit) counted(c net.Conn) net.Conn {
	return &countedConn{Conn: c, release: sync.OnceFunc(func() { l.open.Add(-1) })}
}

type countingListener struct {
	net.Listener
	limit *Limit
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.limit.open.Add(1)
	return l.limit.counted(c), nil
}

type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
