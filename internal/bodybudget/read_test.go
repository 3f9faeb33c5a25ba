package bodybudget

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
)

func TestBodiesAreReadUpToTheirLimit(t *testing.T) {
	const limit = 100_000
	cases := []struct {
		name     string
		size     int
		declared int64
		want     error
	}{
		{"empty, not declared", 0, -1, nil},
		{"empty, declared", 0, 0, nil},
		{"one byte", 1, 1, nil},
		{"a segment exactly", firstSegment, firstSegment, nil},
		{"a segment exactly, not declared", firstSegment, -1, nil},
		{"the limit, not declared", limit, -1, nil},
		{"the limit, declared", limit, limit, nil},
		{"one byte too many, not declared", limit + 1, -1, ErrTooLarge},
		{"one byte too many, declared", limit + 1, limit + 1, ErrTooLarge},
		{"declared longer than it is", 10, 5000, nil}, // net/http reports that itself
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBudget()
			data := bytes.Repeat([]byte("0123456789"), c.size/10+1)[:c.size]
			for _, reader := range []io.Reader{bytes.NewReader(data), iotest.OneByteReader(bytes.NewReader(data)), iotest.DataErrReader(bytes.NewReader(data))} {
				body, err := b.ReadAll(Source{Body: reader, Length: c.declared, Limit: limit})
				if c.want != nil {
					is.True(errors.Is(err, c.want))
					is.Equal(b.Held(), int64(0))
					continue
				}
				is.NoErr(err)
				is.True(bytes.Equal(body.Bytes, data))
				is.Equal(b.Held(), int64(2*c.size))
				body.Release()
				body.Release()
				is.Equal(b.Held(), int64(0))
			}
		})
	}
}

// failingReader returns an error once its data is used up.
func failingReader(data string, err error) io.Reader {
	return io.MultiReader(strings.NewReader(data), iotest.ErrReader(err))
}

// Guards against bytes that stay charged to a request that failed.
func TestABodyThatBreaksOffHoldsNothing(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	_, err := b.ReadAll(Source{Body: failingReader("some", io.ErrUnexpectedEOF), Length: 100, Limit: 1000})
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(b.Held(), int64(0))
}

// Guards against a declared length that is charged before anything has arrived, and against buffers that hold much more
// than has arrived.
func TestOnlyWhatHasArrivedIsCharged(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			body, err := b.ReadAll(Source{Body: server, Length: 500_000, Limit: 500_000})
			if err == nil {
				body.Release()
			}
		}()
		for sent := 0; sent < 400_000; sent += 1000 {
			_, err := client.Write(make([]byte, 1000))
			is.NoErr(err)
			is.True(b.Held() <= int64(sent+2*maxSegment))
		}
		_ = client.Close()
		<-done
		is.Equal(b.Held(), int64(0))
	})
}

// readAtRate reads a body of a size that arrives at a rate, in bytes per second.
func readAtRate(b *Budget, size, rate int) (*Body, error) {
	client, server := net.Pipe()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for left := size; left > 0; left -= rate {
			time.Sleep(time.Second)
			if _, err := client.Write(make([]byte, min(rate, left))); err != nil {
				return
			}
		}
	}()
	defer func() {
		_ = server.Close()
		<-sent
	}()
	return b.ReadAll(Source{Body: io.LimitReader(server, int64(size)), Length: -1, Limit: 1 << 20, SetDeadline: server.SetReadDeadline})
}

func TestBodiesMustArriveAtALeastRate(t *testing.T) {
	cases := []struct {
		name       string
		size, rate int
		want       error
	}{
		{"a little faster than the rate", 256 << 10, minRate + 100, nil},
		{"the largest body at this rate", 1 << 20, minRate + 100, nil},
		{"slow, but within the first seconds", 900, 100, nil},
		{"half the rate", 256 << 10, minRate / 2, ErrTooSlow},
		{"a byte each second", 1000, 1, ErrTooSlow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				b := New(4<<20, tally.NoopScope)
				body, err := readAtRate(b, c.size, c.rate)
				if c.want != nil {
					is.True(errors.Is(err, c.want))
					return
				}
				is.NoErr(err)
				is.Equal(len(body.Bytes), c.size)
			})
		})
	}
}

