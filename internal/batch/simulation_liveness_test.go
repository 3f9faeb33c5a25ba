package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	// finishTime is how long after the end of all faults jobs are asked for (finish_s of the users' pages). It is longer
	// than all that an owner has to wait for: the longest lease, and the grace of a former owner on top of it.
	finishTime = 14 * time.Second
	// livenessWait is how long after the end of the lease under which it last ran, or after the last moment at which one of its starts
	// may still have been executed (maxCallDelay after it was sent, if it got no answer), a task may stand still in any case:
	// the owner may have to wait for the end of that lease, and notices that with the next check.
	livenessWait = lastingCalm
	// livenessPatience is how long a task may stand still after that with room for it all the while, and how long a job
	// of which all tasks are known to be done may not be shown as completed.
	livenessPatience = 3 * time.Second
	// maxUseOfService is the share of the capacity of the workers of which less must be in use, as 1/maxUseOfService.
	maxUseOfService = 2
)

// standstill is what is known of a task that neither runs nor can be started by a request on its way.
type standstill struct {
	since time.Time              // when that began, or the task's turn came
	room  map[WorkerID]time.Time // since when a worker has had room for it
}

// checkLiveness checks that all tasks get the room that exists: none whose turn has come stands still for longer than
// a lease, livenessWait and livenessPatience while one worker in order has had room for it lastingRoom times, and less than half
// of the capacity was in use, during all of livenessPatience, and the last fault was finishTime before. Only the pause
// of a long-running task that crashes workers is exempt. The crashes under a deadly task are no fault for the others.
func (w *simulation) checkLiveness(t *rapid.T) {
	w.noteActiveTasks()
	isLittleUsed := w.isLittleUsed()
	var late []string
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if w.hasEnded(id) {
			continue
		}
		known := w.knownDone(w.jobs[id])
		late = append(late, w.checkCompletion(id, known)...)
		w.eachTurn(id, known, func(task TaskID, step *Step) {
			late = append(late, w.checkTurn(task, step, isLittleUsed)...)
		})
	}
	if len(late) > 0 {
		t.Fatal(slices.Min(late))
	}
}

// hasEnded reports whether the job has ended as far as callers and the store know. Whether it may be shown as failed or
// completed is checked elsewhere.
func (w *simulation) hasEnded(job string) bool {
	return w.cancels[job] || w.records[job].Status.Terminal() || w.owner.Job(job).Status().Terminal()
}

// knownDone returns the tasks of the job of which the owner must know that they are done: the record says so, or a
// worker has listed the end to this owner.
func (w *simulation) knownDone(j *Job) map[TaskID]bool {
	known := map[TaskID]bool{}
	for _, p := range w.records[j.ID].Steps {
		for i := range j.Spec.Steps[p.Step].Count {
			if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
				known[TaskID{Job: j.ID, Step: p.Step, Index: i}] = true
			}
		}
	}
	for s, step := range j.Spec.Steps {
		for i := range step.Count {
			if id := (TaskID{Job: j.ID, Step: s, Index: i}); w.listedDone[id] == w.epoch {
				known[id] = true
			}
		}
	}
	return known
}

// eachTurn calls f with each task of a job whose turn has come: it is not known to be done, and all tasks of the steps
// before are.
func (w *simulation) eachTurn(job string, known map[TaskID]bool, f func(TaskID, *Step)) {
	spec := &w.jobs[job].Spec
	isDone := func(s int) bool {
		for i := range spec.Steps[s].Count {
			if !known[TaskID{Job: job, Step: s, Index: i}] {
				return false
			}
		}
		return true
	}
	for s := range spec.Steps {
		step := &spec.Steps[s]
		blocked := slices.ContainsFunc(step.After, func(before int) bool { return !isDone(before) })
		for i := range step.Count {
			id := TaskID{Job: job, Step: s, Index: i}
			switch {
			case known[id] || blocked:
				delete(w.standstills, id)
			case step.LongRunning && w.deadly[id]:
			default:
				f(id, step)
			}
		}
	}
}

