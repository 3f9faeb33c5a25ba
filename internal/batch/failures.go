package batch

import (
	"fmt"
	"time"
)

// An owner learns of the failed runs of a task from the record and from the workers, which keep each end until it is
// acknowledged. The next owner restarts a task that it finds running and that fails then, although workers that it has
// not reached may hold the ends of earlier runs. So the record is kept so close to the truth that it never lacks
// more than maxUnrecordedFailures.

// maxUnrecordedFailures is the largest number of failed runs of a task, or of a gang, that the record may lack when the
// next run is started. With 1, a failure is recorded while the next run goes on, so that few starts wait.
const maxUnrecordedFailures = 1

// retryWait returns why a task may not be started again yet; notHeld if it may be. A task must not be started
// once it has used up its attempts, also if the ends of some runs become known only later.
func (s *State) retryWait(st *step, t *task) waitReason {
	if st.spec.LongRunning {
		return notHeld
	}
	known := st.knownFailures(t)
	unrecorded := known - st.recordedFailures(t)
	if !st.startedByFormerOwner || len(s.unresolvedWorkers) == 0 {
		if unrecorded > maxUnrecordedFailures {
			return heldByFailureRecord
		}
		return notHeld
	}
	// The record of the former owner may lack as many.
	maxAttempts := s.maxAttempts(st.job)
	switch unknown := min(maxUnrecordedFailures, maxAttempts-1); {
	case known+unknown >= maxAttempts:
		return heldByFormerEnds
	case unrecorded > 0:
		return heldByFailureRecord
	default:
		return notHeld
	}
}

// requestFailureRecord makes the next transaction contain the failed runs of a job, unless one that does is on its way.
func (s *State) requestFailureRecord(j *Job) {
	if s.dirty.has(j) {
		s.urgentJobs[j] = true
	}
}

// holdBack notes that a task is held back, and requests the record that it waits for.
func (s *State) holdBack(r taskRef, reason waitReason, now time.Time) {
	if reason == heldByFailureRecord {
		s.requestFailureRecord(r.step.job)
	}
	s.hold(r, reason, now)
}

// holdBackGang notes that a task holds its gang back, and requests the record that it waits for.
func (s *State) holdBackGang(st *step, member int, reason waitReason, now time.Time) {
	if reason == heldByFailureRecord {
		s.requestFailureRecord(st.job)
	}
	s.holdGang(st, member, reason, now)
}

// describeFailures describes for the log what is known of the failed runs of a task; "" if there are none.
func (s *State) describeFailures(st *step, t *task) string {
	known := st.knownFailures(t)
	if known == 0 {
		return ""
	}
	return fmt.Sprintf("%d failed runs are known, %d of them recorded; workers of former owners that have not answered: %d", known, st.recordedFailures(t), len(s.unresolvedWorkers))
}

// knownFailures returns the number of failed runs of a task. The runs of a gang in which any task failed count for
// all its tasks.
func (st *step) knownFailures(t *task) int {
	if !st.spec.Gang {
		return len(t.failed)
	}
	return st.failedGangRuns(func(t *task) int { return len(t.failed) })
}

// recordedFailures returns how many of the knownFailures the store holds.
func (st *step) recordedFailures(t *task) int {
	if !st.spec.Gang {
		return t.recordedFailures
	}
	return st.failedGangRuns(func(t *task) int { return t.recordedFailures })
}

// failedGangRuns counts the runs of a gang in which a task failed: of each task, the first n(t) failures.
func (st *step) failedGangRuns(n func(*task) int) int {
	runs := map[int64]bool{}
	for i := range st.tasks {
		for _, r := range st.tasks[i].failed[:n(&st.tasks[i])] {
			runs[r] = true
		}
	}
	return len(runs)
}

// maxAttempts returns the number of failed runs after which a task of the job is given up.
func (s *State) maxAttempts(j *Job) int { return max(1, s.queueOf(j).MaxAttempts) }
