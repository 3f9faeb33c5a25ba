package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scene is a judge who knows of one accepted job of two steps, and a worker that is not served.
func scene() (*Judge, *Worker) {
	j := NewJudge()
	spec := jobSpec{Spec: "p", Steps: []stepSpec{
		{Count: 1, CPU: 1000, time: time.Second},
		{Count: 1, CPU: 1000, time: time.Second, After: []int{0}},
	}}
	j.Submitting("a", spec)
	j.Submitted("a", true, false)
	w := &Worker{ID: "w", capacity: 1500, judge: j, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(1, 1))}
	w.reset()
	return j, w
}

// Each rule is seen to be noticed when it is broken.
func TestJudgeNoticesBrokenPromises(t *testing.T) {
	first, second := taskName("a", 0, 0), taskName("a", 1, 0)
	for rule, breakIt := range map[string]func(j *Judge, w *Worker){
		"TWICE at once": func(j *Judge, w *Worker) {
			j.Started(w, run{first, 1}, "p")
			j.Started(w, run{first, 2}, "p")
		},
		"TWICE after a noted end": func(j *Judge, w *Worker) {
			j.Started(w, run{first, 1}, "p")
			j.Ended("w", run{first, 1}, "done")
			j.Noted(run{first, 1}, "done")
			j.Started(w, run{first, 2}, "p")
		},
		"ORDER": func(j *Judge, w *Worker) { j.Started(w, run{second, 1}, "p") },
		"BUDGET": func(j *Judge, w *Worker) {
			for n := range int64(maxAttempts) + 1 {
				j.Started(w, run{first, n + 1}, "p")
				j.Ended("w", run{first, n + 1}, "failed")
				j.Noted(run{first, n + 1}, "failed")
			}
		},
		"LIMIT": func(j *Judge, w *Worker) {
			w.runs[run{"other.0.0.0", 1}] = &running{cpu: 1000}
			j.Started(w, run{first, 1}, "p")
		},
		"UNASKED job":     func(j *Judge, w *Worker) { j.Started(w, run{taskName("b", 0, 0), 1}, "p") },
		"UNASKED payload": func(j *Judge, w *Worker) { j.Started(w, run{first, 1}, "other") },
		"UNASKED at the end": func(j *Judge, w *Worker) {
			j.Started(w, run{first, 1}, "p")
			j.Shown("a", 200, "cancelled")
			j.Conclude()
		},
		"LOST job":   func(j *Judge, w *Worker) { j.Shown("a", 410, "") },
		"LOST end":   func(j *Judge, w *Worker) { j.Conclude() },
		"LOST fails": func(j *Judge, w *Worker) { j.Shown("a", 200, "failed") },
		"MIXED":      func(j *Judge, w *Worker) { j.Shown("a", 200, "completed") },
		"REFUSED": func(j *Judge, w *Worker) {
			j.Submitting("r", jobSpec{Spec: "p", Steps: []stepSpec{{Count: 1}}})
			j.Submitted("r", false, true)
			j.Started(w, run{taskName("r", 0, 0), 1}, "p")
			j.Ended("w", run{taskName("r", 0, 0), 1}, "done")
			j.Shown("a", 200, "cancelled")
			j.Conclude()
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
		_, ok := j.Started(w, run{task, 1}, "p")
		is.True(ok)
		j.Ended("w", run{task, 1}, "done")
		j.Noted(run{task, 1}, "done")
	}
	j.Shown("a", 200, "completed")
	j.Conclude()
	is.Equal(len(j.Violations()), 0)
}
