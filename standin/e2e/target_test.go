package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/store"
)

// faultDuration is the duration of each fault of the targets.
const faultDuration = 2 * time.Second

func TestFaultyTargetsNeverYieldAFalseAnswer(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	faults := []fleet.TargetFault{
		{DataCentre: "cairo-a", Mode: fleet.TargetLate},
		{DataCentre: "cairo-b", Mode: fleet.TargetTruncated},
		{DataCentre: "cairo-c", Mode: fleet.TargetDuplicateAnswers},
		{DataCentre: "cairo-a", Mode: fleet.TargetClose},
		{DataCentre: "cairo-b", Mode: fleet.TargetRefuse},
		{Mode: fleet.TargetDuplicateAnswers},
		{Mode: fleet.TargetTruncated},
		{Mode: fleet.TargetHealthy},
	}
	for _, f := range faults {
		s.is.NoErr(s.TargetFault(s.ctx, f))
		s.pause(faultDuration)
	}
	s.stopTraffic()
	s.checkGuarantees()
	logVerdicts(t, s.traffic.Results())
}

func TestLeavingTargetsReceiveNothingNew(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.is.NoErr(s.TargetFault(s.ctx, fleet.TargetFault{DataCentre: "cairo-a", Leaving: true}))
	s.pause(8 * time.Second)
	s.stopTraffic()
	s.checkGuarantees() // targets record requests that arrive over five seconds after they began to leave
	for _, r := range s.traffic.Results() {
		if r.Verdict != verdict.Ran {
			t.Errorf("%s (%s): %s %s", r.Reference, r.Class, r.Verdict, r.Reason)
		}
	}
}

func TestOwnerKilledDuringAnOutageBreaksNothing(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.submit(40, 3*time.Second, 8*time.Second)
	s.awaitStarted(20)
	owner := s.busiestOwner()
	other := s.other(owner)
	s.is.NoErr(s.StoreFault(s.ctx, nil, store.Fault{Down: true}))
	s.pause(memberLease / 2)
	s.setOutOfRotation(owner.Number, true)
	owner.Kill()
	s.pause(memberLease)
	s.is.NoErr(owner.Start())
	s.is.NoErr(s.StoreFault(s.ctx, nil, store.Fault{}))
	s.is.NoErr(owner.AwaitReady(s.ctx))
	s.setOutOfRotation(owner.Number, false)
	s.awaitOwners(other, takeOverBound)
	s.submit(10, time.Second, time.Second)
	s.finishAndCheck()
}

func TestCancellationsInABurstEndEveryJob(t *testing.T) {
	s := start(t, nil)
	specs := s.submit(60, time.Minute, 2*time.Minute) // long enough that none ends before it is cancelled
	s.awaitStarted(30)
	owner := s.busiestOwner()
	s.setOutOfRotation(owner.Number, true)
	for n, spec := range specs {
		if n == len(specs)/2 {
			owner.Kill()
		}
		s.is.NoErr(cluster.Await(s.ctx, "cancellation of "+string(spec.ID), finishBound, func() (bool, error) {
			err := s.other(owner).Cancel(s.ctx, spec.ID)
			return err == nil, err
		}))
	}
	for _, spec := range specs {
		s.is.NoErr(cluster.Await(s.ctx, "end of "+string(spec.ID), finishBound, func() (bool, error) {
			status, err := s.other(owner).Job(s.ctx, spec.ID)
			if err != nil {
				return false, err
			}
			return status.State == model.JobCancelled, fmt.Errorf("%s: %s", status.State, status.Reason)
		}))
	}
	s.awaitCounts("nothing executes", finishBound, func(c fleet.Counts) bool { return c.Running == 0 })
	s.checkGuarantees()
}
