package batch

// Record is what the store keeps of the progress of a job.
type Record struct {
	Outcome Outcome        `cbor:"1,keyasint,omitempty"`
	Started bool           `cbor:"2,keyasint,omitempty"`
	Steps   []StepProgress `cbor:"3,keyasint,omitempty"`
}

// StepProgress is what is known of the tasks of one step. Steps without progress are left out.
type StepProgress struct {
	Occurrence int            `cbor:"1,keyasint,omitempty"`
	Step       int            `cbor:"2,keyasint,omitempty"`
	Done       []byte         `cbor:"3,keyasint,omitempty"` // a bit a task
	Tasks      []TaskProgress `cbor:"4,keyasint,omitempty"`
}

// TaskProgress is what is known of a task that is not done.
type TaskProgress struct {
	Index      int     `cbor:"1,keyasint"`
	Failed     []int64 `cbor:"2,keyasint,omitempty"` // runs that ended failed
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
}

// Dirty returns the jobs whose records have changed since they were last taken.
func (s *State) Dirty() int { return len(s.dirty) }

// TakeDirty returns at most n changed jobs with their records, and counts them as written.
func (s *State) TakeDirty(n int) map[string]Record {
	out := make(map[string]Record, min(n, len(s.dirty)))
	for j := range s.dirty {
		if len(out) == n {
			break
		}
		out[j.ID] = j.record()
		delete(s.dirty, j)
	}
	return out
}

// Stored tells that the records are durable.
func (s *State) Stored(records map[string]Record) {
	for id, r := range records {
		if j := s.jobs[id]; j != nil {
			j.durable = r.Outcome
		}
	}
}

func (j *Job) record() Record {
	r := Record{Outcome: j.outcome, Started: j.started}
	if r.Outcome.Terminal() {
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
	p := StepProgress{Occurrence: st.occ.number, Step: st.number}
	if st.left < len(st.tasks) {
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
	return p, p.Done != nil || p.Tasks != nil
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
	for i := range st.tasks {
		if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			st.tasks[i].done = true
			st.left--
			st.waiting--
		}
	}
	for _, t := range p.Tasks {
		if t.Index < len(st.tasks) {
			st.tasks[t.Index].failed = t.Failed
			st.tasks[t.Index].checkpoint = t.Checkpoint
		}
	}
	if st.left == 0 {
		st.finished()
	}
}

// finished unblocks the steps that wait for this one.
func (st *step) finished() {
	st.occ.left--
	for _, later := range st.occ.steps {
		for _, before := range later.spec.After {
			if before == st.number {
				later.blocked--
			}
		}
	}
}
