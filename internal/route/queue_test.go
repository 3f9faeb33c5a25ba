package route

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// TestQueueAgainstSortedList compares the queue with a list that is sorted after each push.
func TestQueueAgainstSortedList(t *testing.T) {
	base := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		var sorted []*waiter
		sequence := uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"push", "push", "pop", "remove", "ahead"}).Draw(t, "step") {
			case "push":
				w := &waiter{deadline: base.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline"))), sequence: sequence, index: -1}
				sequence++
				q.push(w)
				sorted = append(sorted, w)
				slices.SortStableFunc(sorted, func(a, b *waiter) int { return a.deadline.Compare(b.deadline) })
			case "pop":
				var want *waiter
				if len(sorted) > 0 {
					want, sorted = sorted[0], sorted[1:]
				}
				if got := q.pop(); got != want {
					t.Fatalf("popped %v, want %v", got, want)
				}
			case "remove":
				if len(sorted) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(sorted)-1).Draw(t, "removed")
				if !q.remove(sorted[i]) || q.remove(sorted[i]) {
					t.Fatalf("remove did not report true and then false")
				}
				sorted = slices.Delete(sorted, i, i+1)
			case "ahead":
				deadline := base.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")))
				want := 0
				for _, w := range sorted {
					if !w.deadline.After(deadline) {
						want++
					}
				}
				if got := q.countAhead(deadline); got != want {
					t.Fatalf("%d ahead, want %d", got, want)
				}
			}
			if q.len() != len(sorted) {
				t.Fatalf("length %d, want %d", q.len(), len(sorted))
			}
		}
	})
}

// newTestPool returns a pool with one target.
func newTestPool(slots int, latency time.Duration) *pool {
	p := newPool(platform.SystemClock{})
	p.setTargets([]targetShare{{target: model.Target{ID: "runner-1"}, slots: slots}})
	if latency > 0 {
		p.latency.add(latency)
	}
	return p
}

func TestSlotsGoToTheEarliestDeadline(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(1, 0)
		held, err := p.acquire(context.Background(), time.Now().Add(time.Minute), nil)
		is.True(err == nil)
		seconds := []int{40, 10, 30, 10, 50, 20}
		var served []int
		for _, s := range seconds {
			go func() {
				t, err := p.acquire(context.Background(), time.Now().Add(time.Duration(s)*time.Second), nil)
				if err != nil {
					return
				}
				served = append(served, s)
				p.release(t, outcome{})
			}()
		}
		synctest.Wait()
		p.release(held, outcome{})
		synctest.Wait()
		slices.Sort(seconds)
		is.Equal(served, seconds)
	})
}

func TestDeadlinesThatCannotBeMetAreRefusedEarly(t *testing.T) {
	cases := []struct {
		name     string
		waiting  int
		deadline time.Duration
		refused  bool
		after    time.Duration
	}{
		{"a request that can be executed in time is admitted", 0, 3 * time.Second, false, 0},
		{"a request whose expected wait leaves no time to execute is refused at once", 2, 3500 * time.Millisecond, true, 0},
		{"a queued request is refused when the time left is one median execution", 1, 10 * time.Second, true, 9 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				p := newTestPool(1, time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				held, err := p.acquire(ctx, time.Now().Add(time.Hour), nil)
				is.True(err == nil)
				for range c.waiting {
					go func() { _, _ = p.acquire(ctx, time.Now().Add(time.Second*3), nil) }()
				}
				synctest.Wait()
				if !c.refused {
					time.AfterFunc(time.Second, func() { p.release(held, outcome{}) })
				}
				started := time.Now()
				got, err := p.acquire(ctx, started.Add(c.deadline), nil)
				is.Equal(err != nil, c.refused)
				is.Equal(got == nil, c.refused)
				if c.refused {
					is.Equal(err.Verdict, verdict.NotRun)
					is.Equal(err.Reason, verdict.ReasonDeadline)
					is.Equal(time.Since(started), c.after)
				}
				cancel()
			})
		})
	}
}

// TestWrongEstimateIsCorrected checks that a latency estimate that is far too high does not refuse
// requests permanently and is corrected by later responses.
func TestWrongEstimateIsCorrected(t *testing.T) {
	is := is.New(t)
	p := newTestPool(1, time.Hour)
	for range 500 {
		got, err := p.acquire(context.Background(), time.Now().Add(time.Second), nil)
		is.True(err == nil) // a free slot is granted whatever the estimate
		p.release(got, outcome{answered: true, took: time.Millisecond})
	}
	is.True(p.latency.mean < time.Second)
	is.True(p.latency.median < time.Second)
}

// TestTargetWithoutAnswersIsAvoided checks that a target that accepts requests and never
// responds is avoided, and that a deadline shorter than the usual latency does not count as a failure
// of its target.
func TestTargetWithoutAnswersIsAvoided(t *testing.T) {
	cases := []struct {
		name    string
		took    time.Duration
		avoided bool
	}{
		{"there is no response for much longer than the usual latency", time.Second, true},
		{"the deadline was shorter than the usual latency", time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool(platform.SystemClock{})
				p.setTargets([]targetShare{
					{target: model.Target{ID: "silent"}, slots: 8},
					{target: model.Target{ID: "good"}, slots: 8},
				})
				p.latency.add(10 * time.Millisecond)
				silent := p.targets[0]
				silent.inFlight++
				p.release(silent, outcomeOf(verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, ""), c.took))
				chosen := 0
				for range 100 {
					got, err := p.acquire(context.Background(), time.Now().Add(time.Minute), nil)
					is.True(err == nil)
					if got == silent {
						chosen++
					}
					p.release(got, outcome{})
				}
				is.Equal(chosen == 0, c.avoided)
				time.Sleep(minEjection)
				is.True(p.pickTarget(nil) != nil)
				is.Equal(p.isEjected(silent), false) // it receives requests again
			})
		})
	}
}

// isEjected reports whether other targets are preferred to this one.
func (p *pool) isEjected(t *target) bool { return p.clock.Now().Before(t.ejectedUntil) }

func TestFullQueueIsRefused(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(1, 0)
		ctx, cancel := context.WithCancel(context.Background())
		for range MaxQueuedPerService + 1 {
			go func() { _, _ = p.acquire(ctx, time.Now().Add(time.Minute), nil) }()
		}
		synctest.Wait()
		_, err := p.acquire(ctx, time.Now().Add(time.Minute), nil)
		is.Equal(err.Verdict, verdict.NotRun)
		is.Equal(err.Reason, verdict.ReasonOverload)
		cancel()
	})
}

// TestSlotSharesAddUp checks that the shares of all instances add up to inFlightPerSlot for each slot,
// limited to the connections that the target accepts.
func TestSlotSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "instances")
		var instances []model.InstanceID
		for i := range n {
			instances = append(instances, model.InstanceID(rune('a'+i)))
		}
		target := model.Target{
			ID:          model.TargetID(rapid.String().Draw(t, "target")),
			Slots:       rapid.IntRange(0, 64).Draw(t, "slots"),
			Connections: rapid.IntRange(0, 64).Draw(t, "connections"),
		}
		want := target.Slots * inFlightPerSlot
		if target.Connections > 0 {
			want = min(want, target.Connections)
		}
		sum := 0
		for _, instance := range instances {
			sum += slotShare(target, instance, instances)
		}
		if sum != want {
			t.Fatalf("shares add up to %d, want %d", sum, want)
		}
	})
}
