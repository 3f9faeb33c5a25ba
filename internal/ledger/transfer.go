package ledger

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// TransferRetention is how long the entry of an accepted transfer is kept after its job has
// expired. A transfer that is not later than all those of the expired entries is refused, because
// it may have been accepted before.
const TransferRetention = 7 * 24 * time.Hour

// acceptedTransfer is the latest known transfer of a job that has expired. It identifies a repeated
// offer of the job.
type acceptedTransfer struct {
	submitted time.Time
	hop       uint32
	// transferredAt is when the source recorded the last transfer to this partition, zero if there
	// was none.
	transferredAt time.Time
	// expiredAt is when the job was removed, from which TransferRetention counts.
	expiredAt time.Time
}

// TransferOut transfers a queued job to another partition. The job is offered there until
// TransferConfirmed is called.
func (l *Ledger) TransferOut(now time.Time, id model.JobID, to model.Partition, reason string) error {
	j, found := l.jobs[id]
	if !found {
		return refuse(verdict.ReasonUnknownID, "no job %q", id)
	}
	if j.state != model.JobQueued || to == l.partition {
		return refuse(verdict.ReasonInvalid, "job %q is %s and cannot be transferred to partition %d", id, j.state, to)
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
		return r.applyError("job is %s", j.state)
	}
	j.state = model.JobTransferred
	j.movedTo = r.Partition
	j.hop = r.Hop
	j.transferUnconfirmed = true
	j.ended = r.At
	j.reason = r.Reason
	l.appendHistory(j, r, "")
	return nil
}

// transfer returns the offer of a job that is transferred to another partition.
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
		History:    slices.Clone(j.history),
	}
}

// TransferConfirmed records that the other partition accepted transfer number hop of the job. A
// late confirmation of an earlier transfer changes nothing.
func (l *Ledger) TransferConfirmed(now time.Time, id model.JobID, hop uint32) error {
	j, found := l.jobs[id]
	if !found || j.state != model.JobTransferred || !j.transferUnconfirmed || j.hop != hop {
		return nil
	}
	return l.commit(Record{Kind: RecordTransferEnd, At: now, Job: id, Hop: hop})
}

func (l *Ledger) applyTransferEnd(j *job, r *Record) error {
	if j.state != model.JobTransferred || j.hop != r.Hop {
		return r.applyError("job is %s after transfer %d", j.state, j.hop)
	}
	j.transferUnconfirmed = false
	l.dropPayload(j)
	return nil
}

// AcceptTransfer accepts a job that another partition offers. It returns nil if the offer is
// accepted now or was accepted earlier; the source may be told so. It is idempotent: an offer
// that was accepted before changes nothing, even if the job has ended or was transferred since.
func (l *Ledger) AcceptTransfer(now time.Time, from model.Partition, t Transfer) error {
	t.normalise()
	if l.alreadyAccepted(t) {
		return nil
	}
	if !t.At.After(l.latestExpiredTransfer) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "offer of job %q is too old to tell whether it was accepted before", t.Spec.ID)
	}
	if known, found := l.jobs[t.Spec.ID]; found && !known.replaceable() {
		return refuse(verdict.ReasonDuplicate, "job %q is %s here", t.Spec.ID, known.state)
	}
	if err := l.admitJob(t.Spec); err != nil {
		return err
	}
	return l.commit(Record{Kind: RecordAccepted, At: now, Job: t.Spec.ID, Partition: from, Hop: t.Hop, Transfer: &t})
}

// alreadyAccepted reports whether the offer, or a later one of the same job, was accepted before.
func (l *Ledger) alreadyAccepted(t Transfer) bool {
	if j, found := l.jobs[t.Spec.ID]; found && !newer(t, j.submitted, j.hop) {
		return true
	}
	a, found := l.acceptedTransfers[t.Spec.ID]
	return found && !newer(t, a.submitted, a.hop)
}

// newer reports whether the offer is later than the known transfer of the job. The time of
// submission is compared first, because a job whose id is submitted again after its removal
// counts its transfers from 1 again.
func newer(t Transfer, submitted time.Time, hop uint32) bool {
	if c := t.Submitted.Compare(submitted); c != 0 {
		return c > 0
	}
	return t.Hop > hop
}

// replaceable reports whether an accepted transfer of the same id may replace this job.
func (j *job) replaceable() bool {
	return j.state == model.JobTransferred || j.hasEnded()
}

func (l *Ledger) applyAccepted(r *Record) error {
	t := r.Transfer
	if t == nil {
		return r.applyError("the record has no transfer")
	}
	if known, found := l.jobs[r.Job]; found {
		if !known.replaceable() || !newer(*t, known.submitted, known.hop) {
			return r.applyError("job is %s after transfer %d", known.state, known.hop)
		}
		l.removeJob(known)
	}
	j := &job{
		spec:               t.Spec,
		digest:             digest(t.Spec),
		submitted:          t.Submitted,
		attempt:            t.Attempt,
		checkpoint:         t.Checkpoint,
		progress:           t.Progress,
		evictions:          t.Evictions,
		failures:           t.Failures,
		home:               t.Home,
		hop:                t.Hop,
		incomingTransferAt: t.At,
		history:            slices.Clone(t.History),
	}
	delete(l.acceptedTransfers, r.Job)
	l.add(j)
	l.enqueue(j)
	l.appendHistory(j, r, "")
	return nil
}

// PendingTransfers returns the transfers that the other partition has not confirmed yet. Like
// PendingSignals and PendingStart it leaves out what is not known to be durable, so that its
// messages may be sent at once.
func (l *Ledger) PendingTransfers() []Transfer {
	var transfers []Transfer
	for _, j := range l.sortedJobs() {
		if j.state == model.JobTransferred && j.transferUnconfirmed && l.durable(j) {
			transfers = append(transfers, j.transfer())
		}
	}
	return transfers
}
