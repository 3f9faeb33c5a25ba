package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// answerTimeout bounds the writing of an answer beyond the longest deadline of a request.
const answerTimeout = 15 * time.Minute

// listener is one HTTP server with its own address, so that callers cannot reach the calls
// of operators or peers.
type listener struct {
	name string
	// setting is the setting that holds the address.
	setting string
	addr    string
	handler http.Handler
	tls     *tls.Config
}

// listeners runs the HTTP servers of an instance.
type listeners struct {
	log     zerolog.Logger
	open    func(addr string) (net.Listener, error)
	limits  listenerLimits
	servers []*runningServer
	wg      sync.WaitGroup
}

// runningServer is a server with the number of its calls in progress.
type runningServer struct {
	*http.Server
	name  string
	calls atomic.Int64
}

// counted returns the handler that keeps the number of calls in progress.
func (s *runningServer) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		defer s.calls.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// listenerLimits bound what a connection can hold.
type listenerLimits struct {
	headerBytes       int
	connections       int
	readHeaderTimeout time.Duration
	idleTimeout       time.Duration
}

// start opens the listener and serves it.
func (s *listeners) start(l listener) error {
	open, err := s.open(l.addr)
	if err != nil {
		return err
	}
	open = limitConnections(open, s.limits.connections)
	if l.tls != nil {
		open = tls.NewListener(open, l.tls)
	}
	server := &runningServer{name: l.name}
	server.Server = &http.Server{
		Handler:           server.counted(l.handler),
		MaxHeaderBytes:    s.limits.headerBytes,
		ReadHeaderTimeout: s.limits.readHeaderTimeout,
		IdleTimeout:       s.limits.idleTimeout,
		WriteTimeout:      answerTimeout,
	}
	s.servers = append(s.servers, server)
	s.wg.Go(func() {
		if err := server.Serve(open); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Str("event", "listener.failed").Str("listener", l.name).Err(err).Send()
		}
	})
	return nil
}

// shutdown stops accepting and waits for the calls in progress.
func (s *listeners) shutdown(ctx context.Context) {
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn().Str("event", "listener.cut").Str("listener", server.name).
				Int64("calls", server.calls.Load()).Err(err).Send()
			_ = server.Close()
		}
	}
	s.wg.Wait()
}

// close ends all servers at once.
func (s *listeners) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.wg.Wait()
}

// limitedListener accepts no more than a number of connections at once; more wait.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

// limitConnections bounds the connections of a listener.
func limitConnections(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, n), done: make(chan struct{})}
}

// Accept waits for a free slot and a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close closes the listener and ends a waiting Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
