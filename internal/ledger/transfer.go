package ledger

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// TransferRetention is how long a ledger remembers that it accepted a job after it has
// forgotten the job itself. An offer that is older than one whose memory was dropped is
// refused, because a second acceptance could not be told.
const TransferRetention = 7 * 24 * time.Hour

// arrival remembers an accepted job that has left the ledger.
type arrival struct {
	submitted time.Time
	hop       uint32
	// offered is when the source recorded the transfer.
	offered   time.Time
	forgotten time.Time
}

// TransferOut moves a queued job to another partition. It is offered there until
// TransferConfirmed.
func (l *Ledger) TransferOut(now time.Time, id model.JobID, to model.Partition, reason string) error {
	j, found := l.jobs[id]
	if !found {
		return refuse(verdict.ReasonUnknownID, "no job %q", id)
	}
	if j.state != model.JobQueued || to == l.partition {
		return refuse(verdict.ReasonInvalid, "job %q is %s and cannot move to partition %d", id, j.state, to)
	}
	r := Record{Kind: RecordTransferred, At: now, Job: id, Partition: to, Hop: j.hop + 1, Reason: reason}
	if err := l.commit(r); err != nil {
		return err
	}
	l.actions.Transfers = append(l.actions.Transfers, j.transfer())
	return nil
}

func (l *Ledger) applyTransferred(j *job, r *Record) error {
	if j.state != model.JobQueued {
		return r.misfit("job is %s", j.state)
	}
	j.state = model.JobTransferred
	j.movedTo = r.Partition
	j.hop = r.Hop
	j.offered = true
	j.ended = r.At
	j.reason = r.Reason
	l.note(j, r, "")
	return nil
}

// transfer returns the offer of a job that left for another partition.
func (j *job) transfer() Transfer {
	return Transfer{
		To:         j.movedTo,
		Spec:       j.spec,
		Submitted:  j.submitted,
		Attempt:    j.attempt,
		Checkpoint: j.checkpoint,
		Progress:   j.progress,
		Hop:        j.hop,
		At:         j.ended,
		Home:       j.home,
		Evictions:  j.evictions,
		Failures:   j.failures,
		History:    slices.Clone(j.steps),
	}
}

// TransferConfirmed takes the other partition's acceptance of transfer number hop. A late
// confirmation of an earlier transfer of the job changes nothing.
func (l *Ledger) TransferConfirmed(now time.Time, id model.JobID, hop uint32) error {
	j, found := l.jobs[id]
	if !found || j.state != model.JobTransferred || !j.offered || j.hop != hop {
		return nil
	}
	return l.commit(Record{Kind: RecordTransferEnd, At: now, Job: id, Hop: hop})
}

func (l *Ledger) applyTransferEnd(j *job, r *Record) error {
	if j.state != model.JobTransferred || j.hop != r.Hop {
		return r.misfit("job is %s after transfer %d", j.state, j.hop)
	}
	j.offered = false
	l.dropPayload(j)
	return nil
}

// AcceptTransfer takes a job that another partition offers. No error means that the offer
// was accepted now or earlier and that the source may be told so. It is idempotent: an
// offer that was accepted before changes nothing, even if the job has ended or left since.
func (l *Ledger) AcceptTransfer(now time.Time, from model.Partition, t Transfer) error {
	t.normalise()
	if l.hasSeen(t) {
		return nil
	}
	if !t.At.After(l.horizon) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "offer of job %q is too old to be recognised", t.Spec.ID)
	}
	if known, found := l.jobs[t.Spec.ID]; found && !known.replaceable() {
		return refuse(verdict.ReasonDuplicate, "job %q is %s here", t.Spec.ID, known.state)
	}
	if err := l.admitJob(t.Spec); err != nil {
		return err
	}
	return l.commit(Record{Kind: RecordAccepted, At: now, Job: t.Spec.ID, Partition: from, Hop: t.Hop, Transfer: &t})
}

// hasSeen reports whether the offer, or a later one of the same job, was accepted before.
func (l *Ledger) hasSeen(t Transfer) bool {
	if j, found := l.jobs[t.Spec.ID]; found && !newer(t, j.submitted, j.hop) {
		return true
	}
	a, found := l.arrivals[t.Spec.ID]
	return found && !newer(t, a.submitted, a.hop)
}

// newer reports whether the offer comes after the known transfer of the job. An id that is
// submitted again after the ledger has forgotten it counts its transfers from 1 again, so
// the time of submission comes first.
func newer(t Transfer, submitted time.Time, hop uint32) bool {
	if c := t.Submitted.Compare(submitted); c != 0 {
		return c > 0
	}
	return t.Hop > hop
}

// replaceable reports whether an arriving job may take the place of this one.
func (j *job) replaceable() bool {
	return j.state == model.JobTransferred || j.hasEnded()
}

func (l *Ledger) applyAccepted(r *Record) error {
	t := r.Transfer
	if t == nil {
		return r.misfit("no transfer")
	}
	if known, found := l.jobs[r.Job]; found {
		if !known.replaceable() || !newer(*t, known.submitted, known.hop) {
			return r.misfit("job is %s after transfer %d", known.state, known.hop)
		}
		l.drop(known)
	}
	j := &job{
		spec:       t.Spec,
		digest:     digest(t.Spec),
		submitted:  t.Submitted,
		attempt:    t.Attempt,
		checkpoint: t.Checkpoint,
		progress:   t.Progress,
		evictions:  t.Evictions,
		failures:   t.Failures,
		home:       t.Home,
		hop:        t.Hop,
		arrived:    t.At,
		steps:      slices.Clone(t.History),
	}
	delete(l.arrivals, r.Job)
	l.add(j)
	l.enqueue(j)
	l.note(j, r, "")
	return nil
}

// PendingTransfers returns the jobs that the other partition has not confirmed yet. Like
// every Pending view it leaves out what is not known to be durable, so that its messages
// may be sent at once.
func (l *Ledger) PendingTransfers() []Transfer {
	var pending []Transfer
	for _, j := range l.sortedJobs() {
		if j.state == model.JobTransferred && j.offered && l.durable(j) {
			pending = append(pending, j.transfer())
		}
	}
	return pending
}