// Guards against stalled bodies that keep the budget from others until they are too slow by themselves.
func TestAStalledBodyEndsWhenOthersNeedItsBytes(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		client, server := net.Pipe()
		ended := make(chan error, 1)
		go func() {
			_, err := b.ReadAll(Source{Body: server, Length: testLimit, Limit: testLimit, SetDeadline: server.SetReadDeadline})
			ended <- err
		}()
		_, err := client.Write(make([]byte, testLimit/2))
		is.NoErr(err)
		time.Sleep(stalledAfter)
		data := make([]byte, testLimit/4)
		_, err = b.ReadAll(Source{Body: bytes.NewReader(data), Length: -1, Limit: testLimit})
		is.True(errors.Is(err, ErrFull))
		is.True(errors.Is(<-ended, ErrFull))
		body, err := b.ReadAll(Source{Body: bytes.NewReader(data), Length: -1, Limit: testLimit})
		is.NoErr(err)
		is.Equal(len(body.Bytes), len(data))
	})
}

// Guards against refusals that the caller cannot tell from failures, and against bodies that stay charged after the
// handler has returned.
func TestRequestsAreReadThroughTheBudgetOfTheirHandler(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	var readErr error
	read := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, readErr = ReadRequest(w, r, testLimit)
	})
	h := b.Handler(read, refusals.New("test", tally.NoopScope, zerolog.Nop()))
	send := func(size int) http.Header {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, size))))
		return w.Header()
	}
	send(1000)
	is.NoErr(readErr)
	is.Equal(b.Held(), int64(0))
	other := b.Open(nil)
	is.NoErr(other.Set(testLimit * 3 / 4))
	header := send(2 * SmallBytes)
	is.True(IsRefusal(readErr))
	is.Equal(header.Get("Connection"), "close")
	is.Equal(header.Get("Retry-After"), "2")
	header = send(testLimit + 1)
	is.True(errors.Is(readErr, ErrTooLarge))
	is.Equal(header.Get("Retry-After"), "")
	send(1000) // small ones still have room
	is.NoErr(readErr)
}

// Guards against a refusal that does not reach its caller, since the connection is reset while the caller still sends.
func TestARefusedBodyIsReceivedBeforeTheConnectionCloses(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		t.Run(header, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				b := newBudget()
				is.NoErr(b.Open(nil).Set(testLimit))
				client := serveConn(t, b)
				sent := make(chan error, 1)
				go func() {
					_, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", header, testLimit,
						make([]byte, testLimit))
					sent <- err
				}()
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.NoErr(<-sent)
			})
		})
	}
}

// Guards against a refused request that keeps its connection by never ending.
func TestARefusedBodyIsNotAwaitedForLong(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		is.NoErr(b.Open(nil).Set(testLimit))
		client := serveConn(t, b)
		_, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", testLimit)
		is.NoErr(err)
		startedAt := time.Now()
		_, err = io.Copy(io.Discard, client)
		is.NoErr(err)
		is.True(time.Since(startedAt) <= startTime+2*refusedTime)
	})
}

// serveConn serves requests on a connection within the bubble, whose client's end it returns. They are read through a
// budget and answered with 503 if that refuses them.
func serveConn(t *testing.T, b *Budget) net.Conn {
	client, server := net.Pipe()
	l := &oneConnListener{conn: server, closed: make(chan struct{})}
	read := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadRequest(w, r, testLimit); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := &http.Server{Handler: b.Handler(read, refusals.New("test", tally.NoopScope, zerolog.Nop()))}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		_ = client.Close()
		time.Sleep(time.Second) // net/http keeps a connection for 0.5 s after its last response
	})
	return client
}

// oneConnListener is a listener with one connection.
type oneConnListener struct {
	conn   net.Conn
	closed chan struct{}
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *oneConnListener) Close() error {
	close(l.closed)
	return nil
}

func (l *oneConnListener) Addr() net.Addr { return &net.UnixAddr{} }
