package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
)

// busiestOwner returns the instance that owns the most running tasks.
func (s *system) busiestOwner() *cluster.Instance {
	s.t.Helper()
	status, err := s.Instances[0].Status(s.ctx)
	s.is.NoErr(err)
	running := map[model.InstanceID]int{}
	for _, p := range status.Partitions {
		running[p.Owner] += p.Running
	}
	best := s.Instances[0]
	for _, i := range s.Instances {
		if running[i.ID()] > running[best.ID()] {
			best = i
		}
	}
	return best
}

// other returns an instance that is not the given one.
func (s *system) other(than *cluster.Instance) *cluster.Instance {
	return s.Instances[(than.Number+1)%len(s.Instances)]
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.submit(40, 2*time.Second, 6*time.Second)
	s.awaitStarted(20)
	owner := s.busiestOwner()
	s.setOutOfRotation(owner.Number, true)
	killed := time.Now()
	owner.Kill()
	s.awaitOwners(s.other(owner), takeOverBound, owner.ID())
	t.Logf("take-over after %s with a member lease of %s", time.Since(killed).Round(time.Millisecond), memberLease)
	s.submit(10, time.Second, time.Second)
	counts := s.finishAndCheck()
	s.is.Equal(counts.Lost, 0) // tasks continue when their owner's process dies
}

func TestFrozenOwnerWakesUpDeposed(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.submit(40, 2*time.Second, 6*time.Second)
	s.awaitStarted(20)
	owner := s.busiestOwner()
	s.setOutOfRotation(owner.Number, true)
	s.is.NoErr(owner.Signal(syscall.SIGSTOP))
	s.awaitOwners(s.other(owner), takeOverBound, owner.ID())
	s.submit(20, 2*time.Second, 4*time.Second)
	s.awaitStarted(50)
	s.is.NoErr(owner.Signal(syscall.SIGCONT))
	s.is.NoErr(owner.AwaitReady(s.ctx)) // it becomes a member again
	s.setOutOfRotation(owner.Number, false)
	s.submit(10, time.Second, time.Second)
	s.finishAndCheck()
}

func TestGracefulStopUnderLoadCutsNothing(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(90)
	s.submit(30, 2*time.Second, 6*time.Second)
	s.awaitStarted(15)
	for _, i := range s.Instances {
		s.is.NoErr(i.Signal(syscall.SIGTERM))
		// A load balancer sends no more requests to an instance that is not ready.
		s.is.NoErr(cluster.Await(s.ctx, "instance is not ready", finishBound, func() (bool, error) {
			return !i.Ready(s.ctx), nil
		}))
		s.setOutOfRotation(i.Number, true)
		s.is.NoErr(i.Wait(finishBound)) // exit status 0
		s.is.NoErr(i.Start())
		s.is.NoErr(i.AwaitReady(s.ctx))
		s.setOutOfRotation(i.Number, false)
	}
	counts := s.finishAndCheck()
	s.is.Equal(counts.Lost, 0)
	for _, r := range s.traffic.Results() {
		if r.Verdict == verdict.MayHaveRun {
			t.Errorf("%s (%s) was cut off: %s", r.Reference, r.Class, r.Reason)
		}
	}
	logVerdicts(t, s.traffic.Results())
}

func TestStopThenKillBreaksNothing(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.submit(30, 2*time.Second, 6*time.Second)
	s.awaitStarted(15)
	owner := s.busiestOwner()
	s.is.NoErr(owner.Signal(syscall.SIGTERM))
	s.is.NoErr(cluster.Await(s.ctx, "instance is not ready", finishBound, func() (bool, error) {
		return !owner.Ready(s.ctx), nil
	}))
	owner.Kill()
	s.setOutOfRotation(owner.Number, true)
	s.awaitOwners(s.other(owner), takeOverBound, owner.ID())
	s.is.NoErr(owner.Start())
	s.is.NoErr(owner.AwaitReady(s.ctx))
	s.setOutOfRotation(owner.Number, false)
	s.submit(10, time.Second, time.Second)
	s.finishAndCheck()
}

func TestAllInstancesReplacedAtOnce(t *testing.T) {
	s := start(t, nil)
	s.submit(30, 3*time.Second, 6*time.Second)
	s.awaitStarted(15)
	for _, i := range s.Instances {
		i.Kill()
	}
	for _, i := range s.Instances {
		s.is.NoErr(i.Start())
	}
	for _, i := range s.Instances {
		s.is.NoErr(i.AwaitReady(s.ctx))
	}
	s.finishAndCheck()
}

// logVerdicts logs the number of requests by class, verdict and reason.
func logVerdicts(t *testing.T, results []cluster.Result) {
	t.Helper()
	type outcome struct {
		class   model.RequestClass
		verdict verdict.Verdict
		reason  verdict.Reason
	}
	counts := map[outcome]int{}
	for _, r := range results {
		counts[outcome{r.Class, r.Verdict, r.Reason}]++
	}
	for o, n := range counts {
		t.Logf("%-10s %-12s %-26s %d", o.class, o.verdict, o.reason, n)
	}
}

func TestFaultyWorkersDoNotBreakPromises(t *testing.T) {
	tests := []struct {
		sentence string
		mode     fleet.WorkerMode
	}{
		{"A worker fails every start.", fleet.WorkerFailStarts},
		{"A worker starts tasks, but its answers are lost.", fleet.WorkerLoseAnswers},
		{"A worker is frozen beyond the end of its lease.", fleet.WorkerFrozen},
		{"A worker dies.", fleet.WorkerDead},
	}
	for _, tt := range tests {
		t.Run(tt.sentence, func(t *testing.T) {
			s := start(t, nil)
			s.submit(20, time.Second, 3*time.Second)
			s.awaitStarted(5)
			s.is.NoErr(s.WorkerFault(s.ctx, fleet.WorkerFault{Worker: "cairo-a-1-w01", Mode: tt.mode}))
			s.submit(20, time.Second, 3*time.Second)
			s.finishAndCheck()
		})
	}
}
