package ledger

import (
	"crypto/sha256"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// job is the durable state of one job.
type job struct {
	spec      model.JobSpec
	digest    [digestBytes]byte
	state     model.JobState
	submitted time.Time
	ended     time.Time
	// attempt is the last attempt number used.
	attempt uint32
	// current is the attempt that may be executing, or nil.
	current    *attempt
	checkpoint model.CheckpointID
	progress   float64
	evictions  int
	failures   int
	reason     string
	// cancelling says that a cancellation was recorded and that the job ends as cancelled once
	// its attempt has ended.
	cancelling bool
	// home is the partition that the job was submitted to.
	home model.Partition
	// movedTo is the partition that the job was last transferred to from here.
	movedTo model.Partition
	// hop is the number of the last transfer of the job, 0 if there was none.
	hop uint32
	// incomingTransferAt is when the source recorded the transfer that brought the job here.
	incomingTransferAt time.Time
	// transferUnconfirmed says that the job was transferred and that the other partition has not
	// confirmed the transfer yet.
	transferUnconfirmed bool
	history             []HistoryEntry
	// hasQueueEntry says that the queue holds an entry of the job, possibly an outdated one.
	hasQueueEntry bool
	// lastRecord is the number of the last record of the job, counted like Ledger.committed.
	lastRecord uint64
}

// digestBytes is the length of the digests by which specifications are compared.
const digestBytes = 16

// digest returns a hash of the specification. It is kept because the payload, which belongs to
// the comparison, is dropped when the job ends.
func digest(spec model.JobSpec) [digestBytes]byte {
	encoded, err := encoding.Marshal(spec)
	if err != nil {
		panic(err) // a JobSpec holds only types that CBOR encodes
	}
	sum := sha256.Sum256(encoded)
	return [digestBytes]byte(sum[:digestBytes])
}

// Submit accepts a job. If the id is known, the same specification yields the status of the
// known job, and another specification is refused as a duplicate.
func (l *Ledger) Submit(now time.Time, spec model.JobSpec) (JobStatus, error) {
	if known, found := l.jobs[spec.ID]; found {
		if known.digest != digest(spec) {
			return known.status(), refuse(verdict.ReasonDuplicate, "job %q exists with another specification", spec.ID)
		}
		return known.status(), nil
	}
	if err := l.admitJob(spec); err != nil {
		return JobStatus{}, err
	}
	if err := l.commit(Record{Kind: RecordSubmitted, At: now, Job: spec.ID, Spec: &spec}); err != nil {
		return JobStatus{}, err
	}
	return l.jobs[spec.ID].status(), nil
}

// admitJob checks a new job against the limits.
func (l *Ledger) admitJob(spec model.JobSpec) error {
	if spec.ID == "" || spec.Team == "" {
		return refuse(verdict.ReasonInvalid, "a job needs an id and a team")
	}
	if len(spec.Payload) > model.MaxPayload {
		return refuse(verdict.ReasonInvalid, "payload of %d bytes exceeds %d", len(spec.Payload), model.MaxPayload)
	}
	if !(model.Resources{}).Fits(spec.Declared) {
		return refuse(verdict.ReasonInvalid, "declared resources must not be negative")
	}
	if len(l.jobs) >= MaxJobs {
		return refuse(verdict.ReasonOverload, "partition %d holds %d jobs", l.partition, len(l.jobs))
	}
	if l.specBytes+specSize(spec) > MaxSpecBytes {
		return refuse(verdict.ReasonOverload, "partition %d holds %d bytes of specifications", l.partition, l.specBytes)
	}
	return l.admit()
}

func (l *Ledger) applySubmitted(r *Record) error {
	if r.Spec == nil || r.Spec.ID != r.Job {
		return r.applyError("the record has no specification of the job")
	}
	if _, found := l.jobs[r.Job]; found {
		return r.applyError("the job exists")
	}
	j := &job{spec: *r.Spec, digest: digest(*r.Spec), submitted: r.At, home: l.partition, attempt: l.highestExpiredAttempt}
	l.add(j)
	l.enqueue(j)
	l.appendHistory(j, r, "")
	return nil
}

// Cancel cancels a job. A job without an attempt ends at once; otherwise the attempt is stopped
// and the job ends when the attempt has ended. A job that was transferred to another partition
// yields its status and a verdict error with ReasonNotOwner.
func (l *Ledger) Cancel(now time.Time, id model.JobID, reason string) (JobStatus, error) {
	j, found := l.jobs[id]
	if !found {
		return JobStatus{}, refuse(verdict.ReasonUnknownID, "no job %q", id)
	}
	if j.state == model.JobTransferred {
		return j.status(), refuse(verdict.ReasonNotOwner, "job %q was transferred to partition %d", id, j.movedTo)
	}
	if j.hasEnded() || j.cancelling {
		return j.status(), nil
	}
	if err := l.commit(Record{Kind: RecordCancelled, At: now, Job: id, Reason: reason}); err != nil {
		return j.status(), err
	}
	if j.current != nil {
		l.signal(j, platform.SignalStop)
	}
	return j.status(), nil
}

func (l *Ledger) applyCancelled(j *job, r *Record) error {
	if j.hasEnded() || j.state == model.JobTransferred {
		return r.applyError("job is %s", j.state)
	}
	j.reason = r.Reason
	l.appendHistory(j, r, "")
	if j.current != nil {
		j.cancelling = true
		return nil
	}
	l.finish(j, model.JobCancelled, r.At)
	return nil
}

// Park keeps a queued job from being placed until Resume.
func (l *Ledger) Park(now time.Time, id model.JobID, reason string) error {
	j, found := l.jobs[id]
	if !found {
		return refuse(verdict.ReasonUnknownID, "no job %q", id)
	}
	if j.state == model.JobParked {
		return nil
	}
	if j.state != model.JobQueued {
		return refuse(verdict.ReasonInvalid, "job %q is %s", id, j.state)
	}
	return l.commit(Record{Kind: RecordParked, At: now, Job: id, Reason: reason})
}

func (l *Ledger) applyParked(j *job, r *Record) error {
	if j.state != model.JobQueued {
		return r.applyError("job is %s", j.state)
	}
	j.state = model.JobParked
	j.reason = r.Reason
	l.appendHistory(j, r, "")
	return nil
}

// Resume queues a parked job again and clears its failure count.
func (l *Ledger) Resume(now time.Time, id model.JobID) error {
	j, found := l.jobs[id]
	if !found {
		return refuse(verdict.ReasonUnknownID, "no job %q", id)
	}
	if j.state != model.JobParked {
		return refuse(verdict.ReasonInvalid, "job %q is %s", id, j.state)
	}
	return l.commit(Record{Kind: RecordResumed, At: now, Job: id})
}

func (l *Ledger) applyResumed(j *job, r *Record) error {
	if j.state != model.JobParked {
		return r.applyError("job is %s", j.state)
	}
	j.failures = 0
	j.reason = ""
	l.enqueue(j)
	l.appendHistory(j, r, "")
	return nil
}

// specSize returns the bytes of the specification that vary in length.
func specSize(s model.JobSpec) int {
	size := len(s.ID) + len(s.Team) + len(s.Customer) + len(s.Class) + len(s.Payload)
	for _, dc := range s.DataCentres {
		size += len(dc)
	}
	return size
}

// add puts a job into the ledger.
func (l *Ledger) add(j *job) {
	l.jobs[j.spec.ID] = j
	l.specBytes += specSize(j.spec)
	l.historyEntries += len(j.history)
}

// hasEnded reports whether the job reached its final state.
func (j *job) hasEnded() bool {
	return j.state == model.JobFinished || j.state == model.JobCancelled
}

// enqueue marks the job as queued and adds it to the queue of jobs that wait for placement.
func (l *Ledger) enqueue(j *job) {
	j.state = model.JobQueued
	l.queue.add(j)
}

// finish sets the final state of the job and drops its payload.
func (l *Ledger) finish(j *job, state model.JobState, at time.Time) {
	j.state = state
	j.ended = at
	j.cancelling = false
	l.dropPayload(j)
}

// dropPayload frees the payload of a job that will not start here again.
func (l *Ledger) dropPayload(j *job) {
	l.specBytes -= len(j.spec.Payload)
	j.spec.Payload = nil
}
