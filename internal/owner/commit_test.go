package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// Pattern: jobs change faster than their records can be written. An instruction waits for
// the changes before it only; otherwise no lease would be renewed.
func TestInstructionsAreNotHeldUpByLaterChanges(t *testing.T) {
	is := is.New(t)
	o := New(Options{Instance: "a"}, nil, nil, fakeRegistry{}, testConfig, zerolog.Nop())
	l := newLeader(o, victory{claim: Claim{Epoch: 1}, commitRev: 1}, func(error) {})
	now := time.Unix(1_000_000, 0)
	created := 0
	change := func(jobs int) {
		for range jobs {
			id := fmt.Sprintf("j%d", created)
			created++
			l.state.AddJob(&batch.Job{ID: id, Queue: "q", QueueConfig: batch.Queue{Service: "svc"}, Spec: batch.Spec{Steps: []batch.Step{tasks(1)}}}, nil, false, now)
			l.state.Cancel(id, now)
		}
	}
	change(3 * maxRecords)
	h := &holder{inbox: make(chan instruction, 1)}
	l.whenDurable(instruction{ack: 7}, h)
	for i := range 3 {
		is.Equal(len(h.inbox), 0) // changes before it are not durable yet
		change(2 * maxRecords)
		l.commits.flying = l.nextTxn(now.Add(time.Duration(i) * time.Second))
		l.committed(l.commits.flying, int64(i+2))
	}
	is.Equal((<-h.inbox).ack, int64(7))
	is.True(l.state.DirtyJobs() > maxRecords) // there is always more to write
}
