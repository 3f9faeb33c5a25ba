// Package silencetest provides an HTTP server for tests whose open connections can go silent, as those of a machine
// behind a broken path do: nothing arrives any more and nothing is reset, while new connections work.
package silencetest

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// Server passes requests to a handler, but none on connections that were open when it was silenced.
type Server struct {
	URL string

	handler http.Handler
	mu      sync.Mutex
	open    map[net.Conn]bool
	silent  map[net.Conn]bool
	// together are the requests that are answered only once all of them have arrived; nil if there are none.
	together *sync.WaitGroup
}

type connKey struct{}

// NewServer returns a server that is closed at the end of the test.
func NewServer(t *testing.T, handler http.Handler) *Server {
	s := &Server{handler: handler, open: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	server := httptest.NewUnstartedServer(s)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[c] = true
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	s.URL = server.URL
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	silent, together := s.silent[conn], s.together
	s.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices that the client is gone only after it has read the body
		<-r.Context().Done()
		return
	}
	if together != nil {
		together.Done()
		together.Wait()
	}
	s.handler.ServeHTTP(w, r)
}

// OpenConns makes a number of calls at once, which leaves a client that reuses connections with as many.
func (s *Server) OpenConns(n int, call func()) {
	together := &sync.WaitGroup{}
	together.Add(n)
	s.setTogether(together)
	defer s.setTogether(nil)
	var calls sync.WaitGroup
	for range n {
		calls.Go(call)
	}
	calls.Wait()
}

func (s *Server) setTogether(together *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.together = together
}

// SilenceOpen makes all open connections silent.
func (s *Server) SilenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.open = s.open, map[net.Conn]bool{}
}
