package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// quarantineSuspicion is the suspicion from which on a worker is quarantined. A failure of a
	// job that failed on no other worker adds 1.
	quarantineSuspicion = 2
	// healthyRunTime is how long an attempt has to execute to show that its worker can run tasks.
	healthyRunTime = time.Minute
	// concurrentStartWindow is the time between two starts on a worker up to which a healthy run
	// of one clears the worker of the failure of the other.
	concurrentStartWindow = time.Minute
	// minimumQuarantine and maximumQuarantine bound the time until the next probe of a quarantined
	// worker.
	minimumQuarantine = 30 * time.Second
	maximumQuarantine = 15 * time.Minute
	// parkAfterWorkers is the number of healthy workers on which a job has to fail before it is
	// parked.
	parkAfterWorkers = 3
	// parkAfterOutOfMemory is the number of attempts that have to run out of memory with all
	// memory of the largest worker before the job is parked.
	parkAfterOutOfMemory = 2
	// firstBackoff and maximumBackoff bound the wait before a failed job is tried again.
	firstBackoff   = 2 * time.Second
	maximumBackoff = time.Minute
	// memoryRetryFactor is the factor by which the memory of a job grows after it ran out of
	// memory.
	memoryRetryFactor = 1.5
	// jobRetention is how long the state of a job is kept after its last event.
	jobRetention = time.Hour
	// workerRetention is how long the state of a worker is kept after the last snapshot that
	// contained it.
	workerRetention = time.Hour
)

// workerHealth holds the suspicion against a worker and its quarantine.
type workerHealth struct {
	suspicion float64
	// until is the end of the quarantine. A probe may start after it.
	until time.Time
	// quarantine is the length of the last quarantine, which doubles with each further one.
	quarantine time.Duration
	// probing says that the worker is quarantined: it receives no work before until, and then one
	// probe at a time until a probe proves it healthy.
	probing bool
	// probe is the job that is running on the worker as a probe, if any.
	probe model.JobID
}

// jobState is what the scheduler keeps about a job between its attempts.
type jobState struct {
	failedOn []failure
	failures int
	// notBefore is the time before which the job is not started again.
	notBefore time.Time
	// queuedAt is the end of the last attempt.
	queuedAt time.Time
	// minimumMemory is the least memory in MB that is reserved for the next attempt.
	minimumMemory int64
	evictedAt     time.Time
	preemptedAt   time.Time
	// tooLarge counts the attempts that ran out of memory although they had all memory of the
	// largest worker.
	tooLarge  int
	lastEvent time.Time
}

// failure is a failed attempt that counts towards parking the job.
type failure struct {
	worker model.WorkerID
	// weight is the suspicion that the failure added to the worker.
	weight float64
	reason string
}

// job returns the state of the job, and creates it if needed.
func (s *Scheduler) job(id model.JobID, now time.Time) *jobState {
	j := s.jobs[id]
	if j == nil {
		j = &jobState{}
		s.jobs[id] = j
	}
	j.lastEvent = now
	return j
}

// Ended implements Policy.
func (s *Scheduler) Ended(e AttemptEnd) {
	w := s.worker(e.Worker)
	a := w.end(e)
	s.job(e.ID.Job, e.At).queuedAt = e.At
	switch e.State {
	case model.AttemptSucceeded:
		s.succeeded(w, e)
	case model.AttemptFailed:
		s.failed(w, a, e)
	case model.AttemptCheckpointed, model.AttemptStopped:
		s.recordPeak(a, e)
	case model.AttemptRefused:
		s.suspectWorker(w, e, 0.5)
	}
	if w.health.probe == e.ID.Job {
		w.health.probe = ""
	}
	w.refresh(s)
}

// end marks the attempt as ended. It adds the attempt if no snapshot has contained it.
func (w *workerState) end(e AttemptEnd) *trackedAttempt {
	a := w.find(e.ID)
	if a == nil {
		spec := e.Spec
		a = &trackedAttempt{id: e.ID, spec: &spec, started: e.At.Add(-e.RunTime), share: 1}
		w.attempts = append(w.attempts, a)
	}
	a.ended = e.At
	return a
}

func (s *Scheduler) succeeded(w *workerState, e AttemptEnd) {
	delete(s.jobs, e.ID.Job)
	w.health = workerHealth{}
	if e.RunTime > 0 && e.ID.Number == 1 {
		s.class(e.Spec.Class).RunTime.add(logSeconds(e.RunTime))
	}
}

// recordPeak makes the memory reserved for the next attempt of an evicted job at least its
// measured peak plus a margin.
func (s *Scheduler) recordPeak(a *trackedAttempt, e AttemptEnd) {
	if a.samples >= minimumSamples {
		j := s.job(e.ID.Job, e.At)
		j.minimumMemory = max(j.minimumMemory, int64(a.peak*measuredPeakMargin))
	}
}

// failed attributes a failure to too little memory, to the worker or to the job.
func (s *Scheduler) failed(w *workerState, a *trackedAttempt, e AttemptEnd) {
	j := s.job(e.ID.Job, e.At)
	j.failures++
	j.notBefore = e.At.Add(backoff(j.failures))
	if isOutOfMemory(a, e) {
		peak := max(a.peak, float64(a.reservation.MemoryMB))
		j.minimumMemory = max(j.minimumMemory, int64(peak*memoryRetryFactor))
		if s.largest.MemoryMB > 0 && a.reservation.MemoryMB >= s.largest.MemoryMB {
			j.tooLarge++
		}
		s.learnPeak(a)
		return
	}
	if slices.ContainsFunc(j.failedOn, func(f failure) bool { return f.worker == w.id }) {
		return
	}
	weight := 1 / float64(1+len(j.failedOn))
	if w.hasHealthyPeer(a) {
		weight = 0
	}
	j.failedOn = append(j.failedOn, failure{w.id, weight, e.Error})
	s.suspectWorker(w, e, weight)
}

