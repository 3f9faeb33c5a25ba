package fleet

import (
	"net"
	"sync"
)

// limitListener accepts a bounded number of connections at once.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

// newLimitListener limits a listener to n open connections.
func newLimitListener(l net.Listener, n int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n)}
}

// Accept waits for a free slot and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	counters *byteCounters
}

// Accept waits for a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, counters: l.counters}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters *byteCounters
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.in.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.out.Add(int64(n))
	return n, err
}
