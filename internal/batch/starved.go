package batch

import (
	"slices"
	"time"
)

// starvedAfter is how long a best-effort job may have nothing running until one of its tasks goes before all other
// best-effort tasks.
const starvedAfter = time.Second

// maxStarvedRecords is the number of starved steps of a service, the first ones, whose starts are recorded before there is room for
// them. Records of many more would hold up those of other jobs.
const maxStarvedRecords = 8

// trialInterval is the time between the starts of two trials of a service.
const trialInterval = 2 * time.Second

// isStarved reports whether the step is best-effort and its job has had nothing running for starvedAfter.
func (st *step) isStarved(now time.Time) bool {
	return st.spec.BestEffort && !st.spec.Gang && st.job.attempts == 0 &&
		now.Sub(st.ready) >= starvedAfter && now.Sub(st.job.idleSince) >= starvedAfter
}

// placeStarved starts one task for each of the starved steps that a worker may run, where less than half of the CPU of
// their service is reserved. Otherwise a job of many tasks could take all that latency targets leave to best-effort tasks.
// It returns the steps for which no worker was found.
func (s *State) placeStarved(steps []openStepEntry, workers []*worker, now time.Time) unplacedSteps {
	var unplaced unplacedSteps
	littleUsed, starved := map[string]bool{}, map[string]int{}
	for _, entry := range steps {
		st := entry.step
		if s.startsLeft <= 0 || !st.isStarved(now) || s.awaitsConfig(st) {
			continue
		}
		service := s.queueOf(st.job).Service
		if _, known := littleUsed[service]; !known {
			littleUsed[service] = isLittleUsed(service, workers, nil)
		}
		if !littleUsed[service] {
			continue
		}
		if starved[service]++; starved[service] <= maxStarvedRecords && !st.startRecordRequested {
			s.requestStartRecord(st) // room that is found before it is durable goes to other steps
		}
		if !unplaced.covers(st) && !s.placeTasks(st, 1, workers, nil, now) && !s.tryStarved(st, service, workers, now) {
			unplaced.add(st)
		}
	}
	return unplaced
}

// tryStarved starts a task of a step on a worker where it is predicted to disturb tasks with latency targets. The prediction
// may be wrong, and only measurements beside such a task correct it. The task is the only best-effort one there, trials of
// one service follow each other at trialInterval, and the CPU limit that follows each report keeps the targets. It returns
// false if no worker has capacity.
func (s *State) tryStarved(st *step, service string, workers []*worker, now time.Time) bool {
	if now.Sub(s.lastTrials[service]) < trialInterval {
		return false
	}
	s.isTrial = true
	hasRoom := s.placeTasks(st, 1, workers, nil, now)
	s.isTrial = false
	if st.job.attempts > 0 {
		s.lastTrials[service] = now
		s.event(Event{Name: "task.trial", Job: st.job.ID, Detail: "it may disturb tasks with targets, but its job had nothing running"})
	}
	return hasRoom
}

// admitsTrial reports whether a worker may get a best-effort task regardless of predictions: it has no other, and the
// latencies measured there leave a margin to their targets.
func (w *worker) admitsTrial() bool {
	return w.bestEffort == 0 && !slices.ContainsFunc(w.latencyGroups, func(g latencyGroup) bool {
		return g.utilisation == 0 || g.utilisation > raiseUtilisation
	})
}
