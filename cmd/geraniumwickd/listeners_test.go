package main

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/connlimit"
	"github.com/geraniumwick/geraniumwick/platform"
)

func TestConnectionsFollowFromTheMachine(t *testing.T) {
	cases := []struct {
		name                    string
		memoryMB, fds           int64
		callers, peers, scrapes int
	}{
		{"descriptors bind", 284, 4100, 1695, 847, 211},
		{"memory binds callers", 160, 4100, 1280, 847, 211},
		{"the descriptors are not known", 536, 0, 2048, 1024, 256},
		{"hardly any descriptors", 96, 300, 1, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s platform.Settings
			s.Limits.MemoryMB, s.Limits.MaxFDs = c.memoryMB, c.fds
			l := newListeners(s, connlimit.New(0), tally.NoopScope, zerolog.Nop())
			is.Equal(l.maxCallerConns(), c.callers)
			is.Equal(l.maxConns(peerConnections), c.peers)
			is.Equal(l.maxConns(otherConnections), c.scrapes)
		})
	}
}

// Guards against a connection of a caller that is closed although nobody needs its place.
func TestConnectionsOfCallersHaveNoIdleTimeout(t *testing.T) {
	is := is.New(t)
	var s platform.Settings
	s.Limits.MemoryMB = 160
	l := newListeners(s, connlimit.New(0), tally.NoopScope, zerolog.Nop())
	is.Equal(l.guard(l.callers(nil)).Server(nil).IdleTimeout, time.Duration(0))
}

// Guards against a process that accepts callers until it has no descriptor left for the store, since it has established many
// connections itself.
func TestCallersNeedAPlaceWhenTheProcessHasManyConnections(t *testing.T) {
	is := is.New(t)
	var s platform.Settings
	s.Limits.MemoryMB, s.Limits.MaxFDs = 160, 10
	connections := connlimit.New(0)
	l := newListeners(s, connections, tally.NoopScope, zerolog.Nop())
	dial := func() (net.Conn, error) { c, _ := net.Pipe(); return c, nil }
	for open := range 12 {
		is.Equal(l.callers(nil).crowded(), open > 9)
		_, err := connections.Dial(dial)
		is.NoErr(err)
	}
}
