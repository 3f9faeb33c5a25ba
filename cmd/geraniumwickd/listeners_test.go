package main

import (
	"testing"

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
