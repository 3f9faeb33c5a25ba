package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// newTestLeader returns a leader of the first epoch that does nothing by itself.
func newTestLeader() *leader {
	o := New(Options{Instance: "a", JobRetention: retention}, newMemoryStore(), nil, fakeRegistry{}, testConfig, zerolog.Nop())
	return newLeader(o, heldClaim{claim: Claim{Epoch: 1}, commitRev: 1}, func(error) {})
}

// Guards against tasks that start after their job was cancelled: the owner is told of the cancellation before it knows the job, of
// which its watch or an instance that stood still tells later (the class of review case 9, UNASKED).
func TestAJobThatWasCancelledBeforeItIsKnownDoesNotStart(t *testing.T) {
	const accepted = 5
	item := kv.Item{Key: JobKey("j"), Value: EncodeSubmission(submission()), Rev: accepted}
	for _, c := range []struct {
		name  string
		learn func(l *leader, now time.Time)
	}{
		{"an instance tells of the job", func(l *leader, now time.Time) { l.addNotified("j", accepted, submission(), now) }},
		{"the watch tells of the job", func(l *leader, now time.Time) { l.changeSubmissions([]kv.Item{item}, accepted, now) }},
		{"a listing shows the job", func(l *leader, now time.Time) { l.resetSubmissions([]kv.Item{item}, accepted, now) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, now := newTestLeader(), time.Now()
			l.cancelNotified("j", accepted, now)
			c.learn(l, now)
			is.Equal(l.state.Job("j").Status(), batch.Cancelled)
		})
	}
}

// Guards against cancellations that are remembered for ever, or that cancel a later job of the same id.
func TestACancellationBeforeItsJobIsDroppedOnceTheJobIsKnown(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeader(), time.Now()
	l.cancelNotified("j", 5, now)
	l.addNotified("j", 8, submission(), now) // another job of the id
	is.Equal(l.state.Job("j").Status(), batch.Queued)
	l.cancelNotified("j", 5, now)
	is.Equal(l.state.Job("j").Status(), batch.Queued)
	l.changeSubmissions(nil, 5, now)
	is.Equal(len(l.earlyCancellations), 0)
	l.cancelNotified("forgotten", 4, now) // the watch has told of it before
	is.Equal(len(l.earlyCancellations), 0)
}
