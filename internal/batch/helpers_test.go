package batch

import (
	"time"
)

var testLimits = Timing{StopRetryDelay: 800 * time.Millisecond, LeaseTTL: 6100 * time.Millisecond, StartLeaseTTL: 1600 * time.Millisecond}

// addWorker registers a worker that may get tasks.
func addWorker(s *State, id WorkerID, capacity Resources, now time.Time) {
	s.UpdateWorker(WorkerInfo{ID: id, Incarnation: 1, Service: "svc", Address: string(id), DataCentre: "a", Labels: []string{"x", "r1"}, Capacity: capacity}, now)
	s.MarkRecorded(id)
	s.ApplyReport(id, Report{Incarnation: 1, Clock: 1}, now)
	s.LeaseRenewed(id, now, true)
}

// addJob adds a newly accepted job with the steps.
func addJob(s *State, id, queue string, now time.Time, steps ...Step) *Job {
	j := &Job{ID: id, Queue: queue, QueueConfig: Queue{Service: "svc", MaxAttempts: 3}, Accepted: now, Spec: Spec{Payload: "p", Steps: steps}}
	s.AddJob(j, nil, false, now)
	return j
}

// keepOwnership extends the ownership beyond the end of any test.
func keepOwnership(s *State) *State {
	s.ExtendOwnership(time.Unix(1<<40, 0))
	return s
}

// planUntilIdle calls Plan, accepts all starts and stores all records until nothing more follows. It
// returns all actions.
func planUntilIdle(s *State, now time.Time) []Action {
	return planAll(s, now, func(a Action) {
		s.StartSent(a.Worker, a.Task, a.Run, 1000)
		s.StartAnswered(a.Worker, a.Task, a.Run, AnswerOK, now)
	})
}

// planAll calls Plan, passes each start to send and stores all records until nothing more follows. It returns all actions.
func planAll(s *State, now time.Time, send func(start Action)) []Action {
	var all []Action
	for {
		actions := s.Plan(now)
		for _, a := range startActions(actions) {
			send(a)
		}
		all = append(all, actions...)
		dirty := s.DirtyJobs()
		s.MarkStored(s.TakeDirty(1 << 20))
		if len(actions) == 0 && dirty == 0 {
			return all
		}
	}
}

// reportWithLease applies a report that answers the renewal of the worker's lease. Unless the report says
// otherwise, it was requested after all answers so far.
func reportWithLease(s *State, id WorkerID, r Report, now time.Time) int64 {
	if r.RequestedAt.IsZero() {
		r.RequestedAt = now.Add(time.Nanosecond)
	}
	s.LeaseRenewed(id, time.Time{}, true)
	return s.ApplyReport(id, r, now)
}
