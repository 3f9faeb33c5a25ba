package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scene is a checker that knows of one accepted job of two steps, and a worker that is not served.
func scene() (*Checker, *Worker) {
	j := NewChecker()
	spec := jobSpec{Spec: "p", Steps: []stepSpec{
		{Count: 1, CPU: 1000, time: time.Second},
		{Count: 1, CPU: 1000, time: time.Second, After: []int{0}},
	}}
	j.RecordSubmission("a", spec)
	j.RecordSubmissionAnswer("a", true, false)
	w := &Worker{ID: "w", capacity: 1500, judge: j, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(1, 1))}
	w.reset()
	return j, w
}

// Each rule is seen to be noticed when it is broken.
func TestJudgeNoticesBrokenPromises(t *testing.T) {
	first, second := taskName("a", 0, 0), taskName("a", 1, 0)
	for rule, breakIt := range map[string]func(j *Checker, w *Worker){
		"TWICE at once": func(j *Checker, w *Worker) {
			j.RecordStart(w, run{first, 1}, "p")
			j.RecordStart(w, run{first, 2}, "p")
		},
		"TWICE after a noted end": func(j *Checker, w *Worker) {
			j.RecordStart(w, run{first, 1}, "p")
			j.RecordEnd("w", run{first, 1}, "done")
			j.RecordAcknowledgement(run{first, 1}, "done")
			j.RecordStart(w, run{first, 2}, "p")
		},
		"ORDER": func(j *Checker, w *Worker) { j.RecordStart(w, run{second, 1}, "p") },
		"BUDGET": func(j *Checker, w *Worker) {
			for n := range int64(maxAttempts) + 1 {
				j.RecordStart(w, run{first, n + 1}, "p")
				j.RecordEnd("w", run{first, n + 1}, "failed")
				j.RecordAcknowledgement(run{first, n + 1}, "failed")
			}
		},
		"LIMIT": func(j *Checker, w *Worker) {
			w.runs[run{"other.0.0.0", 1}] = &running{cpu: 1000}
			j.RecordStart(w, run{first, 1}, "p")
		},
		"UNASKED job":     func(j *Checker, w *Worker) { j.RecordStart(w, run{taskName("b", 0, 0), 1}, "p") },
		"UNASKED payload": func(j *Checker, w *Worker) { j.RecordStart(w, run{first, 1}, "other") },
		"UNASKED at the end": func(j *Checker, w *Worker) {
			j.RecordStart(w, run{first, 1}, "p")
			j.RecordState("a", 200, "cancelled")
			j.CheckFinalState()
		},
		"LOST job":   func(j *Checker, w *Worker) { j.RecordState("a", 410, "") },
		"LOST end":   func(j *Checker, w *Worker) { j.CheckFinalState() },
		"LOST fails": func(j *Checker, w *Worker) { j.RecordState("a", 200, "failed") },
		"MIXED":      func(j *Checker, w *Worker) { j.RecordState("a", 200, "completed") },
		"REFUSED": func(j *Checker, w *Worker) {
			j.RecordSubmission("r", jobSpec{Spec: "p", Steps: []stepSpec{{Count: 1}}})
			j.RecordSubmissionAnswer("r", false, true)
			j.RecordStart(w, run{taskName("r", 0, 0), 1}, "p")
			j.RecordEnd("w", run{taskName("r", 0, 0), 1}, "done")
			j.RecordState("a", 200, "cancelled")
			j.CheckFinalState()
		},
	} {
		t.Run(rule, func(t *testing.T) {
			is := is.New(t)
			j, w := scene()
			breakIt(j, w)
			got := j.Violations()
			is.True(len(got) > 0) // the broken promise is noticed
			is.True(strings.HasPrefix(got[0], strings.Fields(rule)[0]))
		})
	}
}

func TestJudgeAcceptsAJobThatIsDoneOnce(t *testing.T) {
	is := is.New(t)
	j, w := scene()
	for step := range 2 {
		task := taskName("a", step, 0)
		_, ok := j.RecordStart(w, run{task, 1}, "p")
		is.True(ok)
		j.RecordEnd("w", run{task, 1}, "done")
		j.RecordAcknowledgement(run{task, 1}, "done")
	}
	j.RecordState("a", 200, "completed")
	j.CheckFinalState()
	is.Equal(len(j.Violations()), 0)
}
