package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// readOnlyStore is the store as seen by an instance whose transactions can be kept from it.
type readOnlyStore struct {
	*memoryStore
	readOnly atomic.Bool
}

// Commit fails without effect while the store is read-only for the instance.
func (s *readOnlyStore) Commit(ctx context.Context, t kv.Txn) (int64, error) {
	if s.readOnly.Load() {
		return 0, kv.ErrUnavailable
	}
	return s.memoryStore.Commit(ctx, t)
}

// Guards against a long-running task that stays down after two take-overs in a row: the end of the first owner's process
// is told to the second owner only, and lost with it if that owner's transactions do not reach the store any more. The
// third owner then allows for all that the claim of the first one permits, on workers, too, that the second has reached.
func TestTheThirdOwnerDoesNotWaitForTheFirstOneAnew(t *testing.T) {
	for _, readOnly := range []bool{false, true} {
		for _, led := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("store read-only %t, told %s before", readOnly, led), func(t *testing.T) {
				testThirdOwner(t, readOnly, led)
			})
		}
	}
}

// testThirdOwner ends the first owner, whose instance is back at once and tells the second owner so. Some time later it
// ends the second owner in the same way and loses the worker of a task, and checks when the third owner starts the task
// again. readOnly says that no transaction of the second owner reaches the store after it has been told.
func testThirdOwner(t *testing.T, readOnly bool, led time.Duration) {
	withHarness(t, func(h *harness) {
		storeOfB := &readOnlyStore{memoryStore: h.store}
		task := h.startTaskAndEndOwner(storeOfB)
		h.sleep(500 * time.Millisecond)
		h.is.Equal(h.leader(), "b")
		h.startInstance("c")

		storeOfB.readOnly.Store(readOnly)
		h.startInstance("a")
		h.sleep(led)
		h.is.Equal(h.log.count("owner.end-reported", `"former-epoch":1`), 1)
		lost := h.workerOf(task)
		h.endOwner("b", "c")
		h.leave(lost)
		h.sleep(500 * time.Millisecond)
		h.is.True(h.leader() != "")
		back := time.Now()
		h.startInstance("b")
		h.requireRestartAfter(task, back)
	}, "w1", "w2", "w3")
}

// Guards against the same after a second owner that has ended before the instance of the first one is back: that instance
// then tells nobody.
func TestTheThirdOwnerIsToldOfTheEndOfTheFirstOne(t *testing.T) {
	withHarness(t, func(h *harness) {
		task := h.startTaskAndEndOwner(h.store)
		h.sleep(300 * time.Millisecond)
		h.is.Equal(h.leader(), "b")
		h.startInstance("c")
		h.sleep(100 * time.Millisecond)
		lost := h.workerOf(task)
		h.endOwner("b", "c")
		h.leave(lost)
		h.sleep(300 * time.Millisecond)
		h.is.Equal(h.leader(), "c")
		back := time.Now()
		h.startInstance("a")
		h.startInstance("b")
		h.requireRestartAfter(task, back)
	}, "w1", "w2", "w3")
}

// Guards against the same when the instance that told the second owner is gone again: the second one, which was told,
// has ended, too, but its instance still knows.
func TestTheSecondOwnerTellsTheThirdOfTheEndOfTheFirstOne(t *testing.T) {
	withHarness(t, func(h *harness) {
		storeOfB := &readOnlyStore{memoryStore: h.store}
		task := h.startTaskAndEndOwner(storeOfB)
		h.sleep(500 * time.Millisecond)
		h.startInstance("c")
		storeOfB.readOnly.Store(true)
		h.startInstance("a")
		back := time.Now()
		h.sleep(time.Second)
		h.is.Equal(h.log.count("owner.end-reported", `"former-epoch":1`), 1)
		lost := h.workerOf(task)
		h.kill("a")
		h.store.mu.Lock()
		h.store.remove(claimKey)
		h.store.mu.Unlock()
		h.leave(lost)
		h.sleep(time.Second)
		h.is.Equal(h.leader(), "c")
		h.is.True(time.Since(back) < 3*time.Second)
		h.requireRestartAfter(task, time.Now())
	}, "w1", "w2", "w3")
}

// Guards against the same when the first owner lives on: it lost its claim as its store stood still, and the second one ended
// before the first knew of that and could tell it.
func TestAnOwnerThatLostItsClaimTellsTheThirdOne(t *testing.T) {
	for _, led := range []time.Duration{300 * time.Millisecond, 1300 * time.Millisecond} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprintf("the second led for %s, worker lost before %t", led, early), func(t *testing.T) {
				testClaimLostThenOwnerEnded(t, led, early)
			})
		}
	}
}

// testClaimLostThenOwnerEnded cuts the first owner off from the store until the second one, which leads in between, has
// ended. The worker of a task is lost as the second owner ends, or early, as the first one is cut off. It checks when the
// third owner starts the task again.
func testClaimLostThenOwnerEnded(t *testing.T, led time.Duration, early bool) {
	withHarness(t, func(h *harness) {
		h.workers.taskDuration = time.Hour
		storeOfA := &cutStore{memoryStore: h.store}
		h.startInstanceAt("a", storeOfA, h.workers)
		h.sleep(time.Second)
		h.submit("j", longRunning(1))
		h.sleep(time.Second)
		h.startInstance("b")
		h.sleep(time.Minute)
		task := batch.TaskID{Job: "j"}
		lost := h.workerOf(task)
		storeOfA.setCut(true)
		if early {
			h.leave(lost)
		}
		for h.owners["b"].leading.Load() == nil {
			h.sleep(10 * time.Millisecond)
		}
		h.startInstance("c")
		h.sleep(led)
		h.endOwner("b", "c")
		if !early {
			h.leave(lost)
		}
		h.sleep(300 * time.Millisecond)
		h.is.True(h.owners["c"].leading.Load() != nil)
		back := time.Now()
		storeOfA.setCut(false)
		h.startInstance("b")
		h.requireRestartAfter(task, back)
	}, "w1", "w2", "w3")
}

// startTaskAndEndOwner starts instance a, which leads, a long-running task, and instance b with its store. A minute later
// it ends a.
func (h *harness) startTaskAndEndOwner(storeOfB kv.Store) batch.TaskID {
	h.workers.taskDuration = time.Hour
	h.startInstance("a")
	h.sleep(time.Second)
	h.submit("j", longRunning(1))
	h.startInstanceAt("b", storeOfB, h.workers)
	h.sleep(time.Minute)
	h.endOwner("a", "b")
	return batch.TaskID{Job: "j"}
}

// endOwner ends the process of the owner. Another instance finds that its port refuses calls and removes the claim.
func (h *harness) endOwner(owner, other string) {
	claim := *h.owners[other].Claim()
	h.kill(owner)
	h.owners[other].RevokeClaim(claim, "its port refuses calls")
}
