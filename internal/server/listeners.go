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
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/connguard"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
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
	// budget is what the listener's requests are charged to while they are received.
	budget *bodybudget.Budget
}

// listeners runs the HTTP servers of an instance.
type listeners struct {
	log        zerolog.Logger
	scope      tally.Scope
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
	guard := connguard.New(connguard.Options{
		MaxConns:          s.limits.connections,
		MaxHeaderBytes:    s.limits.headerBytes,
		ReadHeaderTimeout: s.limits.readHeaderTimeout,
		IdleTimeout:       s.limits.idleTimeout,
		WriteTimeout:      writeTimeout,
		Budget:            l.budget,
		Recorder:          refusals.New(l.name, s.scope, s.log),
	})
	ln = guard.Listener(ln)
	if l.tls != nil {
		ln = tls.NewListener(ln, l.tls)
	}
	server := &runningServer{name: l.name}
	server.Server = guard.Server(server.trackInFlight(l.handler))
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
