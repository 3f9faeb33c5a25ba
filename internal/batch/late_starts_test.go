package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateStartCase is a task whose end a worker reports, and what is known of its start.
type lateStartCase struct {
	name   string
	answer Answer
	// first is set if the answer is known before the end is reported, and listed if a report has listed the run before that.
	first, listed bool
	reason        EndReason
	// kept is whether the end is kept once answer and end are known.
	kept bool
}

// Guards against a task that runs again after its end was acknowledged (TWICE), and against ends that are kept without need.
func TestAnEndIsKeptWhileACopyOfItsStartMayBeCarriedOut(t *testing.T) {
	for _, c := range []lateStartCase{
		{name: "accepted", answer: AnswerOK, first: true, reason: EndDone},
		{name: "accepted after the end", answer: AnswerOK, reason: EndDone},
		{name: "copies without an answer", answer: AnswerNone, first: true, reason: EndDone, kept: true},
		{name: "copies without an answer, listed", answer: AnswerNone, first: true, listed: true, reason: EndDone, kept: true},
		{name: "copies without an answer after the end", answer: AnswerNone, reason: EndDone, kept: true},
		{name: "a copy accepted, others without an answer", answer: AnswerOKRepeated, first: true, reason: EndDone, kept: true},
		{name: "a copy accepted after the end", answer: AnswerOKRepeated, reason: EndDone, kept: true},
		{name: "the only copy, without an answer", answer: AnswerNoneToOne, first: true, reason: EndDone},
		{name: "the only copy, listed before", answer: AnswerNoneToOne, first: true, listed: true, reason: EndDone},
		{name: "the only copy, after the end", answer: AnswerNoneToOne, reason: EndDone},
		{name: "failed", answer: AnswerNone, first: true, reason: EndFailed, kept: true},
		{name: "stopped", answer: AnswerNone, first: true, reason: EndStopped},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			addJob(s, "j", "q", now, taskStep(1, 1000))
			start := startActions(planUntilIdle(s, now))[0]
			s.attemptOn("a", attemptKey{start.Task, start.Run}).startPending = true // no answer yet
			answered := func() {
				s.StartAnswered("a", start.Task, start.Run, c.answer, now)
			}
			if c.listed {
				s.ApplyReport("a", Report{Incarnation: 1, Clock: 50, Running: []RunningAttempt{{Task: start.Task, Run: start.Run}}}, now)
			}
			if c.first {
				answered()
			}
			r := Report{Incarnation: 1, Clock: 60, Ended: []EndedAttempt{{Seq: 1, Task: start.Task, Run: start.Run, Reason: c.reason}}}
			is.Equal(s.ApplyReport("a", r, now), map[bool]int64{true: 1, false: 0}[c.first && !c.kept || c.reason == EndStopped])
			if !c.first {
				answered()
			}
			is.Equal(s.ackSeq(s.workers["a"], r, now) == 0, c.kept)
			is.Equal(s.ackSeq(s.workers["a"], r, now.Add(maxCallDelay+time.Millisecond)), int64(1))
		})
	}
}

// Guards against a full list of ends, which would hide those that follow.
func TestAWorkerKeepsFewEnds(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	start := startActions(planUntilIdle(s, now))[0]
	s.StartAnswered("a", start.Task, start.Run, AnswerNone, now)
	r := Report{Incarnation: 1, Ended: []EndedAttempt{{Seq: 1, Task: start.Task, Run: start.Run, Reason: EndDone}}}
	for seq := int64(2); seq <= maxHeldEnds; seq++ {
		r.Ended = append(r.Ended, EndedAttempt{Seq: seq, Task: TaskID{Job: "other"}, Run: 1, Reason: EndDone})
	}
	is.Equal(s.ackSeq(s.workers["a"], r, now), int64(0))
	r.Ended = append(r.Ended, EndedAttempt{Seq: maxHeldEnds + 1, Task: TaskID{Job: "other"}, Run: 2, Reason: EndDone})
	is.Equal(s.ackSeq(s.workers["a"], r, now), int64(maxHeldEnds+1)) // those after the first are kept for no other one
	r.Ended, r.Incomplete = r.Ended[:2], true
	is.Equal(s.ackSeq(s.workers["a"], r, now), int64(2))
}

// Guards against a task that runs again after its end was acknowledged (TWICE): one run of it ends while another one is being started on
// the worker. The next incarnation of that one forgets the end; an end on another worker stays, so that keeping it would change nothing.
func TestAnEndIsKeptWhileAnotherRunOfItsTaskIsBeingStartedThere(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		is := is.New(t)
		s, now := newTestState("a", "b")
		addJob(s, "j", "q", now, taskStep(1, 1000))
		start := startActions(planUntilIdle(s, now))[0]
		s.attemptOn(start.Worker, attemptKey{start.Task, start.Run}).startPending = true // no answer yet
		reporter, kept := start.Worker, int64(0)
		if elsewhere {
			reporter, kept = map[WorkerID]WorkerID{"a": "b", "b": "a"}[start.Worker], 1
		}
		r := Report{Incarnation: 1, Clock: 60, Ended: []EndedAttempt{{Seq: 1, Task: start.Task, Run: start.Run + 1, Reason: EndDone}}}
		is.Equal(s.ApplyReport(reporter, r, now), kept)
		s.StartAnswered(start.Worker, start.Task, start.Run, AnswerOK, now)
		is.Equal(s.ApplyReport(reporter, r, now), int64(1))
	}
}

// Guards against two runs of a task (TWICE): a restarted worker has reported, but without having seen a token of this owner for its
// present incarnation, and still carries out late what a former owner has sent.
func TestLateRunsAreInDoubtUntilAReportWithTheTokenOfTheIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := New(2, tenSecondLeases)
	s.SetFormerIncarnations(map[WorkerID]FencedIncarnation{"w1": {Number: 7}})
	s.SetUnresolvedWorkers(map[WorkerID]time.Time{"w1": now.Add(10 * time.Second)})
	s.UpdateWorker(WorkerInfo{ID: "w1", Address: "a:1", Incarnation: 8, Capacity: Resources{CPU: 1000, MemoryMB: 1000}}, now)
	is.True(s.IsRestartedInDoubt("w1"))
	is.True(s.DoubtLateRuns("w1", LateRuns{Until: now.Add(20 * time.Second)}))
	for _, unfenced := range []bool{true, false} {
		s.ApplyReport("w1", Report{Incarnation: 8, Clock: 1000, RequestedAt: now, Unfenced: unfenced}, now)
		is.Equal(s.isInDoubt(&step{job: &Job{ID: "j"}}, &task{unresolved: true}), unfenced)
	}
}