// checkTurn checks a task whose turn has come. isLittleUsed says that less than half of the capacity is in use.
func (w *simulation) checkTurn(id TaskID, step *Step, isLittleUsed bool) []string {
	still := w.standstills[id]
	if still == nil {
		still = &standstill{since: w.now, room: map[WorkerID]time.Time{}}
		w.standstills[id] = still
	}
	still.since = LaterOf(still.since, w.activeUntil[id])
	if step.Gang {
		for i := range step.Count {
			still.since = LaterOf(still.since, w.activeUntil[TaskID{Job: id.Job, Step: id.Step, Index: i}])
		}
	}
	earliest := LaterOf(still.since, w.lastOutsideFault.Add(finishTime))
	var rooms []WorkerID
	if isLittleUsed {
		rooms = w.roomsFor(id, step)
	}
	for worker := range still.room {
		if !slices.Contains(rooms, worker) {
			delete(still.room, worker)
		}
	}
	for _, worker := range rooms {
		if _, ok := still.room[worker]; !ok {
			still.room[worker] = w.now
		}
		if w.now.Sub(LaterOf(earliest, still.room[worker])) > livenessPatience {
			return []string{fmt.Sprintf("%v stands still for %s, with room on %s for %s, and no fault for %s: %s",
				id, w.now.Sub(still.since), worker, w.now.Sub(still.room[worker]), w.now.Sub(w.lastOutsideFault), w.describeStandstill(id))}
		}
	}
	return nil
}

// noteActiveTasks notes all tasks that run or are on their way.
func (w *simulation) noteActiveTasks() {
	for _, n := range w.workers {
		for key := range n.running {
			w.noteActiveUntil(key.task, w.now)
		}
		for i, e := range n.ended {
			if i >= simulatedMaxEnds || n.unreadable {
				w.noteActiveUntil(e.Task, w.now) // the owner cannot know yet that it has ended
			}
		}
	}
	for _, r := range w.requests {
		if r.action.Kind == ActionStart {
			w.noteActiveUntil(r.action.Task, w.now)
		}
	}
}

// noteActiveUntil notes that a task runs, or that one of its starts may be executed, until a time.
func (w *simulation) noteActiveUntil(id TaskID, until time.Time) {
	w.activeUntil[id] = LaterOf(w.activeUntil[id], until)
}

// roomsFor returns the workers that have room for a task lastingRoom times.
func (w *simulation) roomsFor(id TaskID, step *Step) []WorkerID {
	var out []WorkerID
	for _, worker := range w.ids() {
		if w.hasRoom(w.workers[worker], id, step) {
			out = append(out, worker)
		}
	}
	if step.Gang && len(out) < step.Count {
		return nil // lastingRoom times the gang would fit on these workers, with a task on each
	}
	return out
}

// isLittleUsed reports whether less than half of the capacity of all workers is in use.
func (w *simulation) isLittleUsed() bool {
	var used, capacity Resources
	for _, n := range w.workers {
		capacity = capacity.Plus(n.info.Capacity)
		for key := range n.running {
			used = used.Plus(w.jobs[key.task.Job].Spec.Steps[key.task.Step].reserved())
		}
	}
	return maxUseOfService*used.CPU < capacity.CPU && maxUseOfService*used.MemoryMB < capacity.MemoryMB
}

// checkCompletion checks that a job of which all tasks are known to be done is soon shown as completed.
func (w *simulation) checkCompletion(job string, known map[TaskID]bool) []string {
	tasks := 0
	for _, step := range w.jobs[job].Spec.Steps {
		tasks += step.Count
	}
	if len(known) < tasks {
		delete(w.allDoneSince, job)
		return nil
	}
	since, ok := w.allDoneSince[job]
	if !ok {
		since = w.now
		w.allDoneSince[job] = since
	}
	if w.now.Sub(LaterOf(since, w.lastOutsideFault.Add(finishTime))) <= livenessPatience {
		return nil
	}
	return []string{fmt.Sprintf("job %s is %s %s after all its tasks were known to be done", job, w.owner.Job(job).Status(), w.now.Sub(since))}
}

// describeStandstill says what the owner knows of a task that stands still.
func (w *simulation) describeStandstill(id TaskID) string {
	st := w.owner.stepOf(id)
	t := &st.tasks[id.Index]
	return fmt.Sprintf("attempts %d, unresolved %t (workers %v), suspicions %d, waits since %q, start record requested %t durable %t, open %t; %s",
		len(t.attempts), t.unresolved, w.owner.unresolvedWorkers, len(t.suspicions), taskRef{st, id.Index}.heldBy(),
		st.startRecordRequested, st.startRecordDurable, st.isOpen, w.owner.describeRoom(st, t, w.now))
}
