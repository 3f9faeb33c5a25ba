package owner

import (
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// worldJob is a job of a history.
type worldJob struct {
	id        string
	steps     []batch.Step
	accepted  time.Time
	cancelled time.Time // zero if it is not
}

// maxOpenTasks bounds the tasks of the jobs that are open together, so that less than half of the capacity is in use.
const maxOpenTasks = 9

const (
	// workerCPU is the capacity of a stand-in worker, and taskCPU what each task of a history needs of it.
	workerCPU = 8000
	taskCPU   = 400
	// burstTasks is the number of tasks of manyTasks, more than are sent to a worker at a time, and burstCPU what each needs.
	burstTasks = 30
	burstCPU   = 80
)

// endingTasks and lastingTasks return a step of a history, and manyTasks one with many small tasks that last.
func endingTasks(count int) batch.Step  { return withCPU(tasks(count), taskCPU) }
func lastingTasks(count int) batch.Step { return withCPU(longRunning(count), taskCPU) }
func manyTasks() batch.Step             { return withCPU(longRunning(burstTasks), burstCPU) }

func withCPU(step batch.Step, cpu int64) batch.Step {
	step.Resources.CPU = cpu
	return step
}

// submitJob submits a job whose tasks take a duration.
func (w *ownersWorld) submitJob(id string, duration time.Duration, steps ...batch.Step) {
	w.workers.setDuration(id, duration)
	w.submit(id, steps...)
	w.jobs = append(w.jobs, &worldJob{id: id, steps: steps, accepted: time.Now()})
}

// submitAny submits a job with tasks that last, with tasks that end or with a step after the first, if there is room.
func (w *ownersWorld) submitAny(string) {
	count := 1 + w.random.IntN(3)
	if w.openTasks()+count > maxOpenTasks {
		return
	}
	id := w.nextJob()
	duration := 200*time.Millisecond + w.upTo(3*time.Second)
	switch w.random.IntN(3) {
	case 0:
		w.submitJob(id, time.Hour, lastingTasks(count))
	case 1:
		w.submitJob(id, duration, endingTasks(count))
	default:
		w.submitJob(id, duration, endingTasks(count), after(endingTasks(count), 0))
	}
	w.note("%s has %d tasks a step, which take %s", id, count, w.workers.durationOf(id))
}

// nextJob returns the id of the next job.
func (w *ownersWorld) nextJob() string { return fmt.Sprintf("j%d", len(w.jobs)) }

// after returns a step that follows another one of its job.
func after(step batch.Step, before int) batch.Step {
	step.After = []int{before}
	return step
}

// cancelAny cancels a job that is open.
func (w *ownersWorld) cancelAny(string) {
	var open []*worldJob
	for _, j := range w.jobs {
		if w.isOpen(j) {
			open = append(open, j)
		}
	}
	if len(open) > 0 {
		w.cancelJob(open[w.random.IntN(len(open))])
	}
}

// cancelJob cancels a job, unless it is cancelled already.
func (w *ownersWorld) cancelJob(j *worldJob) {
	if !j.cancelled.IsZero() {
		return
	}
	w.note("%s is cancelled", j.id)
	w.store.set(CancelKey(j.id), nil)
	j.cancelled = time.Now()
}

// openTasks returns the number of tasks that may run at the same time.
func (w *ownersWorld) openTasks() int {
	n := 0
	for _, j := range w.jobs {
		if w.isOpen(j) {
			n += j.steps[0].Count
		}
	}
	return n
}

// isOpen reports whether a job is not cancelled, and has tasks that are not done.
func (w *ownersWorld) isOpen(j *worldJob) bool {
	if !j.cancelled.IsZero() {
		return false
	}
	for s := range j.steps {
		if w.workers.stepDoneAt(j, s).IsZero() {
			return true
		}
	}
	return false
}

func (w *fakeWorkers) setDuration(job string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.durations[job] = d
}

// stepDoneAt returns when the last task of a step was done; zero if one is not.
func (w *fakeWorkers) stepDoneAt(j *worldJob, step int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	for i := range j.steps[step].Count {
		at, done := w.firstDone[batch.TaskID{Job: j.id, Step: step, Index: i}]
		if !done {
			return time.Time{}
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}
