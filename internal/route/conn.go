package route

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("connection sealed before the request was written")

// trackedConn counts writes and can be sealed against further ones. Both together prove
// that a request did not leave the instance: the HTTP transport may still be about to write
// it when it reports an error.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. It counts before it writes, so that a write that fails or has
// only begun counts as well.
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

// seal forbids all further writes if there were none since the count, and reports whether
// that is so.
func (c *trackedConn) seal(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.sealed = true
	return true
}
