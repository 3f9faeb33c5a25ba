package batch

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Record is the progress of a job as it is kept in the store.
type Record struct {
	Status  JobStatus      `cbor:"1,keyasint,omitempty"`
	Started bool           `cbor:"2,keyasint,omitempty"`
	Steps   []StepProgress `cbor:"3,keyasint,omitempty"`
	// change is the job's changedSeq at the time of the record. It is not stored.
	change uint64
}

// StepProgress is the progress of the tasks of one step. Steps without progress are left out.
type StepProgress struct {
	Occurrence int            `cbor:"1,keyasint,omitempty"`
	Step       int            `cbor:"2,keyasint,omitempty"`
	Done       []byte         `cbor:"3,keyasint,omitempty"` // bitmap, one bit for each task
	Tasks      []TaskProgress `cbor:"4,keyasint,omitempty"`
	// MayHaveStarted is set if tasks of the step may have been started.
	MayHaveStarted bool `cbor:"5,keyasint,omitempty"`
}

// TaskProgress is the progress of a task that is not done.
type TaskProgress struct {
	Index      int     `cbor:"1,keyasint"`
	Failed     []int64 `cbor:"2,keyasint,omitempty"` // runs that ended failed
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
	// Suspicions are the starts after which the worker was or may be lost, also one that is about to be sent.
	Suspicions []Suspicion `cbor:"4,keyasint,omitempty"`
}

// DirtyJobs returns the number of jobs whose records have changed since they were last taken.
func (s *State) DirtyJobs() int { return s.dirty.len() }

// HasUrgentRecords reports whether the start of a step waits for a durable record.
func (s *State) HasUrgentRecords() bool { return s.UrgentRecords() > 0 }

// UrgentRecords returns the number of jobs whose records starts wait for.
func (s *State) UrgentRecords() int { return len(s.urgentJobs) }

// maxUrgentShare is the largest part of the records of a transaction that jobs get whose starts wait for them while
// others have waited for longer: the acknowledgement of ends waits for the oldest record.
const maxUrgentShare = 0.75

// TakeDirty returns the records of at most n changed jobs, by job id, and marks these jobs as
// unchanged. Jobs with steps whose start waits for a record come first, up to maxUrgentShare of n if others wait, then
// all in the order of their changes.
func (s *State) TakeDirty(n int) map[string]Record {
	out := make(map[string]Record, min(n, s.dirty.len()))
	urgent := n
	if s.dirty.len() > n {
		urgent = int(maxUrgentShare * float64(n))
	}
	for _, j := range s.urgentInOrder(urgent) {
		s.take(j, urgent, out)
	}
	for j := s.dirty.oldestJob(); j != nil && len(out) < n; j = s.dirty.oldestJob() {
		s.take(j, n, out)
	}
	return out
}

// urgentInOrder returns the jobs whose starts wait for a record. If there are more than n, they are in the order of the priorities
// of their queues, of the levels of their tenants' shares, and of their changes.
func (s *State) urgentInOrder(n int) []*Job {
	jobs := slices.Collect(maps.Keys(s.urgentJobs))
	if len(jobs) > n {
		slices.SortFunc(jobs, func(a, b *Job) int {
			return cmp.Or(
				cmp.Compare(s.queueOf(a).Priority, s.queueOf(b).Priority),
				cmp.Compare(s.jobLevel(a), s.jobLevel(b)),
				cmp.Compare(s.dirty.seqs[a], s.dirty.seqs[b]),
			)
		})
	}
	return jobs
}

// take adds the record of a job to out, unless out holds n records.
func (s *State) take(j *Job, n int, out map[string]Record) {
	if len(out) >= n {
		return
	}
	out[j.ID] = j.record()
	s.dirty.take(j)
	delete(s.urgentJobs, j)
}

// requestStartRecord requests a record that says that tasks of the step may have been started. No task
// of the step is started before this record is durable.
func (s *State) requestStartRecord(st *step) {
	st.startRecordRequested = true
	s.dirty.add(st.job)
	s.urgentJobs[st.job] = true
}

// MarkStored notes that the records are durable.
func (s *State) MarkStored(records map[string]Record) {
	for id, r := range records {
		if j := s.jobs[id]; j != nil {
			j.durableOutcome, j.storedSeq = r.Status, max(j.storedSeq, r.change)
			s.markStartRecordsDurable(j, r)
		}
	}
}

