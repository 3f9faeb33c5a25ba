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

	"github.com/geraniumwick/geraniumwick/internal/config"
)

// writeTimeout bounds the time from the headers of a request to the end of its response, for calls
// that no shorter deadline ends. No deadline of a request is longer.
const writeTimeout = config.MaxDeadline + time.Minute

// listener describes one HTTP server. Each has an address of its own, so that callers cannot reach
// the calls of operators or peers.
type listener struct {
	name string
	// setting is the command-line flag that gives the address, for error messages.
	setting string
	addr    string
	handler http.Handler
	tls     *tls.Config
}

// listeners runs the HTTP servers of an instance.
type listeners struct {
	log        zerolog.Logger
	listenFunc func(addr string) (net.Listener, error)
	limits     listenerLimits
	servers    []*runningServer
	wg         sync.WaitGroup
}

// runningServer is an HTTP server that counts its calls in progress.
type runningServer struct {
	*http.Server
	name     string
	inFlight atomic.Int64
}

// trackInFlight wraps h so that inFlight is the number of calls in progress.
func (s *runningServer) trackInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// listenerLimits bound the connections of a listener and what each may use.
type listenerLimits struct {
	headerBytes       int
	connections       int
	readHeaderTimeout time.Duration
	idleTimeout       time.Duration
}

// start opens the listener and serves it in the background.
func (s *listeners) start(l listener) error {
	ln, err := s.listenFunc(l.addr)
	if err != nil {
		return err
	}
	ln = limitConnections(ln, s.limits.connections)
	if l.tls != nil {
		ln = tls.NewListener(ln, l.tls)
	}
	server := &runningServer{name: l.name}
	server.Server = &http.Server{
		Handler:           server.trackInFlight(l.handler),
		MaxHeaderBytes:    s.limits.headerBytes,
		ReadHeaderTimeout: s.limits.readHeaderTimeout,
		IdleTimeout:       s.limits.idleTimeout,
		WriteTimeout:      writeTimeout,
	}
	s.servers = append(s.servers, server)
	s.wg.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Str("event", "listener.failed").Str("listener", l.name).Err(err).Send()
		}
	})
	return nil
}

// shutdown stops accepting and waits for the calls in progress. It closes the connections that are
// still in use when ctx ends.
func (s *listeners) shutdown(ctx context.Context) {
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn().Str("event", "listener.cut").Str("listener", server.name).
				Int64("calls", server.inFlight.Load()).Err(err).Send()
			_ = server.Close()
		}
	}
	s.wg.Wait()
}

// close closes all servers without waiting for the calls in progress.
func (s *listeners) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.wg.Wait()
}

// limitedListener bounds the number of open connections; further connections wait to be accepted.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

// limitConnections returns a listener that has at most n connections open.
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
