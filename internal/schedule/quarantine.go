package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// quarantineSuspicion is the suspicion from which a worker receives no work. One job that
	// failed nowhere else adds 1.
	quarantineSuspicion = 2
	// goodRun is how long an attempt has to execute to show that its worker can start tasks.
	goodRun = time.Minute
	// startsTogether is how far apart two starts may be for the good run of one to say
	// something of the other.
	startsTogether = time.Minute
	// minimumQuarantine and maximumQuarantine bound the time until the next probe.
	minimumQuarantine = 30 * time.Second
	maximumQuarantine = 15 * time.Minute
	// parkAfter is the number of healthy workers on which a job has to fail to be parked.
	parkAfter = 3
	// parkTooLarge is the number of attempts that have to run out of a whole worker's memory.
	parkTooLarge = 2
	// firstBackoff and maximumBackoff bound the wait before a failed job is tried again.
	firstBackoff   = 2 * time.Second
	maximumBackoff = time.Minute
	// memoryRetryFactor is the growth of the memory of a job that ran out of it.
	memoryRetryFactor = 1.5
	// jobMemory is how long a job is remembered after its last event.
	jobMemory = time.Hour
	// workerMemory is how long a worker is remembered after its last snapshot.
	workerMemory = time.Hour
)

// workerHealth holds the evidence against a worker.
type workerHealth struct {
	suspicion float64
	// until is the end of the quarantine; a probe may start after it.
	until      time.Time
	quarantine time.Duration
	probing    bool
	// probe is the job that is tried on the worker.
	probe model.JobID
}

// jobState is what the scheduler remembers of a job between attempts.
type jobState struct {
	failedOn []failure
	failures int
	// notBefore is the time before which the job is not tried again.
	notBefore time.Time
	// queuedAt is the end of the last attempt.
	queuedAt    time.Time
	memoryFloor int64
	evictedAt   time.Time
	preemptedAt time.Time
	// tooLarge counts the attempts that ran out of memory with all that a worker can give.
	tooLarge int
	seen     time.Time
}

// failure is a failure of a job that is held against the job.
type failure struct {
	worker model.WorkerID
	// weight is the suspicion that it added to the worker.
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
	j.seen = now
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
		s.keepPeak(a, e)
	case model.AttemptRefused:
		s.blameWorker(w, e, 0.5)
	}
	if w.health.probe == e.ID.Job {
		w.health.probe = ""
	}
	w.refresh(s)
}

// end marks the attempt as ended, and adds it if no snapshot has shown it.
func (w *workerState) end(e AttemptEnd) *resident {
	a := w.find(e.ID)
	if a == nil {
		spec := e.Spec
		a = &resident{id: e.ID, spec: &spec, from: e.At.Add(-e.RunTime), share: 1}
		w.residents = append(w.residents, a)
	}
	a.until = e.At
	return a
}

func (s *Scheduler) succeeded(w *workerState, e AttemptEnd) {
	delete(s.jobs, e.ID.Job)
	w.health = workerHealth{}
	if e.RunTime > 0 && e.ID.Number == 1 {
		s.class(e.Spec.Class).RunTime.add(logSeconds(e.RunTime))
	}
}

// keepPeak makes the next attempt of an evicted job at least as large as it was measured.
func (s *Scheduler) keepPeak(a *resident, e AttemptEnd) {
	if a.samples >= settledSamples {
		j := s.job(e.ID.Job, e.At)
		j.memoryFloor = max(j.memoryFloor, int64(a.peak*ownMargin))
	}
}

// failed attributes a failure to the size of the job, to the worker or to the job.
func (s *Scheduler) failed(w *workerState, a *resident, e AttemptEnd) {
	j := s.job(e.ID.Job, e.At)
	j.failures++
	j.notBefore = e.At.Add(backoff(j.failures))
	if isOutOfMemory(a, e) {
		peak := max(a.peak, float64(a.reservation.MemoryMB))
		j.memoryFloor = max(j.memoryFloor, int64(peak*memoryRetryFactor))
		if s.largest.MemoryMB > 0 && a.reservation.MemoryMB >= s.largest.MemoryMB {
			j.tooLarge++
		}
		s.learnKilled(a)
		return
	}
	if slices.ContainsFunc(j.failedOn, func(f failure) bool { return f.worker == w.id }) {
		return
	}
	weight := 1 / float64(1+len(j.failedOn))
	if w.startedWell(a) {
		weight = 0
	}
	j.failedOn = append(j.failedOn, failure{w.id, weight, e.Error})
	s.blameWorker(w, e, weight)
}

