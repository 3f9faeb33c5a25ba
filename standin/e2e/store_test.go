package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/store"
)

// storeOutage is longer than every lease in these tests.
const storeOutage = 8 * time.Second

// resultsBetween returns the results of requests that were sent between two times.
func resultsBetween(results []cluster.Result, from, to time.Time) []cluster.Result {
	var out []cluster.Result
	for _, r := range results {
		if r.Began.After(from) && r.Began.Before(to) {
			out = append(out, r)
		}
	}
	return out
}

// pause waits while a fault lasts. No check depends on the exact duration.
func (s *system) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

func TestStoreOutageKeepsTasksAndIdempotentRequestsGoing(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.submit(30, 6*time.Second, 14*time.Second)
	s.awaitStarted(20)
	began := time.Now()
	s.is.NoErr(s.StoreFault(s.ctx, nil, store.Fault{Down: true}))
	s.pause(storeOutage)
	s.is.NoErr(s.StoreFault(s.ctx, nil, store.Fault{}))
	ended := time.Now()
	for _, i := range s.Instances {
		s.is.NoErr(i.AwaitReady(s.ctx))
	}
	s.submit(10, time.Second, time.Second)
	counts := s.finishAndCheck()
	s.is.Equal(counts.Lost, 0) // renewing the workers' leases does not need the store
	during := resultsBetween(s.traffic.Results(), began, ended)
	logVerdicts(t, during)
	for _, r := range during {
		if r.Class == model.Idempotent && r.Verdict != verdict.Ran {
			t.Errorf("idempotent %s did not run during the outage: %s", r.Reference, r.Reason)
		}
	}
}

func TestInstanceCutFromTheStoreIsReplaced(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.submit(40, 2*time.Second, 8*time.Second)
	s.awaitStarted(20)
	owner := s.busiestOwner()
	s.is.NoErr(s.StoreFault(s.ctx, owner, store.Fault{Down: true}))
	other := s.other(owner)
	s.is.NoErr(other.SetDataCentreOut(s.ctx, "cairo-a", true))
	out := time.Now()
	s.awaitOwners(other, takeOverBound, owner.ID())
	s.pause(time.Until(out.Add(outBound + 3*time.Second)))
	back := time.Now()
	s.is.NoErr(other.SetDataCentreOut(s.ctx, "cairo-a", false))
	s.is.NoErr(s.StoreFault(s.ctx, owner, store.Fault{}))
	s.is.NoErr(owner.AwaitReady(s.ctx))
	s.submit(10, time.Second, time.Second)
	s.finishAndCheck()
	interval, err := s.Interval(s.ctx, "cairo-a", out.Add(outBound), back)
	s.is.NoErr(err)
	s.is.Equal(len(interval.Starts), 0) // the instance without the store started nothing there either
}

func TestUnknownOutcomesOfWritesBreakNothing(t *testing.T) {
	tests := []struct {
		sentence string
		fault    store.Fault
	}{
		{"Answers to journal writes are lost.", store.Fault{Prefix: "journal/", LostAnswers: 20}},
		{"Journal writes take effect after they have been retried.", store.Fault{Prefix: "journal/", DelayedWrites: 20, DelayedBy: 3 * time.Second}},
		{"Answers to writes of all keys are lost, including members and configuration.", store.Fault{LostAnswers: 40}},
		{"The store is slow.", store.Fault{Delay: 700 * time.Millisecond}},
		{"Watches stay open but deliver nothing.", store.Fault{SilentWatches: true}},
		{"Reads of the configuration see an older document.", store.Fault{Prefix: "config/", StaleReads: 20}},
	}
	for _, tt := range tests {
		t.Run(tt.sentence, func(t *testing.T) {
			s := start(t, nil)
			s.startTraffic(40)
			s.submit(20, time.Second, 4*time.Second)
			s.is.NoErr(s.StoreFault(s.ctx, nil, tt.fault))
			s.submit(20, time.Second, 4*time.Second)
			// An edit may be refused while the fault lasts, but an accepted one stays in force.
			s.is.NoErr(cluster.Await(s.ctx, "acceptance of the edit", finishBound, func() (bool, error) {
				err := s.Instances[1].SetDataCentreOut(s.ctx, "cairo-b", true)
				return err == nil, err
			}))
			s.pause(3 * time.Second)
			s.is.NoErr(s.StoreFault(s.ctx, nil, store.Fault{}))
			text := s.section(s.Instances[1], "operators").Text
			s.is.True(strings.Contains(text, "out: true"))
			s.awaitText("operators", text)
			s.submit(5, time.Second, time.Second)
			s.finishAndCheck()
		})
	}
}
