package platform

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// silencedServer answers calls, but none on connections that were open when it was silenced.
type silencedServer struct {
	url string

	mu       sync.Mutex
	open     map[net.Conn]bool
	silenced map[net.Conn]bool
	barrier  *sync.WaitGroup // that calls wait for; nil if they don't wait
}

type connKey struct{}

func newSilencedServer(t *testing.T) *silencedServer {
	s := &silencedServer{open: map[net.Conn]bool{}, silenced: map[net.Conn]bool{}}
	server := httptest.NewUnstartedServer(s)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[c] = true
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// ServeHTTP implements http.Handler.
func (s *silencedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silenced, barrier := s.silenced[r.Context().Value(connKey{}).(net.Conn)], s.barrier
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body) // the server notices that the client is gone only after it has read the body
	if silenced {
		<-r.Context().Done()
		return
	}
	if barrier != nil {
		barrier.Done()
		barrier.Wait()
	}
	_, _ = w.Write([]byte(`{"header":{"revision":"4"}}`))
}

func (s *silencedServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced, s.open = s.open, map[net.Conn]bool{}
}

// Guards against calls that wait in vain on one silent connection after the other, although new ones work.
func TestUnusedConnectionsAreNotTrustedAfterASilentOne(t *testing.T) {
	const conns = 6
	is := is.New(t)
	server := newSilencedServer(t)
	s := testStore(t, server.url)
	server.barrier = &sync.WaitGroup{}
	server.barrier.Add(conns)
	var calls sync.WaitGroup
	for range conns {
		calls.Go(func() {
			_, _, err := s.Get(t.Context(), "k")
			is.NoErr(err)
		})
	}
	calls.Wait()
	server.mu.Lock()
	server.barrier = nil
	server.mu.Unlock()
	server.silence()
	_, _, err := s.Get(t.Context(), "k")
	is.True(err != nil)
	_, _, err = s.Get(t.Context(), "k")
	is.NoErr(err)
}
