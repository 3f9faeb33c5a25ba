package daylog

import (
	"maps"
	"slices"
	"time"
)

// Outcome is how a job ended, as far as the log says.
type Outcome uint8

// The outcomes.
const (
	Unfinished Outcome = iota
	Completed
	Failed
	Cancelled
)

// Day is what the logs of a day say about its jobs.
type Day struct {
	jobs        map[string]*job
	ownerChange []time.Time
	first, last time.Time
}

// job is the life of one job.
type job struct {
	queue      string
	submitted  time.Time
	firstStart time.Time
	ended      time.Time
	outcome    Outcome
	starts     int
	paces      int
	waits      map[int]wait // the open wait of each step
	waited     map[string]time.Duration
	stopped    map[string]int // by reason
	failedRuns int
}

// wait is a time in which a step waits.
type wait struct {
	reason string
	since  time.Time
}

// New returns a day without any lines.
func New() *Day { return &Day{jobs: map[string]*job{}} }

func (d *Day) job(id string) *job {
	j := d.jobs[id]
	if j == nil {
		j = &job{waits: map[int]wait{}, waited: map[string]time.Duration{}, stopped: map[string]int{}}
		d.jobs[id] = j
	}
	return j
}

// add applies one line. The lines of several instances come in any order within milliseconds of each other.
func (d *Day) add(e *event) {
	if d.first.IsZero() || e.at().Before(d.first) {
		d.first = e.at()
	}
	if e.at().After(d.last) {
		d.last = e.at()
	}
	if e.Event == "owner.changed" && e.Owner != "" {
		d.addOwnerChange(e.at())
	}
	if e.Job != "" {
		d.job(e.Job).add(e)
	}
}

// ownerChangeWindow is the time within which all instances log the same change of the owner.
const ownerChangeWindow = 200 * time.Millisecond

func (d *Day) addOwnerChange(at time.Time) {
	if n := len(d.ownerChange); n == 0 || at.Sub(d.ownerChange[n-1]) > ownerChangeWindow {
		d.ownerChange = append(d.ownerChange, at)
	}
}

func (j *job) add(e *event) {
	switch e.Event {
	case "job.submitted":
		if e.Result == "done" && j.submitted.IsZero() {
			j.queue, j.submitted = e.Queue, e.at()
		}
	case "step.waits":
		j.endWait(e.Step, e.at())
		j.waits[e.Step] = wait{reason: e.Why, since: e.at()}
	case "task.start":
		j.starts++
		j.endWait(e.Step, e.at())
		if j.firstStart.IsZero() {
			j.firstStart = e.at()
		}
	case "task.pace":
		j.paces++
	case "task.stop":
		j.stopped[e.Why]++
	case "task.ended":
		if e.Why == "failed" {
			j.failedRuns++
		}
	case "job.completed":
		j.end(Completed, e.at())
	case "job.failed":
		j.end(Failed, e.at())
	case "job.cancelled":
		j.end(Cancelled, e.at())
	}
}

func (j *job) endWait(step int, at time.Time) {
	if w, ok := j.waits[step]; ok {
		j.waited[w.reason] += at.Sub(w.since)
		delete(j.waits, step)
	}
}

func (j *job) end(o Outcome, at time.Time) {
	if !j.ended.IsZero() {
		return
	}
	j.outcome, j.ended = o, at
	j.endWaits(at)
}

// endWaits ends the waits of all steps.
func (j *job) endWaits(at time.Time) {
	for _, step := range slices.Sorted(maps.Keys(j.waits)) {
		j.endWait(step, at)
	}
}
