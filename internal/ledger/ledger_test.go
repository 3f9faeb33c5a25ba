package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// testStart is the time at which every test begins.
var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns the time s seconds after testStart.
func at(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }

// worker returns a worker with a capacity of 10 milliCPU, 10 MB of memory and one accelerator.
func worker(id model.WorkerID) model.Worker {
	return model.Worker{ID: id, DataCentre: "kochi", Capacity: model.Resources{MilliCPU: 10, MemoryMB: 10, Accelerators: 1}}
}

// spec returns a job that declares 4 milliCPU and 4 MB of memory.
func spec(id model.JobID) model.JobSpec {
	return model.JobSpec{ID: id, Team: "reports", Class: "monthly", Declared: model.Resources{MilliCPU: 4, MemoryMB: 4}}
}

// placement returns a placement of a job on a worker that reserves 4 milliCPU and 4 MB of memory.
func placement(id model.JobID, w model.WorkerID, now time.Time) ledger.Placement {
	return ledger.Placement{Job: id, Worker: worker(w), Reservation: model.Resources{MilliCPU: 4, MemoryMB: 4},
		NotAfter: now.Add(3 * time.Second), Reason: "fits"}
}

// newOwnedLedger returns a ledger that instance a owns with epoch 1.
func newOwnedLedger() *ledger.Ledger {
	l := ledger.New(7)
	l.TakeOwnership(at(0), "a", 1)
	return l
}

// newLedgerWithRunningJob returns a ledger with the job j running on worker w1 as attempt 1.
func newLedgerWithRunningJob(is *is.I) *ledger.Ledger {
	l := newOwnedLedger()
	_, err := l.Submit(at(1), spec("j"))
	is.NoErr(err)
	is.NoErr(l.Place(at(2), placement("j", "w1", at(2))))
	l.Take()
	return l
}

// report returns the report of attempt 1 of the job j.
func report(state model.AttemptState) platform.AttemptReport {
	return platform.AttemptReport{Sequence: 1, Attempt: model.AttemptID{Job: "j", Number: 1}, State: state}
}

// state returns the state of the job j.
func state(l *ledger.Ledger) model.JobState {
	status, _ := l.Job("j")
	return status.State
}

var attempt1 = model.AttemptID{Job: "j", Number: 1}

func TestReportEndsAttempt(t *testing.T) {
	cases := []struct {
		name     string
		state    model.AttemptState
		evicting bool
		cancel   bool
		want     model.JobState
	}{
		{"success finishes the job", model.AttemptSucceeded, false, false, model.JobFinished},
		{"success of an evicted attempt finishes the job", model.AttemptSucceeded, true, false, model.JobFinished},
		{"success of a job being cancelled finishes it", model.AttemptSucceeded, false, true, model.JobFinished},
		{"failure queues the job again", model.AttemptFailed, false, false, model.JobQueued},
		{"a checkpoint queues the job again", model.AttemptCheckpointed, true, false, model.JobQueued},
		{"a stop queues an evicted job again", model.AttemptStopped, true, false, model.JobQueued},
		{"a stop ends a cancelled job", model.AttemptStopped, false, true, model.JobCancelled},
		{"a loss queues the job again", model.AttemptLost, false, false, model.JobQueued},
		{"a loss ends a cancelled job", model.AttemptLost, false, true, model.JobCancelled},
		{"a refusal queues the job again", model.AttemptRefused, false, false, model.JobQueued},
		{"progress leaves the job running", model.AttemptRunning, false, false, model.JobRunning},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLedgerWithRunningJob(is)
			if c.evicting {
				is.NoErr(l.Evict(at(3), attempt1, platform.SignalCheckpoint, "relief"))
			}
			if c.cancel {
				_, err := l.Cancel(at(3), "j", "not needed")
				is.NoErr(err)
				is.Equal(state(l), model.JobRunning) // the job ends only when its attempt has ended
			}
			r := report(c.state)
			r.Checkpoint = "cp"
			r.Progress = 0.5
			is.NoErr(l.HandleReport(at(4), "w1", r))
			is.Equal(state(l), c.want)
			released := l.Reserved("w1") == model.Resources{}
			is.Equal(released, c.state.Ended())
		})
	}
}

func TestCapacityIsHeldUntilProof(t *testing.T) {
	is := is.New(t)
	l := newOwnedLedger()
	for i := range 3 {
		_, err := l.Submit(at(1), spec(model.JobID(fmt.Sprint("j", i))))
		is.NoErr(err)
	}
	is.NoErr(l.Place(at(2), placement("j0", "w1", at(2))))
	is.NoErr(l.Place(at(2), placement("j1", "w1", at(2))))
	err := l.Place(at(2), placement("j2", "w1", at(2))) // 12 of 10 milliCPU and MB
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.NoErr(l.Evict(at(3), model.AttemptID{Job: "j0", Number: 1}, platform.SignalStop, "relief"))
	is.True(l.Place(at(3), placement("j2", "w1", at(3))) != nil) // a sent stop does not prove that the attempt ended
	is.True(l.WorkerLeaseExpired(at(4), "w1") != nil)            // a former owner may still renew the lease
	is.NoErr(l.ReconcileFormerAttempts(at(4), "w1", nil))
	is.NoErr(l.WorkerLeaseExpired(at(4), "w1"))
	is.True(l.Place(at(4), placement("j2", "w1", at(4))) != nil) // the start may still be accepted
	is.NoErr(l.WorkerLeaseExpired(at(8), "w1"))
	is.NoErr(l.Place(at(8), placement("j2", "w1", at(8))))
}

