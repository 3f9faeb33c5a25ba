package batch

import (
	"testing"

	"github.com/matryer/is"
)

// A gang finds no room for a long time. Its job stays queued, takes no run numbers, of which each owner has
// only runsPerEpoch, and the log says once why it waits.
func TestGangWithoutRoomLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	job := addJob(s, "gang", "q", now, Step{Count: 3, Resources: Resources{CPU: 2000, MemoryMB: 100}, Gang: true})
	planUntilIdle(s, now)
	for range runsPerEpoch + 2_000 {
		s.Plan(now)
	}
	is.Equal(job.Status(), Queued)
	is.Equal(s.QueuedJobs("q"), 1)
	is.Equal(s.workers["a"].free().CPU, int64(4000))
	reasons := 0
	for _, e := range s.Events() {
		if e.Name == "step.waits" {
			is.Equal(e.Detail, waitsForRoom)
			reasons++
		}
	}
	is.Equal(reasons, 1)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 3)
	for _, a := range starts {
		is.Equal(a.Run, int64(1))
	}
}

// The end of a long-running task is reported again until it is acknowledged. It counts once against its
// worker, which is not shunned for a single failure.
func TestRepeatedEndOfALongRunningTaskCountsOnce(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
	first := startActions(planUntilIdle(s, now))[0]
	ended := []EndedAttempt{{Seq: 1, Task: first.Task, Run: first.Run, Reason: EndFailed}}
	for clock := range int64(3) {
		reportWithLease(s, "a", Report{Incarnation: 1, Clock: 100 + clock, Ended: ended}, now)
	}
	is.Equal(len(s.workers["a"].failures), 1)
	again := startActions(planUntilIdle(s, now))
	is.Equal(len(again), 1)
	is.True(again[0].Run > first.Run)
}

// A worker leaves the registry while it runs nothing. It is forgotten; one that still runs a task, or that
// is shunned, is not.
func TestIdleWorkersThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("busy", "idle", "shunned")
	addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
	start := startActions(planUntilIdle(s, now))[0]
	is.Equal(start.Worker, WorkerID("busy"))
	s.workers["shunned"].quarantinedUntil = now.Add(quarantineTime)
	for _, id := range []WorkerID{"busy", "idle", "shunned"} {
		s.RemoveWorker(id)
	}
	s.Plan(now.Add(checkInterval))
	is.Equal(len(s.workers), 2)
	is.True(s.workers["idle"] == nil)
	s.Plan(now.Add(quarantineTime + checkInterval))
	is.Equal(len(s.workers), 1)
	is.True(s.workers["busy"] != nil)
}

// A stored record names steps and tasks that the job does not have. They are ignored.
func TestRecordsWithForeignIndexesAreIgnored(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	j := &Job{ID: "j", Queue: "q", Accepted: now, Spec: Spec{Steps: []Step{taskStep(1, 1000)}}}
	s.AddJob(j, &Record{Steps: []StepProgress{
		{Occurrence: -1}, {Occurrence: 7}, {Step: -1}, {Step: 9},
		{Tasks: []TaskProgress{{Index: -1}, {Index: 5}}, Done: []byte{0xf0, 0xff}},
	}}, true, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}
