package batch

// Record is what the store keeps of the progress of a job.
type Record struct {
	Status  JobStatus      `cbor:"1,keyasint,omitempty"`
	Started bool           `cbor:"2,keyasint,omitempty"`
	Steps   []StepProgress `cbor:"3,keyasint,omitempty"`
}

// StepProgress is what is known of the tasks of one step. Steps without progress are left out.
type StepProgress struct {
	Occurrence int            `cbor:"1,keyasint,omitempty"`
	Step       int            `cbor:"2,keyasint,omitempty"`
	Done       []byte         `cbor:"3,keyasint,omitempty"` // a bit a task
	Tasks      []TaskProgress `cbor:"4,keyasint,omitempty"`
	// MayHaveStarted says that tasks of the step may have been started.
	MayHaveStarted bool `cbor:"5,keyasint,omitempty"`
}

// TaskProgress is what is known of a task that is not done.
type TaskProgress struct {
	Index      int     `cbor:"1,keyasint"`
	Failed     []int64 `cbor:"2,keyasint,omitempty"` // runs that ended failed
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
}

// DirtyJobs returns the jobs whose records have changed since they were last taken.
func (s *State) DirtyJobs() int { return s.dirty.len() }

// LastChange returns the mark of the newest change of any job.
func (s *State) LastChange() uint64 { return s.dirty.last }

// OldestChange returns the mark of the oldest change that was not taken yet. It is above
// LastChange if there is none.
func (s *State) OldestChange() uint64 { return s.dirty.oldest() }

// HasUrgentRecords reports whether a step waits for its record.
func (s *State) HasUrgentRecords() bool { return len(s.urgent) > 0 }

// TakeDirty returns at most n changed jobs with their records, and counts them as written.
// Jobs with steps that wait for their record come first, then those that changed first.
func (s *State) TakeDirty(n int) map[string]Record {
	out := make(map[string]Record, min(n, s.dirty.len()))
	for j := range s.urgent {
		s.take(j, n, out)
	}
	for j := s.dirty.first(); j != nil && len(out) < n; j = s.dirty.first() {
		s.take(j, n, out)
	}
	return out
}

func (s *State) take(j *Job, n int, out map[string]Record) {
	if len(out) == n {
		return
	}
	out[j.ID] = j.record()
	s.dirty.remove(j)
	delete(s.urgent, j)
}

// announce asks for the record without which no task of the step is started.
func (s *State) announce(st *step) {
	st.startAnnounced = true
	s.dirty.add(st.job)
	s.urgent[st.job] = true
}

// MarkStored tells that the records are durable.
func (s *State) MarkStored(records map[string]Record) {
	for id, r := range records {
		if j := s.jobs[id]; j != nil {
			j.durableOutcome = r.Status
			r.stored(j)
		}
	}
}

// stored notes which steps may be started.
func (r *Record) stored(j *Job) {
	for _, p := range r.Steps {
		if p.MayHaveStarted && p.Occurrence < len(j.occs) {
			j.occs[p.Occurrence].steps[p.Step].startDurable = true
		}
	}
}

func (j *Job) record() Record {
	r := Record{Status: j.outcome, Started: j.started}
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

func (st *step) progress() (StepProgress, bool) {
	p := StepProgress{Occurrence: st.occ.number, Step: st.number, MayHaveStarted: st.startAnnounced}
	if st.remainingTasks < len(st.tasks) {
		p.Done = make([]byte, (len(st.tasks)+7)/8)
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		switch {
		case t.done:
			p.Done[i/8] |= 1 << (i % 8)
		case len(t.failed) > 0 || t.checkpoint != "":
			p.Tasks = append(p.Tasks, TaskProgress{Index: i, Failed: t.failed, Checkpoint: t.checkpoint})
		}
	}
	return p, p.MayHaveStarted || p.Done != nil || p.Tasks != nil
}

// restore puts the progress into a fresh job.
func (r *Record) restore(j *Job) {
	j.started = r.Started
	for i := range r.Steps {
		r.Steps[i].restore(j)
	}
}

func (p *StepProgress) restore(j *Job) {
	if p.Occurrence >= len(j.occs) || p.Step >= len(j.Spec.Steps) {
		return
	}
	st := j.occs[p.Occurrence].steps[p.Step]
	st.startAnnounced, st.startDurable, st.startedByFormerOwner = p.MayHaveStarted, p.MayHaveStarted, p.MayHaveStarted
	for i := range st.tasks {
		if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			st.tasks[i].done = true
			st.remainingTasks--
			st.waiting--
		}
	}
	for _, t := range p.Tasks {
		if t.Index < len(st.tasks) {
			st.tasks[t.Index].failed = t.Failed
			st.tasks[t.Index].checkpoint = t.Checkpoint
		}
	}
	if st.remainingTasks == 0 {
		st.unblockDependents()
	}
}

// unblockDependents unblocks the steps that wait for this one.
func (st *step) unblockDependents() {
	st.occ.remainingSteps--
	for _, later := range st.occ.steps {
		for _, before := range later.spec.After {
			if before == st.number {
				later.blocked--
			}
		}
	}
}