func TestPlaceRefuses(t *testing.T) {
	cases := []struct {
		name   string
		change func(p *ledger.Placement)
		reason verdict.Reason
	}{
		{"an unknown job", func(p *ledger.Placement) { p.Job = "unknown" }, verdict.ReasonUnknownID},
		{"a worker that the platform withdraws", func(p *ledger.Placement) { p.Worker.Leaving = true }, verdict.ReasonWorkerFailed},
		{"a start that has expired", func(p *ledger.Placement) { p.NotAfter = at(2) }, verdict.ReasonDeadline},
		{"a negative reservation", func(p *ledger.Placement) { p.Reservation.MemoryMB = -1 }, verdict.ReasonInvalid},
		{"too much processor time", func(p *ledger.Placement) { p.Reservation.MilliCPU = 11 }, verdict.ReasonUnfeasible},
		{"too much memory", func(p *ledger.Placement) { p.Reservation.MemoryMB = 11 }, verdict.ReasonUnfeasible},
		{"too many accelerators", func(p *ledger.Placement) { p.Reservation.Accelerators = 2 }, verdict.ReasonUnfeasible},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newOwnedLedger()
			_, err := l.Submit(at(1), spec("j"))
			is.NoErr(err)
			l.Take()
			p := placement("j", "w1", at(2))
			c.change(&p)
			err = l.Place(at(2), p)
			is.Equal(verdict.Of(err), verdict.NotRun)
			is.Equal(verdict.From(err, "").Reason, c.reason)
			records, actions := l.Take()
			is.Equal(len(records), 0) // a refused placement changes nothing
			is.Equal(len(actions.Starts), 0)
			is.Equal(state(l), model.JobQueued)
		})
	}
}

func TestExpireKeepsWhatIsStillNeeded(t *testing.T) {
	is := is.New(t)
	l := newLedgerWithRunningJob(is)
	claim := func(key model.RequestKey, exclusive bool) {
		_, err := l.Claim(at(3), ledger.ClaimRequest{Key: key, Holder: "h", Exclusive: exclusive, Deadline: at(60)})
		is.NoErr(err)
	}
	claim("once", false)
	claim("exclusive", true)
	claim("settled", true)
	is.NoErr(l.Settle(at(4), "settled", "h", verdict.Ran))

	l.Expire(at(600)) // the holders did not settle their claims in time
	is.Equal(len(l.Claims()), 2)
	for _, c := range l.Claims() {
		is.Equal(c.Verdict, verdict.MayHaveRun)
	}
	l.Expire(at(60).Add(ledger.ClaimRetention + time.Second))
	is.Equal(len(l.Claims()), 1) // an exclusive key that may have run is kept
	is.Equal(l.Claims()[0].Key, model.RequestKey("exclusive"))
	l.Expire(at(60).Add(100 * ledger.JobRetention))
	is.Equal(state(l), model.JobRunning) // a job that has not ended is never dropped

	is.NoErr(l.HandleReport(at(700), "w1", report(model.AttemptSucceeded)))
	l.Expire(at(700).Add(ledger.JobRetention + time.Second))
	_, found := l.Job("j")
	is.True(!found)
}

func TestReconcileFormerAttemptsKeepsAttemptsOfThisOwner(t *testing.T) {
	is := is.New(t)
	l := newLedgerWithRunningJob(is)
	is.NoErr(l.ReconcileFormerAttempts(at(3), "w1", nil))
	is.Equal(state(l), model.JobRunning) // the start message may still arrive
	l.TakeOwnership(at(4), "b", 2)
	is.NoErr(l.ReconcileFormerAttempts(at(5), "w1", nil))
	is.Equal(state(l), model.JobQueued)
	is.NoErr(l.HandleReport(at(6), "w1", report(model.AttemptSucceeded))) // a late report
	is.Equal(state(l), model.JobQueued)
}

func TestSubmitIsIdempotent(t *testing.T) {
	is := is.New(t)
	l := newLedgerWithRunningJob(is)
	again, err := l.Submit(at(3), spec("j"))
	is.NoErr(err)
	is.Equal(again.State, model.JobRunning)
	other := spec("j")
	other.Class = "other"
	_, err = l.Submit(at(3), other)
	is.Equal(verdict.From(err, "").Reason, verdict.ReasonDuplicate)
	is.Equal(verdict.Of(err), verdict.NotRun)
	records, _ := l.Take()
	is.Equal(len(records), 0)
}

