package batch

import (
	"testing"

	"pgregory.net/rapid"
)

// lateJobs is the number of jobs that are submitted after the faults in some histories.
const lateJobs = 3

// TestWorld runs random histories of an owner, workers and the store, with late and lost requests,
// crashes, cut connections, outages of the store and changes of the owner. The simulation checks each start on a worker.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  w.submit,
			"cancel":  w.cancel,
			"plan":    w.plan,
			"plan2":   w.plan,
			"fresh":   w.planFreshSteps,
			"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver,
			"lose":         w.loseAnswer,
			"repeat":       w.repeat,
			"lose renewal": w.loseRenewal, "late renewal": w.carryOutRenewal,
			"end":    w.endOne,
			"report": w.report, "report2": w.report, "report3": w.report,
			"commit": w.commit, "commit2": w.commit,
			"cut":        w.toggleConnection,
			"resize":     w.resize,
			"cap":        w.changeCap,
			"crash":      w.crash,
			"losses":     w.loseSome,
			"refuse":     w.toggleRefusal,
			"unreadable": w.toggleReadable,
			"store":      w.toggleStore,
			"drain":      w.toggleDraining,
			"series":     w.failInSeries, "series2": w.failInSeries,
			"retry": w.retry,
			"": func(t *rapid.T) {
				w.checkWaiting(t)
				w.checkFailures(t)
			},
			"register": w.register, "list": w.list,
			"pass": w.advanceTime,
			"take over": func(t *rapid.T) {
				if w.failuresOnly || rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
					w.replaceOwner(t)
				}
			},
		})
		if !w.failuresOnly && rapid.Bool().Draw(t, "losses in series") {
			w.loseInSeries(t)
		}
		w.quiesce(t)
	})
}

// quiesce restores all connections and capacities and runs without faults for 80 s. After that, every job must have
// ended. Deadly tasks that are long-running have 60 s before to crash workers.
func (w *simulation) quiesce(t *rapid.T) {
	w.endFaults()
	if w.hasDeadlyLongRunningTask() {
		w.runTicks(t, 300)
		w.checkFailures(t)
	}
	if rapid.IntRange(0, 4).Draw(t, "late jobs") == 0 {
		w.submitLate(t)
	}
	// Long-running tasks may occupy the workers forever.
	for id, j := range w.jobs {
		if j.Spec.LongRunning() {
			w.cancelJob(id)
		}
	}
	w.runTicks(t, 400)
	w.checkFailures(t)
	if n := w.owner.QueuedJobs("q"); n != 0 {
		t.Fatalf("%d jobs are said to wait after all have ended", n)
	}
	for id, j := range w.jobs {
		known := w.owner.Job(id)
		if known == nil {
			t.Fatalf("job %s is not known", id)
		}
		if !known.Status().Terminal() {
			t.Fatalf("job %s is %s 80 s after the last fault", id, known.Status())
		}
		if known.Status() == Completed {
			w.checkCompleted(t, j)
		}
	}
}

// submitLate submits jobs once the 14 s after the last fault are over, so that tasks fail while no fault excuses it when
// others stand still.
func (w *simulation) submitLate(t *rapid.T) {
	w.runTicks(t, int(finishTime/simulatedTick)+1)
	for range lateJobs {
		w.submitNext(t, false)
	}
	w.runTicks(t, 30)
}

// hasDeadlyLongRunningTask reports whether a long-running task crashes each worker that starts it.
func (w *simulation) hasDeadlyLongRunningTask() bool {
	for id := range w.deadly {
		if w.isLongRunning(id) {
			return true
		}
	}
	return false
}

// checkCompleted checks that all tasks of a job with status Completed have been done.
func (w *simulation) checkCompleted(t *rapid.T, j *Job) {
	for s, step := range j.Spec.Steps {
		for i := range step.Count {
			if !w.done[TaskID{Job: j.ID, Step: s, Index: i}] {
				t.Fatalf("job %s is shown as completed, but task %d of step %d is not done", j.ID, i, s)
			}
		}
	}
}
