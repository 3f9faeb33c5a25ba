package route

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("connection sealed before the request was written")

// trackedConn counts writes and can be sealed, after which all writes fail. An unchanged count
// together with the seal proves that a request was not sent. The error of the HTTP transport does
// not prove it, because the transport may still write the request after it has returned the error.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. It counts the write before it starts, so that failed and partial
// writes are counted as well.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// writeCount returns the number of writes so far.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all further writes fail if the number of writes is still count, and reports whether
// it did so.
func (c *trackedConn) seal(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.sealed = true
	return true
}
