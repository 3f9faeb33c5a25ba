package batch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a start that waits for ever for a record of its own: the request for the record was dropped. Each
// transaction holds few records, and jobs change while it is on its way.
func TestNoRequestForARecordIsDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newTestState("a", "b")
		var inFlight map[string]Record
		jobs := 0
		commit := func(t *rapid.T) {
			s.MarkStored(inFlight)
			inFlight = s.TakeDirty(rapid.IntRange(1, 3).Draw(t, "records"))
		}
		plan := func() {
			now = now.Add(50 * time.Millisecond)
			for _, a := range startActions(s.Plan(now)) {
				s.StartSent(a.Worker, a.Task, a.Run, 1<<40)
				s.StartAnswered(a.Worker, a.Task, a.Run, AnswerOK, now)
			}
		}
		endAll := func(t *rapid.T, reason EndReason) {
			for _, id := range []WorkerID{"a", "b"} {
				w := s.workers[id]
				r := Report{Incarnation: 1, Clock: now.UnixMilli()}
				for _, a := range sortedAttempts(maps.Values(w.attempts)) {
					if !a.unsent {
						r.Ended = append(r.Ended, EndedAttempt{Seq: w.countedSeq + int64(len(r.Ended)) + 1, Task: a.id(), Run: a.run, Reason: reason})
					}
				}
				reportWithLease(s, id, r, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				if jobs < 8 {
					steps := []Step{taskStep(rapid.IntRange(1, 3).Draw(t, "count"), 500), taskStep(1, 500)}
					steps[0].Gang, steps[1].After = rapid.Bool().Draw(t, "gang"), []int{0}
					addJob(s, fmt.Sprint("j", jobs), "q", now, steps...)
					jobs++
				}
			},
			"plan":   func(*rapid.T) { plan() },
			"commit": commit, "commit2": commit,
			"fail":    func(t *rapid.T) { endAll(t, EndFailed) },
			"stopped": func(t *rapid.T) { endAll(t, EndStopped) },
			"done":    func(t *rapid.T) { endAll(t, EndDone) },
			"suspect": func(t *rapid.T) {
				for _, w := range s.workers {
					s.suspectAttempts(w)
				}
			},
			"take over": func(t *rapid.T) {
				inFlight = nil
				next := takeOver(s, now, "a", "b")
				for _, id := range []WorkerID{"a", "b"} {
					next.ApplyReport(id, Report{Incarnation: 1, Clock: now.UnixMilli()}, now)
					next.LeaseRenewed(id, now.Add(time.Hour), true)
				}
				s = next
			},
		})
		for range 8 * 40 {
			now = now.Add(250 * time.Millisecond)
			commit(t)
			plan()
			endAll(t, EndDone)
		}
		for id, j := range s.jobs {
			if !j.outcome.Terminal() {
				t.Fatalf("job %s is %s", id, j.outcome)
			}
		}
	})
}
