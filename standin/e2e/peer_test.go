package e2e

import (
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// peerOutage is longer than the member lease, and longer than a partition's summary stays valid.
const peerOutage = 8 * time.Second

func TestInstancesCutFromEachOther(t *testing.T) {
	tests := []struct {
		sentence string
		// cut holds the numbers of the instances that the others cannot reach.
		cut []int
	}{
		{"No instance reaches another.", []int{0, 1, 2}},
		{"No other instance reaches one instance, but it reaches them.", []int{1}},
	}
	for _, tt := range tests {
		t.Run(tt.sentence, func(t *testing.T) {
			s := start(t, nil)
			s.startTraffic(60)
			s.submit(30, 4*time.Second, 8*time.Second)
			s.awaitStarted(15)
			began := time.Now()
			s.setPeersCut(tt.cut, true)
			s.pause(peerOutage)
			s.setPeersCut(tt.cut, false)
			ended := time.Now()
			s.submit(10, time.Second, time.Second)
			counts := s.finishAndCheck()
			s.is.Equal(counts.Lost, 0) // tasks need no connection between instances
			during := resultsBetween(s.traffic.Results(), began, ended)
			logVerdicts(t, during)
			claimed := 0
			for _, r := range during {
				if r.Class == model.Idempotent && r.Verdict != verdict.Ran {
					t.Errorf("idempotent %s did not run although no peer was needed: %s", r.Reference, r.Reason)
				}
				if r.Class != model.Idempotent && r.Verdict == verdict.Ran {
					claimed++
				}
			}
			s.is.True(claimed > 0) // an instance claims keys of its own partitions without a peer
		})
	}
}

// setPeersCut cuts or restores the connections from other instances to the given ones.
func (s *system) setPeersCut(numbers []int, cut bool) {
	for _, n := range numbers {
		s.Instances[n].PeerProxy.SetCut(cut)
	}
}