// markStartRecordsDurable marks the steps whose tasks may be started, now that the record is durable.
func (s *State) markStartRecordsDurable(j *Job, r Record) {
	for _, p := range r.Steps {
		if p.MayHaveStarted && p.Occurrence < len(j.occs) {
			if st := j.occs[p.Occurrence].steps[p.Step]; !st.startRecordDurable {
				st.startRecordDurable = true
				s.markFresh(st)
			}
		}
		for _, t := range p.Tasks {
			if p.Occurrence < len(j.occs) {
				known := &j.occs[p.Occurrence].steps[p.Step].tasks[t.Index]
				known.markStartsRecorded(t.Suspicions)
				known.recordedFailures = max(known.recordedFailures, len(t.Failed))
			}
		}
	}
}

// record returns the record of a job. That of an ended job holds its status only.
func (j *Job) record() Record {
	r := Record{Status: j.outcome, Started: j.started, change: j.changedSeq}
	if r.Status.Terminal() {
		return r
	}
	for _, o := range j.occs {
		for _, st := range o.steps {
			if p, any := st.progress(); any {
				r.Steps = append(r.Steps, p)
			}
		}
	}
	return r
}

// progress returns the progress of a step, and whether there is any.
func (st *step) progress() (StepProgress, bool) {
	p := StepProgress{Occurrence: st.occ.number, Step: st.number, MayHaveStarted: st.startRecordRequested}
	if st.remainingTasks < len(st.tasks) {
		p.Done = make([]byte, (len(st.tasks)+7)/8)
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		switch {
		case t.done:
			p.Done[i/8] |= 1 << (i % 8)
		case len(t.failed) > 0 || t.checkpoint != "" || t.suspected():
			p.Tasks = append(p.Tasks, TaskProgress{Index: i, Failed: t.failed, Checkpoint: t.checkpoint, Suspicions: slices.Clone(t.suspicions)})
		}
	}
	return p, p.MayHaveStarted || p.Done != nil || p.Tasks != nil
}

// Reductions returns smaller forms of the record, for a store that does not take it whole, each smaller than the one before: without
// checkpoints, so that tasks of a lost worker start anew after a take-over, then also without suspicions, so that the next owner knows
// less of the workers that tasks have crashed.
func (r Record) Reductions() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		withoutCheckpoints := r.reduced(func(t *TaskProgress) { t.Checkpoint = "" })
		_ = yield(withoutCheckpoints) && yield(withoutCheckpoints.reduced(func(t *TaskProgress) { t.Suspicions = nil }))
	}
}

// reduced returns a copy of the record with changed progress of its tasks, of which those without any are left out.
func (r Record) reduced(change func(t *TaskProgress)) Record {
	r.Steps = slices.Clone(r.Steps)
	for i := range r.Steps {
		var tasks []TaskProgress
		for _, t := range r.Steps[i].Tasks {
			change(&t)
			if len(t.Failed) > 0 || t.Checkpoint != "" || len(t.Suspicions) > 0 {
				tasks = append(tasks, t)
			}
		}
		r.Steps[i].Tasks = tasks
	}
	return r
}

// restore applies the recorded progress to a new job.
func (r *Record) restore(j *Job) {
	j.started = r.Started
	for i := range r.Steps {
		r.Steps[i].restore(j)
	}
}

// restore applies the recorded progress to its step. It ignores indexes that the job does not have.
func (p *StepProgress) restore(j *Job) {
	if p.Occurrence < 0 || p.Occurrence >= len(j.occs) || p.Step < 0 || p.Step >= len(j.Spec.Steps) {
		return
	}
	st := j.occs[p.Occurrence].steps[p.Step]
	st.startRecordRequested, st.startRecordDurable, st.startedByFormerOwner = p.MayHaveStarted, p.MayHaveStarted, p.MayHaveStarted
	for i := range st.tasks {
		if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			st.tasks[i].done = true
			st.remainingTasks--
			st.waiting--
		}
	}
	for _, t := range p.Tasks {
		if t.Index >= 0 && t.Index < len(st.tasks) {
			st.tasks[t.Index].failed = t.Failed
			st.tasks[t.Index].recordedFailures = len(t.Failed)
			st.tasks[t.Index].checkpoint = t.Checkpoint
			st.tasks[t.Index].suspicions = t.Suspicions
		}
	}
	if st.remainingTasks == 0 {
		st.unblockDependents()
	}
}

// unblockDependents notes in the occurrence and in the dependent steps that this step is done.
func (st *step) unblockDependents() {
	st.occ.remainingSteps--
	for _, dependent := range st.occ.steps {
		for _, before := range dependent.spec.After {
			if before == st.number {
				dependent.pendingDependencies--
			}
		}
	}
}
