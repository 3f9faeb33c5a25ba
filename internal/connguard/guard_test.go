package connguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/connlimit"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
)

func TestChoiceOfTheConnectionToClose(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(p phase, ago time.Duration) state { return state{phase: p, since: now.Add(-ago)} }
	writing := func(ago time.Duration) state {
		return state{phase: handling, since: now.Add(-time.Hour), writingSince: now.Add(-ago)}
	}
	cases := []struct {
		name   string
		states []state
		want   int
		reason refusals.Reason
	}{
		{"the longest idle", []state{in(idle, 2*time.Second), in(idle, 3*time.Second)}, 1, refusals.IdleClosed},
		{"idle before slow", []state{in(body, time.Hour), in(idle, idleTime)}, 1, refusals.IdleClosed},
		{"slow before one that has just connected", []state{in(idle, 0), in(body, slowTime)}, 1, refusals.SlowClosed},
		{"the slowest", []state{in(headers, 3*time.Second), in(body, 4*time.Second), in(ending, 2*time.Second)}, 1, refusals.SlowClosed},
		{"one that does not read its response", []state{in(headers, 2*time.Second), writing(3 * time.Second)}, 1, refusals.SlowClosed},
		{"none that has just connected", []state{in(idle, 0), in(idle, idleTime-1)}, 0, ""},
		{"none that sends for less than a second", []state{in(headers, slowTime-1), in(body, 0), writing(0)}, 0, ""},
		{"none in use", []state{in(handling, time.Hour), in(hijacked, time.Hour)}, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			search := newVictimSearch[int](now)
			for n, s := range c.states {
				search.consider(n, s)
			}
			n, reason := search.victim()
			is.Equal(reason, c.reason)
			is.True(reason == "" || n == c.want)
		})
	}
}

// pipeListener is a listener of connections within a process.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// dial connects a client.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	synctest.Wait()
	return client
}

// serve runs a guarded server in the bubble of a test, which echoes bodies and answers each request.
func serve(t *testing.T, maxConns int, budgetBytes int64) (*pipeListener, *bodybudget.Budget) {
	return serveWith(t, Options{MaxConns: maxConns}, connlimit.New(0), budgetBytes)
}

// serveWith is serve with options, to which it adds the limits that all tests have. Connections are counted by connections.
func serveWith(t *testing.T, o Options, connections *connlimit.Limit, budgetBytes int64) (*pipeListener, *bodybudget.Budget) {
	budget := bodybudget.New(budgetBytes, tally.NoopScope)
	o.MaxHeaderBytes, o.ReadHeaderTimeout, o.IdleTimeout = 64<<10, 5*time.Second, time.Minute
	o.Budget, o.Recorder = budget, refusals.New("test", tally.NoopScope, zerolog.Nop())
	g := New(o)
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		data, err := io.ReadAll(r.Body)
		if string(data) == "wait" {
			time.Sleep(time.Minute)
		}
		if err == nil {
			_, _ = w.Write(data)
		}
	}))
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(g.Listener(connections.Listener(l)))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-stopped
		time.Sleep(time.Second) // net/http keeps a connection for 0.5 s after its last response
	})
	return l, budget
}

// isClosed reports whether the server has closed a connection on which it has nothing to send.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// call sends a request and returns the status of its response, 0 if there is none.
func call(c net.Conn, body string) int {
	go func() {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}()
	_ = c.SetReadDeadline(time.Now().Add(time.Hour))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against a server whose connections are all taken by clients that send nothing.
func TestIdleConnectionsMakePlaceForNewOnes(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		l, _ := serve(t, 3, 1<<20)
		first := l.dial()
		time.Sleep(2 * time.Second)
		second, third := l.dial(), l.dial()
		is.Equal(call(third, "x"), http.StatusOK)
		time.Sleep(2 * time.Second)
		fourth := l.dial()
		is.True(isClosed(first))
		is.True(!isClosed(second))
		is.Equal(call(fourth, "x"), http.StatusOK)
		is.Equal(call(third, "x"), http.StatusOK) // it is still open
	})
}

// Guards against a server whose connections are all taken by bodies that stop short.
func TestSlowBodiesMakePlaceForNewConnections(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		l, _ := serve(t, 2, 1<<20)
		for range 2 {
			_, err := fmt.Fprint(l.dial(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123456789")
			is.NoErr(err)
			time.Sleep(2 * time.Second)
		}
		is.Equal(call(l.dial(), "x"), http.StatusOK)
	})
}

// Guards against requests that are broken off in favour of new connections, and against more connections than allowed.
func TestConnectionsWaitWhileAllOthersAreInUse(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		l, _ := serve(t, 2, 1<<20)
		startedAt := time.Now()
		statuses := make(chan int, 2)
		for range 2 {
			c := l.dial()
			go func() { statuses <- call(c, "wait") }()
		}
		time.Sleep(10 * time.Second)
		is.Equal(call(l.dial(), "x"), http.StatusOK)
		is.True(time.Since(startedAt) >= time.Minute)
		is.Equal(<-statuses, http.StatusOK)
		is.Equal(<-statuses, http.StatusOK)
	})
}