// isOutOfMemory reports whether the attempt was killed for lack of memory. Workers report no code
// for that case, so it is detected from the error text and the measured use.
func isOutOfMemory(a *trackedAttempt, e AttemptEnd) bool {
	if strings.Contains(strings.ToLower(e.Error), "out of memory") {
		return true
	}
	return a.samples > 0 && a.reservation.MemoryMB > 0 && a.peak > float64(a.reservation.MemoryMB)
}

// learnPeak updates the memory estimate of the class from an attempt that was killed before it had
// enough samples.
func (s *Scheduler) learnPeak(a *trackedAttempt) {
	if a.peak <= a.learnedMemory {
		return
	}
	declared := atLeast(a.spec.Declared, minimumReservation)
	a.learnedMemory = s.class(a.spec.Class).Memory.learn(a.learnedMemory, a.peak, float64(declared.MemoryMB))
}

// hasHealthyPeer reports whether another attempt that started on the worker at about the same time
// has executed for at least healthyRunTime.
func (w *workerState) hasHealthyPeer(failed *trackedAttempt) bool {
	for _, a := range w.attempts {
		if a == failed {
			continue
		}
		apart := a.started.Sub(failed.started).Abs()
		end := failed.ended
		if !a.alive() && a.ended.Before(end) {
			end = a.ended
		}
		if apart < concurrentStartWindow && end.Sub(a.started) >= healthyRunTime {
			return true
		}
	}
	return false
}

// suspectWorker adds suspicion to the worker, and quarantines it if there is enough suspicion or a
// probe failed. Failures on a quarantined worker no longer count against the jobs.
func (s *Scheduler) suspectWorker(w *workerState, e AttemptEnd, weight float64) {
	h := &w.health
	h.suspicion += weight
	failedProbe := h.probing && weight > 0
	if h.suspicion < quarantineSuspicion && !failedProbe {
		return
	}
	if h.blocked(e.At) && !failedProbe {
		return
	}
	h.quarantine = min(maximumQuarantine, max(minimumQuarantine, 2*h.quarantine))
	h.until = e.At.Add(h.quarantine)
	h.probing = true
	h.probe = ""
	for _, j := range s.jobs {
		j.failedOn = slices.DeleteFunc(j.failedOn, func(f failure) bool { return f.worker == w.id })
	}
}

// blocked reports whether the worker is quarantined and receives no work at all, not even a probe.
func (h *workerHealth) blocked(now time.Time) bool {
	return h.probing && now.Before(h.until)
}

// mayProbe reports whether the job may start on the worker as far as its health is concerned. A
// worker that is being probed takes one batch job at a time.
func (h *workerHealth) mayProbe(spec *model.JobSpec) bool {
	return !h.probing || (h.probe == "" && spec.Priority == model.PriorityBatch)
}

// checkProbe ends the quarantine once the probe has executed for healthyRunTime.
func (w *workerState) checkProbe(now time.Time) {
	if w.health.probe == "" {
		return
	}
	for _, a := range w.attempts {
		if a.id.Job == w.health.probe && a.alive() && now.Sub(a.started) >= healthyRunTime {
			w.health = workerHealth{}
			return
		}
	}
}

// failedOnWorker reports whether the job has failed on the worker.
func (j *jobState) failedOnWorker(id model.WorkerID) bool {
	return j != nil && slices.ContainsFunc(j.failedOn, func(f failure) bool { return f.worker == id })
}

// park parks the waiting jobs that have failed on several healthy workers or that are too large
// for any worker. Their failures no longer count against the workers.
func (r *round) park(plan *Plan) {
	for i := range r.snapshot.Queue {
		id := r.snapshot.Queue[i].Spec.ID
		j := r.scheduler.jobs[id]
		reason := j.parkingReason()
		if reason == "" {
			continue
		}
		for _, f := range j.failedOn {
			h := &r.scheduler.worker(f.worker).health
			h.suspicion = max(0, h.suspicion-f.weight)
		}
		plan.Parked = append(plan.Parked, ParkedJob{Job: id, Reason: reason})
		delete(r.scheduler.jobs, id)
		r.parked[id] = true
	}
}

// parkingReason returns why the job is to be parked, and "" if it is to be tried again.
func (j *jobState) parkingReason() string {
	switch {
	case j == nil:
		return ""
	case j.tooLarge >= parkAfterOutOfMemory:
		return "ran out of memory with all the memory of the largest worker"
	case len(j.failedOn) >= parkAfterWorkers:
		last := j.failedOn[len(j.failedOn)-1]
		return fmt.Sprintf("failed on %d healthy workers, last on %s: %s", len(j.failedOn), last.worker, last.reason)
	}
	return ""
}

func backoff(failures int) time.Duration {
	wait := firstBackoff
	for i := 1; i < failures && wait < maximumBackoff; i++ {
		wait *= 2
	}
	return min(wait, maximumBackoff)
}

// dropStale removes the state of jobs and workers that is older than its retention time.
func (s *Scheduler) dropStale(now time.Time) {
	if now.Sub(s.staleDroppedAt) < jobRetention/10 {
		return
	}
	s.staleDroppedAt = now
	for id, j := range s.jobs {
		if now.Sub(j.lastEvent) > jobRetention {
			delete(s.jobs, id)
		}
	}
	for id, w := range s.workers {
		if now.Sub(w.seenAt) > workerRetention {
			delete(s.workers, id)
		}
	}
}
