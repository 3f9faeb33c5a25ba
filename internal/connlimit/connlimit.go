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
}

// New returns a Limit under which connections are established while less than limit are open; 0 for no limit.
func New(limit int) *Limit { return &Limit{max: int64(limit)} }

// Open returns the number of open connections.
func (l *Limit) Open() int { return int(l.open.Load()) }

// Dial establishes a connection with dial, or returns ErrLimit if too many are open.
func (l *Limit) Dial(dial func() (net.Conn, error)) (net.Conn, error) {
	if n := l.open.Add(1); l.max > 0 && n > l.max {
		l.open.Add(-1)
		return nil, errors.Trace(ErrLimit)
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
