package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

func TestListenersServeTheirOwnCallsOnly(t *testing.T) {
	const callersAndOperators = "callers operators"
	cases := []struct{ name, method, path, served string }{
		{"liveness is for the load balancer and operators", "GET", "/healthz", callersAndOperators},
		{"readiness is for the load balancer and operators", "GET", "/readyz", callersAndOperators},
		{"jobs are submitted by callers and operators", "POST", "/v1/jobs", callersAndOperators},
		{"jobs are listed by callers and operators", "GET", "/v1/jobs?team=reports", callersAndOperators},
		{"a job is read by callers and operators", "GET", "/v1/jobs/reports/a", callersAndOperators},
		{"a job is cancelled by callers and operators", "DELETE", "/v1/jobs/reports/a", callersAndOperators},
		{"requests are for callers", "POST", "/v1/requests/none/x", "callers"},
		{"the status is for operators", "GET", "/v1/status", "operators"},
		{"the configuration is for operators", "GET", "/v1/config", "operators"},
		{"the configuration history is for operators", "GET", "/v1/config/history", "operators"},
		{"edits are for operators", "PUT", "/v1/config/sections/reports", "operators"},
		{"a data centre is taken out by operators", "POST", "/v1/datacentres/nowhere/out", "operators"},
		{"a data centre is brought back by operators", "POST", "/v1/datacentres/nowhere/in", "operators"},
		{"the audit trail is for operators", "GET", "/v1/audit", "operators"},
		{"the explanation of a job is for operators", "GET", "/v1/explain/reports/a", "operators"},
		{"metrics are for operators", "GET", "/metrics", "operators"},
		{"profiles are for operators", "GET", "/debug/pprof/", "operators"},
		{"the peers' calls are for peers", "GET", "/peer", "peers"},
	}
	bubbletest.Run(t, func(t *testing.T) {
		s := newHarness(t)
		s.start()
		addrs := map[string]string{"callers": callerAddr, "operators": operatorAddr, "peers": peerAddr}
		for _, c := range cases {
			for listener, addr := range addrs {
				got := s.call(c.method, addr, c.path, "")
				if got.err != nil {
					t.Errorf("%s: %v", c.name, got.err)
				}
				// The mux answers an unknown path with this text, which no handler uses.
				served := got.body != "404 page not found\n"
				if served != strings.Contains(c.served, listener) {
					t.Errorf("%s: the listener of %s answers %d %s", c.name, listener, got.status, got.body)
				}
			}
		}
		if err := s.end(); err != nil {
			t.Error(err)
		}
	})
}

// dialCallers opens a connection to the callers' listener and sends nothing.
func (s *harness) dialCallers() net.Conn {
	s.t.Helper()
	c, err := s.network.dial(s.t.Context(), "tcp", callerAddr)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

func TestListenersLimitHeaders(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		r, err := http.NewRequest(http.MethodGet, "http://"+callerAddr+"/healthz", nil)
		is.NoErr(err)
		r.Close = true
		// net/http accepts up to 4 KiB more than MaxHeaderBytes.
		r.Header.Set("X-Long", strings.Repeat("x", testSettings().Limits.HeaderBytes+(8<<10)))
		response, err := s.client.Do(r)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		is.NoErr(s.end())
	})
}

func TestListenersCloseConnectionsWithoutHeaders(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		c := s.dialCallers()
		_, err := c.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n")) // the empty line that ends the headers is not sent
		is.NoErr(err)
		began := time.Now()
		is.NoErr(c.SetReadDeadline(began.Add(time.Minute)))
		_, err = io.ReadAll(bufio.NewReader(c))
		is.NoErr(err)
		is.Equal(time.Since(began), testSettings().Limits.ReadHeaderTimeout)
		is.NoErr(s.end())
	})
}

// Guards against a listener whose connections are all taken by clients that send nothing, and against more connections
// than its limit. What is in use is not closed: see package connguard.
func TestListenersLimitConnections(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		var open []net.Conn
		for range testSettings().Limits.Connections {
			open = append(open, s.dialCallers())
			time.Sleep(time.Second)
		}
		is.Equal(s.get(operatorAddr, "/healthz").status, http.StatusOK) // each listener has its own limit
		isClosed := func(c net.Conn) bool {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails on a closed pipe
			_, err := c.Read(make([]byte, 1))
			return err == io.EOF
		}
		is.True(!isClosed(open[0]))
		is.Equal(s.get(callerAddr, "/healthz").status, http.StatusOK)
		is.True(isClosed(open[0])) // the one that has been idle for longest
		for _, c := range open[1:] {
			is.True(!isClosed(c))
			is.NoErr(c.Close())
		}
		is.NoErr(s.end())
	})
}
