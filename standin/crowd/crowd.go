// Package crowd plays many clients that do not keep to the rules of a listener: they send large or
// slow requests at once and keep their connections open. Its tests start the product's own processes
// on loopback addresses and check that each lives, stays within the limits of its machine and still
// answers an ordinary request.
package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Shape describes what the clients of a crowd send. Each client sends the head, then its pieces one
// after the other, and leaves its connection open.
type Shape struct {
	Name string
	// Clients is the number of connections.
	Clients int
	// Head is the start of each request, up to the end of its headers.
	Head string
	// Pieces are sent after the head, Rounds times over. Between the rounds a client lets the others send.
	Pieces []byte
	Rounds int
	// End completes the request. Every client whose number is a multiple of EndEvery sends it, no client
	// if EndEvery is 0.
	End      string
	EndEvery int
}

// writeTimeout bounds each write of a client. A client whose write fails sends nothing more.
const writeTimeout = 20 * time.Second

// Crowd is the open connections of a number of clients.
type Crowd struct {
	conns []net.Conn
}

// Open connects all clients of a shape to an address and returns when each has sent everything, or what
// it could. It is an error if no client could connect.
func Open(ctx context.Context, address string, s Shape) (*Crowd, error) {
	c := &Crowd{}
	var dialer net.Dialer
	for range s.Clients {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			c.conns = append(c.conns, conn)
		}
	}
	if len(c.conns) == 0 {
		return c, fmt.Errorf("no client of %d could connect to %s", s.Clients, address)
	}
	var group sync.WaitGroup
	for n, conn := range c.conns {
		group.Go(func() { send(conn, s, n) })
	}
	group.Wait()
	return c, nil
}

// send sends the request of one client.
func send(conn net.Conn, s Shape, n int) {
	if !write(conn, []byte(s.Head)) {
		return
	}
	for range s.Rounds {
		if !write(conn, s.Pieces) {
			return
		}
	}
	if s.EndEvery > 0 && n%s.EndEvery == 0 {
		write(conn, []byte(s.End))
	}
}

// write reports whether all bytes were taken.
func write(conn net.Conn, data []byte) bool {
	if conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := conn.Write(data)
	return err == nil
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Chunked returns data as chunks of a size, of HTTP's chunked encoding, without the last one.
func Chunked(data string, size int) []byte {
	var out strings.Builder
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return []byte(out.String())
}