// Guards against connections that a server keeps for what is left of a body that no handler reads.
func TestBodiesThatNobodyReadsAreNotAwaited(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		l, _ := serve(t, 0, 1<<20)
		c := l.dial()
		_, err := fmt.Fprint(c, "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123456789")
		is.NoErr(err)
		startedAt := time.Now()
		_, err = io.ReadAll(c)
		is.NoErr(err)
		is.True(time.Since(startedAt) <= discardTimeout+time.Second)
		whole := l.dial()
		go func() { _, _ = fmt.Fprint(whole, "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1") }()
		resp, err := http.ReadResponse(bufio.NewReader(whole), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		time.Sleep(2 * discardTimeout)
		is.Equal(call(whole, "x"), http.StatusOK) // the connection goes on
	})
}

// Guards against headers that no budget bounds, and against a charge that outlives its request.
func TestHeadersAreChargedWhileTheyAreRead(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		l, budget := serve(t, 10, 1<<20)
		other := budget.Open(nil)
		is.NoErr(other.Set(bodybudget.SmallBytes + 1))
		held := budget.Held()
		c := l.dial()
		_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n")
		is.NoErr(err)
		synctest.Wait()
		is.Equal(budget.Held()-held, int64(headerCost*len("GET / HTTP/1.1\r\nHost: a\r\n")))
		go func() { _, _ = fmt.Fprint(c, strings.Repeat("X: \r\n", 1<<14)) }()
		synctest.Wait()
		is.Equal(budget.Held(), held) // the connection is closed
		is.True(isClosed(c))
		served := l.dial()
		is.Equal(call(served, "x"), http.StatusOK)
		synctest.Wait()
		is.Equal(budget.Held(), held)
	})
}

// Guards against a request that is cut off while it is being handled, since others need the bytes of its headers.
func TestARequestThatIsHandledIsNotEndedInFavourOfOthers(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		l, budget := serve(t, 10, 1<<20)
		c := l.dial()
		status := make(chan int, 1)
		go func() { status <- call(c, "wait") }()
		time.Sleep(10 * time.Second)
		is.NoErr(budget.Open(nil).Set(1 << 20))
		for range 5 {
			is.True(budget.Open(nil).Set(1<<20) != nil)
		}
		is.Equal(<-status, http.StatusOK)
	})
}

// Guards against a process that runs out of descriptors since connections that it has established are not counted.
func TestIdleConnectionsMakePlaceWhenTheProcessHasTooMany(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		connections := connlimit.New(0)
		l, _ := serveWith(t, Options{MaxConns: 10, Crowded: func() bool { return connections.Open() > 3 }}, connections, 1<<20)
		first := l.dial()
		time.Sleep(2 * time.Second)
		second := l.dial()
		is.Equal(call(second, "x"), http.StatusOK)
		_, err := connections.Dial(func() (net.Conn, error) { c, _ := net.Pipe(); return c, nil })
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(!isClosed(first))
		third := l.dial()
		is.True(isClosed(first))
		is.Equal(call(third, "x"), http.StatusOK)
		is.Equal(call(second, "x"), http.StatusOK) // it is still open
	})
}

// Guards against idle clients that keep the process from establishing connections, and against one that is closed in use.
func TestOnlyConnectionsThatAreIdleForLongAreClosedOnRequest(t *testing.T) {
	is := is.New(t)
	g := New(Options{
		MaxConns: 10, Budget: bodybudget.New(1<<20, tally.NoopScope), Recorder: refusals.New("test", tally.NoopScope, zerolog.Nop()),
	})
	for p, ago := range map[phase]time.Duration{idle: time.Minute, handling: time.Hour, body: time.Hour} {
		c, _ := net.Pipe()
		guarded := newConn(g, c)
		guarded.state = state{phase: p, since: time.Now().Add(-ago)}
		g.conns[guarded] = struct{}{}
	}
	is.True(!g.CloseIdle(2 * time.Minute))
	is.True(g.CloseIdle(time.Second))
	is.True(!g.CloseIdle(time.Second))
	is.Equal(len(g.conns), 2)
}

// Guards against memory that is allocated for each of many connections whenever another one comes.
func TestTheSearchForAConnectionToCloseAllocatesNothing(t *testing.T) {
	is := is.New(t)
	g := New(Options{MaxConns: 1000, Budget: bodybudget.New(1<<20, tally.NoopScope)})
	for range 1000 {
		g.conns[newConn(g, nil)] = struct{}{}
	}
	now := time.Now()
	is.Equal(testing.AllocsPerRun(10, func() { g.takeVictim(now) }), 0.0)
}
