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

// rawTarget answers with bytes of the test's choice. It counts the requests that it has
// read whole by their body, which the tests make unique for each submission.
type rawTarget struct {
	listener net.Listener
	// reply writes the answer; it returns false to close the connection.
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

// count returns how often the body was executed.
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

// whole is a complete answer that echoes the attempt if it is not empty.
func whole(attempt, body string) string {
	echo := ""
	if attempt != "" {
		echo = HeaderAttempt + ": " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
}

// answerBody answers with the body of the request and an echo of the attempt.
func answerBody(c net.Conn, r *http.Request, body string) bool {
	_, err := io.WriteString(c, whole(r.Header.Get(HeaderAttempt), body))
	return err == nil
}

// cutDialer returns connections that end after the given bytes in each direction; -1 is no
// cut.
func cutDialer(up, down int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: c, up: up, down: down}, nil
	}
}

// cutConn is a connection that ends after a number of bytes.
type cutConn struct {
	net.Conn
	up, down int
}

func (c *cutConn) Write(b []byte) (int, error) {
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

func (c *cutConn) Read(b []byte) (int, error) {
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