// isOutOfMemory reports whether the attempt was killed for lack of memory. Workers give
// no code for it, so their text and the measured use decide.
func isOutOfMemory(a *resident, e AttemptEnd) bool {
	if strings.Contains(strings.ToLower(e.Error), "out of memory") {
		return true
	}
	return a.samples > 0 && a.reservation.MemoryMB > 0 && a.peak > float64(a.reservation.MemoryMB)
}

// learnKilled lets the class learn from an attempt that ended before it was fully measured.
func (s *Scheduler) learnKilled(a *resident) {
	if a.peak <= a.learnedMemory {
		return
	}
	declared := atLeast(a.spec.Declared, minimumReservation)
	a.learnedMemory = s.class(a.spec.Class).Memory.learn(a.learnedMemory, a.peak, float64(declared.MemoryMB))
}

// startedWell reports whether another attempt that started at about the same time runs well.
func (w *workerState) startedWell(failed *resident) bool {
	for _, a := range w.residents {
		if a == failed {
			continue
		}
		apart := a.from.Sub(failed.from).Abs()
		end := failed.until
		if !a.alive() && a.until.Before(end) {
			end = a.until
		}
		if apart < startsTogether && end.Sub(a.from) >= goodRun {
			return true
		}
	}
	return false
}

// blameWorker adds suspicion, and quarantines the worker if there is enough. The failures on a
// quarantined worker are no longer held against the jobs.
func (s *Scheduler) blameWorker(w *workerState, e AttemptEnd, weight float64) {
	h := &w.health
	h.suspicion += weight
	failedProbe := h.probing && weight > 0
	if h.suspicion < quarantineSuspicion && !failedProbe {
		return
	}
	if h.quarantined(e.At) && !failedProbe {
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

// quarantined reports whether the worker receives no work at all.
func (h *workerHealth) quarantined(now time.Time) bool {
	return h.probing && now.Before(h.until)
}

// mayProbe reports whether the worker, if it is to be probed, can take the job as its probe.
func (h *workerHealth) mayProbe(spec *model.JobSpec) bool {
	return !h.probing || (h.probe == "" && spec.Priority == model.PriorityBatch)
}

// checkProbe ends the probing once the probe has executed for long enough.
func (w *workerState) checkProbe(now time.Time) {
	if w.health.probe == "" {
		return
	}
	for _, a := range w.residents {
		if a.id.Job == w.health.probe && a.alive() && now.Sub(a.from) >= goodRun {
			w.health = workerHealth{}
			return
		}
	}
}

// failedHere reports whether the job has failed on the worker.
func (j *jobState) failedHere(id model.WorkerID) bool {
	return j != nil && slices.ContainsFunc(j.failedOn, func(f failure) bool { return f.worker == id })
}

// park parks the waiting jobs that failed on several workers which run other jobs well. Their
// failures are no longer held against the workers.
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

// parkingReason returns why the job is not worth another attempt, and "" if it is.
func (j *jobState) parkingReason() string {
	switch {
	case j == nil:
		return ""
	case j.tooLarge >= parkTooLarge:
		return "ran out of memory with all the memory of the largest worker"
	case len(j.failedOn) >= parkAfter:
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

// forget drops the jobs and workers that were not heard of for long.
func (s *Scheduler) forget(now time.Time) {
	if now.Sub(s.forgotAt) < jobMemory/10 {
		return
	}
	s.forgotAt = now
	for id, j := range s.jobs {
		if now.Sub(j.seen) > jobMemory {
			delete(s.jobs, id)
		}
	}
	for id, w := range s.workers {
		if now.Sub(w.seenAt) > workerMemory {
			delete(s.workers, id)
		}
	}
}