func TestClaims(t *testing.T) {
	cases := []struct {
		name      string
		exclusive bool
		settled   bool
		verdict   verdict.Verdict
		holder    model.InstanceID
		granted   bool
	}{
		{"an open key is not granted again", false, false, 0, "h2", false},
		{"a key that ran is not granted again", false, true, verdict.Ran, "h2", false},
		{"a key that may have run is not granted again", false, true, verdict.MayHaveRun, "h2", false},
		{"a key that did not run is granted again", false, true, verdict.NotRun, "h2", true},
		{"a holder is not granted a key twice", false, true, verdict.NotRun, "h1", false},
		{"an exclusive key that ran is granted again", true, true, verdict.Ran, "h2", true},
		{"an exclusive key that may have run is never granted again", true, true, verdict.MayHaveRun, "h2", false},
		{"an open exclusive key is not granted again", true, false, 0, "h2", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newOwnedLedger()
			request := ledger.ClaimRequest{Key: "k", Holder: "h1", Exclusive: c.exclusive, Deadline: at(60)}
			_, err := l.Claim(at(1), request)
			is.NoErr(err)
			if c.settled {
				is.NoErr(l.Settle(at(2), "k", "h1", c.verdict))
			}
			request.Holder = c.holder
			known, err := l.Claim(at(3), request)
			is.Equal(err == nil, c.granted)
			if !c.granted {
				is.Equal(verdict.From(err, "").Reason, verdict.ReasonDuplicate)
				is.Equal(known.Holder, model.InstanceID("h1"))
			}
		})
	}
}

// takeTransfer makes the queued records durable and returns the one transfer to be offered.
func takeTransfer(is *is.I, l *ledger.Ledger) ledger.Transfer {
	is.Equal(len(l.PendingTransfers()), 0) // nothing is offered before its record is durable
	l.Take()
	is.Equal(len(l.PendingTransfers()), 0)
	l.MarkDurable()
	is.Equal(len(l.PendingTransfers()), 1)
	return l.PendingTransfers()[0]
}

func TestTransferThereAndBack(t *testing.T) {
	is := is.New(t)
	home, remote := newOwnedLedger(), ledger.New(8)
	remote.TakeOwnership(at(0), "b", 1)
	_, err := home.Submit(at(1), spec("j"))
	is.NoErr(err)
	is.NoErr(home.TransferOut(at(2), "j", 8, "full"))
	first := takeTransfer(is, home)
	is.NoErr(remote.AcceptTransfer(at(3), 7, first))
	is.NoErr(remote.AcceptTransfer(at(3), 7, first)) // the same offer once more
	is.NoErr(home.TransferConfirmed(at(4), "j", first.Hop))
	is.Equal(state(home), model.JobTransferred)

	is.NoErr(remote.TransferOut(at(5), "j", 7, "data centre out"))
	second := takeTransfer(is, remote)
	is.NoErr(home.AcceptTransfer(at(6), 8, second))
	is.NoErr(home.TransferOut(at(7), "j", 8, "full"))
	is.NoErr(home.TransferConfirmed(at(8), "j", first.Hop)) // a late confirmation
	third := takeTransfer(is, home)                         // the third transfer is still to be accepted
	is.NoErr(remote.AcceptTransfer(at(8), 7, first))        // a late offer
	is.Equal(state(remote), model.JobTransferred)
	is.NoErr(remote.AcceptTransfer(at(9), 7, third))
	is.Equal(state(remote), model.JobQueued)
}

func TestReplayEqualsLiveState(t *testing.T) {
	is := is.New(t)
	l := newOwnedLedger()
	replayed := ledger.New(7)
	_, err := l.Submit(at(1).Add(123456789), spec("j"))
	is.NoErr(err)
	is.NoErr(l.Place(at(2).Add(987654), placement("j", "w1", at(2).Add(777777))))
	is.NoErr(l.Evict(at(3), attempt1, platform.SignalCheckpoint, "relief"))
	_, err = l.Claim(at(3), ledger.ClaimRequest{Key: "k", Holder: "h", Deadline: at(9).Add(333333)})
	is.NoErr(err)
	records, actions := l.Take()
	data, err := ledger.EncodeRecords(records)
	is.NoErr(err)
	decoded, err := ledger.DecodeRecords(data)
	is.NoErr(err)
	for _, r := range decoded {
		is.NoErr(replayed.Apply(r))
	}
	is.Equal(decoded[2].NotAfter, actions.Starts[0].Attempt.NotAfter)
	want, err := l.Marshal()
	is.NoErr(err)
	got, err := replayed.Marshal()
	is.NoErr(err)
	is.Equal(got, want)
	loaded, err := ledger.Load(7, got)
	is.NoErr(err)
	l.MarkDurable()
	got, err = loaded.Marshal()
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(loaded.History("j"), l.History("j"))
	is.Equal(loaded.PendingSignals(), l.PendingSignals())
}

func TestMarshalRefusesQueuedRecords(t *testing.T) {
	is := is.New(t)
	l := newOwnedLedger()
	_, err := l.Marshal()
	is.True(err != nil)
	l.Take()
	_, err = l.Marshal()
	is.NoErr(err)
}
