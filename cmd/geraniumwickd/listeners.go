package main

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/connguard"
	"github.com/geraniumwick/geraniumwick/internal/connlimit"
	"github.com/geraniumwick/geraniumwick/internal/refusals"
	"github.com/geraniumwick/geraniumwick/platform"
)

const (
	// headerReadTimeout bounds the reading of the headers of a request.
	headerReadTimeout = 5 * time.Second
	// idleTimeout is how long a connection without a request stays open, except those of callers.
	idleTimeout = time.Minute
	// reclaimIdleTime is the time without a request after which a caller's connection makes place for one that the process
	// establishes while it has too many.
	reclaimIdleTime = 10 * time.Second
	// callWriteTimeout bounds the time from the headers of a caller's request to the end of its response. No caller waits
	// longer than 10 minutes. writeTimeout is the same for probes and scrapers.
	callWriteTimeout = 11 * time.Minute
	writeTimeout     = 30 * time.Second
	// maxScrapes bounds the scrapes of the metrics at a time.
	maxScrapes = 4
	// maxHeaderBytes bounds the headers of a request, in bytes.
	maxHeaderBytes = 64 << 10
)

// Shares of the process's memory limit.
const (
	// callerBytesShare is the part for requests that are being received from callers, probes and scrapers, and
	// peerBytesShare that for messages of other instances.
	callerBytesShare = 1. / 8
	peerBytesShare   = 1. / 16
	// callerConnsShare is the part for callers' connections, at connBytes each.
	callerConnsShare = 1. / 4
	connBytes        = 32 << 10
)

// Shares of the connections that the process may have open.
const (
	callerConnections = 1. / 2
	peerConnections   = 1. / 4
	otherConnections  = 1. / 16 // for probes, and for scrapers
	// assumedConnections is used if the settings do not limit the descriptors.
	assumedConnections = 4096
)

// listeners starts the servers of an instance.
type listeners struct {
	settings    platform.Settings
	connections *connlimit.Limit
	scope       tally.Scope
	log         zerolog.Logger
	failed      chan error

	callerBudget, peerBudget *bodybudget.Budget
}

// maxListeners is the number of listeners that can fail without anyone receiving from failed.
const maxListeners = 4

func newListeners(s platform.Settings, connections *connlimit.Limit, scope tally.Scope, log zerolog.Logger) *listeners {
	memory := float64(s.Limits.MemoryMB) * (1 << 20)
	tagged := func(name string) tally.Scope { return scope.Tagged(map[string]string{"budget": name}) }
	return &listeners{
		settings: s, connections: connections, scope: scope, log: log, failed: make(chan error, maxListeners),
		callerBudget: bodybudget.New(int64(callerBytesShare*memory), tagged("callers")),
		peerBudget:   bodybudget.New(int64(peerBytesShare*memory), tagged("peers")),
	}
}

// maxConns returns the number of connections for a share of those that the process may have open.
func (l *listeners) maxConns(share float64) int {
	all := l.settings.MaxConnections()
	if all == 0 {
		all = assumedConnections
	}
	return max(1, int(share*float64(all)))
}

// maxCallerConns returns the number of connections that callers may have open.
func (l *listeners) maxCallerConns() int {
	memory := float64(l.settings.Limits.MemoryMB) * (1 << 20)
	return max(1, min(l.maxConns(callerConnections), int(callerConnsShare*memory/connBytes)))
}

// listener describes one HTTP server.
type listener struct {
	name, address string
	handler       http.Handler
	maxConns      int
	// crowded, if set, reports whether another connection needs the place of one that is open.
	crowded func() bool
	// reclaimed says that idle connections make place for those that the process establishes. One server may have it.
	reclaimed bool
	// budget is what requests are charged to while they are received.
	budget *bodybudget.Budget
	// idleTimeout is how long a connection without a request stays open; 0 for no limit.
	idleTimeout time.Duration
	// writeTimeout bounds the time from the headers of a request to the end of its response.
	writeTimeout time.Duration
}

// callers describes the server of callers. They may leave connections idle as long as no others need the place.
func (l *listeners) callers(h http.Handler) listener {
	return listener{
		name: "callers", address: l.settings.Listen.Front, handler: h, maxConns: l.maxCallerConns(),
		crowded: l.isCrowded, reclaimed: true,
		budget: l.callerBudget, writeTimeout: callWriteTimeout,
	}
}

// isCrowded reports whether the process has so many connections that it accepts another one only in place of one.
func (l *listeners) isCrowded() bool {
	limit := l.settings.MaxConnectionsWithCallers()
	return limit > 0 && l.connections.Open() > limit
}

// serve starts an HTTP server in the background, whose connections are counted. Its failure is sent to l.failed.
func (l *listeners) serve(o listener) *http.Server {
	guard := l.guard(o)
	if o.reclaimed {
		l.connections.SetReclaim(func() bool { return guard.CloseIdle(reclaimIdleTime) })
	}
	s := guard.Server(o.handler)
	go func() {
		listener, err := net.Listen("tcp", o.address)
		if err == nil {
			err = s.Serve(guard.Listener(l.connections.Listener(listener)))
		}
		if !errors.Is(err, http.ErrServerClosed) {
			l.failed <- err
		}
	}()
	return s
}

func (l *listeners) guard(o listener) *connguard.Guard {
	return connguard.New(connguard.Options{
		MaxConns: o.maxConns, Crowded: o.crowded, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout: o.idleTimeout, WriteTimeout: o.writeTimeout,
		Budget: o.budget, Recorder: refusals.New(o.name, l.scope, l.log),
	})
}
