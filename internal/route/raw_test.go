package route

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// rawTarget is a target that responds with arbitrary bytes. It counts the requests that it has read
// completely, by their body, which the tests make unique for each submission.
type rawTarget struct {
	listener net.Listener
	// reply writes the response. It returns false to close the connection.
	reply func(c net.Conn, r *http.Request, body string) bool

	mu       sync.Mutex
	executed map[string]int
	requests int
}

func newRawTarget(t *testing.T, reply func(net.Conn, *http.Request, string) bool) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &rawTarget{listener: listener, reply: reply, executed: map[string]int{}}
	go f.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return f
}

func (f *rawTarget) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(c)
	}
}

func (f *rawTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.executed[string(body)]++
		f.requests++
		f.mu.Unlock()
		if !f.reply(c, r, string(body)) {
			return
		}
	}
}

// count returns how often a request with the body was executed.
func (f *rawTarget) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executed[body]
}

// total returns the number of requests that were executed.
func (f *rawTarget) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// model returns the target as the inventory lists it.
func (f *rawTarget) model(id string) model.Target {
	return model.Target{ID: model.TargetID(id), Service: "levy-desk", Addr: f.listener.Addr().String(), DataCentre: "cairo-a", Slots: 8, Connections: 60}
}

// completeResponse returns a complete response, with the attempt header if attempt is not empty.
func completeResponse(attempt, body string) string {
	echo := ""
	if attempt != "" {
		echo = HeaderAttempt + ": " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
}

// echoBody responds with the body and the attempt header of the request.
func echoBody(c net.Conn, r *http.Request, body string) bool {
	_, err := io.WriteString(c, completeResponse(r.Header.Get(HeaderAttempt), body))
	return err == nil
}

// truncatingDialer returns a dial function for connections that close after the given number of bytes
// written to (up) or read from (down) the target; -1 means no limit.
func truncatingDialer(up, down int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &truncatingConn{Conn: c, up: up, down: down}, nil
	}
}

// truncatingConn is a connection that closes after a number of bytes in each direction.
type truncatingConn struct {
	net.Conn
	up, down int
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	if c.up < 0 {
		return c.Conn.Write(b)
	}
	if len(b) < c.up {
		c.up -= len(b)
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:c.up])
	_ = c.Conn.Close()
	return n, io.ErrClosedPipe
}

func (c *truncatingConn) Read(b []byte) (int, error) {
	if c.down < 0 {
		return c.Conn.Read(b)
	}
	if c.down == 0 {
		_ = c.Conn.Close()
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(b[:min(len(b), c.down)])
	c.down -= n
	return n, err
}
