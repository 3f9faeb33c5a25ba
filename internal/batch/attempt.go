package batch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/workerspeed"
)

// attempt is one start of a task on a worker that is not known to have ended.
type attempt struct {
	step        *step
	index       int
	run         int64
	worker      *worker
	reserved    Resources
	requestedAt time.Time // when this owner decided the start or adopted the attempt
	// notAfter is the time on the worker's clock after which the worker refuses the start; 0 if the
	// attempt was adopted from a report.
	notAfter int64
	// startPending is set until the outcome of the call that requests the start is known, or is known to
	// stay unknown. Such a call may still reach the worker, also one that has been restarted meanwhile.
	startPending bool
	acceptedAt   time.Time // when an answer that accepts the start arrived
	unansweredAt time.Time // when the wait for an answer to the start, or to a copy of it, ended without one
	listedSince  time.Time // when a report first listed the attempt
	listedClock  int64     // Report.Clock of that report
	// suspicions is the number of suspicions that its task had when it was started; 0 if it is not suspected any more.
	suspicions int
	// unsent is set while the start waits for a record of the suspicion recorded, and startRecorded once the
	// store holds that.
	unsent        bool
	startRecorded bool
	recorded      Suspicion
	// listed is set once a report of the worker's present incarnation has listed the attempt.
	listed   bool
	ended    bool // the worker has reported its end
	stopping bool
	stopSent time.Time
	// stopAnsweredAt is when the worker's present incarnation has answered the stop.
	stopAnsweredAt time.Time
	// restartedAt is when the worker was seen to have been restarted after the start was decided. It is not
	// known which of the two incarnations the start has reached.
	restartedAt time.Time
	// absentIn is the last incarnation of the worker that has not started the attempt although all copies of its start had
	// been sent: a complete report lacked it.
	absentIn int64
	// missingSince is since when the reports that may lack attempts do not list it; zero if the last one did.
	missingSince time.Time
	percent      int
	// firstPercent is percent when the attempt was first listed.
	firstPercent int
	// progressAt is when percent last rose, the attempt was first listed or its CPU limit was set.
	progressAt time.Time
	// progress is the recent progress of an attempt that ends by itself, while its CPU is not limited.
	progress workerspeed.Progress
	// lastMeasurement is RunningAttempt.Measurement of the last report.
	lastMeasurement int64
	// cpuLimit is the part of its CPU that a best-effort attempt may use, in percent.
	cpuLimit   int
	cpuLimitAt time.Time // when cpuLimit last changed
	// previousCPULimit is the limit before the last change.
	previousCPULimit int
	// throttleUnconfirmed is set if the worker may not have applied cpuLimit.
	throttleUnconfirmed bool
	throttleSent        time.Time // when cpuLimit was last sent
	throttlePending     bool      // that request has no outcome yet
	lateThrottles       []lateThrottle
}

func (a *attempt) id() TaskID {
	return TaskID{Job: a.step.job.ID, Occurrence: a.step.occ.number, Step: a.step.number, Index: a.index}
}

func (a *attempt) ref() taskRef { return taskRef{a.step, a.index} }

func (a *attempt) task() *task { return &a.step.tasks[a.index] }

// sortedAttempts returns attempts in the order of their tasks, so that decisions are reproducible.
func sortedAttempts(attempts iter.Seq[*attempt]) []*attempt {
	return slices.SortedFunc(attempts, (*attempt).compare)
}

// compare orders attempts by their tasks and runs.
func (a *attempt) compare(b *attempt) int {
	return cmp.Or(
		cmp.Compare(a.step.job.ID, b.step.job.ID),
		cmp.Compare(a.step.occ.number, b.step.occ.number),
		cmp.Compare(a.step.number, b.step.number),
		cmp.Compare(a.index, b.index),
		cmp.Compare(a.run, b.run),
	)
}

// attemptKey identifies an attempt on a worker.
type attemptKey struct {
	task TaskID
	run  int64
}
