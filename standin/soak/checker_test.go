package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestChecker returns a checker with one accepted job of two steps, and a worker without a server.
func newTestChecker() (*Checker, *Worker) {
	c := NewChecker()
	spec := jobSpec{Spec: "p", Steps: []stepSpec{
		{Count: 1, CPU: 1000, duration: time.Second},
		{Count: 1, CPU: 1000, duration: time.Second, After: []int{0}},
	}}
	c.RecordSubmission("a", spec)
	c.RecordSubmissionAnswer("a", true, false)
	w := &Worker{ID: "w", capacity: 1500, checker: c, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(1, 1))}
	w.reset()
	return c, w
}

// Two crashes of a worker overlap, so it is restarted twice. The runs that began between the restarts are lost
// with the second one, and the checker is told so: they may run elsewhere.
func TestRestartLosesRuns(t *testing.T) {
	is := is.New(t)
	c, w := newTestChecker()
	r := run{taskName("a", 0, 0), 1}
	c.RecordStart(w, r, "p")
	w.runs[r] = &activeRun{cpu: 1000}
	w.Restart()
	is.Equal(len(w.runs), 0)
	c.RecordStart(w, run{taskName("a", 0, 0), 2}, "p")
	is.Equal(len(c.Violations()), 0)
}

// The violation of each rule must be recorded. A case is named by its rule and, if there are several
// cases of a rule, by how the rule is violated.
func TestJudgeNoticesBrokenPromises(t *testing.T) {
	first, second := taskName("a", 0, 0), taskName("a", 1, 0)
	for rule, breakRule := range map[string]func(c *Checker, w *Worker){
		"TWICE at once": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p")
			c.RecordStart(w, run{first, 2}, "p")
		},
		"TWICE after an acknowledged end": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p")
			c.RecordEnd("w", run{first, 1}, "done")
			c.RecordAcknowledgement(run{first, 1}, "done")
			c.RecordStart(w, run{first, 2}, "p")
		},
		"TWICE before an acknowledged end": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p")
			c.RecordEnd("w", run{first, 1}, "done")
			c.RecordStart(w, run{first, 2}, "p")
			c.RecordEnd("w", run{first, 2}, "done")
			c.RecordAcknowledgement(run{first, 2}, "done") // allowed if the first end is never acknowledged
			c.RecordAcknowledgement(run{first, 1}, "done")
		},
		"ORDER": func(c *Checker, w *Worker) { c.RecordStart(w, run{second, 1}, "p") },
		"BUDGET": func(c *Checker, w *Worker) {
			for n := range int64(maxAttempts) + 1 {
				c.RecordStart(w, run{first, n + 1}, "p")
				c.RecordEnd("w", run{first, n + 1}, "failed")
				c.RecordAcknowledgement(run{first, n + 1}, "failed")
			}
		},
		"LIMIT": func(c *Checker, w *Worker) {
			w.runs[run{"other.0.0.0", 1}] = &activeRun{cpu: 1000}
			c.RecordStart(w, run{first, 1}, "p")
		},
		"UNASKED job":     func(c *Checker, w *Worker) { c.RecordStart(w, run{taskName("b", 0, 0), 1}, "p") },
		"UNASKED payload": func(c *Checker, w *Worker) { c.RecordStart(w, run{first, 1}, "other") },
		"UNASKED at the end": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p")
			c.RecordState("a", 200, "cancelled")
			c.CheckFinalState()
		},
		"LOST job":   func(c *Checker, w *Worker) { c.RecordState("a", 410, "") },
		"LOST end":   func(c *Checker, w *Worker) { c.CheckFinalState() },
		"LOST fails": func(c *Checker, w *Worker) { c.RecordState("a", 200, "failed") },
		"MIXED":      func(c *Checker, w *Worker) { c.RecordState("a", 200, "completed") },
		"REFUSED": func(c *Checker, w *Worker) {
			c.RecordSubmission("r", jobSpec{Spec: "p", Steps: []stepSpec{{Count: 1}}})
			c.RecordSubmissionAnswer("r", false, true)
			c.RecordStart(w, run{taskName("r", 0, 0), 1}, "p")
			c.RecordEnd("w", run{taskName("r", 0, 0), 1}, "done")
			c.RecordState("a", 200, "cancelled")
			c.CheckFinalState()
		},
	} {
		t.Run(rule, func(t *testing.T) {
			is := is.New(t)
			c, w := newTestChecker()
			breakRule(c, w)
			got := c.Violations()
			is.True(len(got) > 0) // the violation is recorded
			is.True(strings.HasPrefix(got[0], strings.Fields(rule)[0]))
		})
	}
}

func TestCheckerAcceptsAJobDoneOnce(t *testing.T) {
	is := is.New(t)
	c, w := newTestChecker()
	for step := range 2 {
		task := taskName("a", step, 0)
		_, ok := c.RecordStart(w, run{task, 1}, "p")
		is.True(ok)
		c.RecordEnd("w", run{task, 1}, "done")
		c.RecordAcknowledgement(run{task, 1}, "done")
	}
	c.RecordState("a", 200, "completed")
	c.CheckFinalState()
	is.Equal(len(c.Violations()), 0)
}
