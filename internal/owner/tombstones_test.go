package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// Guards against tombstones that are removed before a late submission of their job has been carried out, or stay for good.
func TestTombstonesLiveForALimitedTime(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(time.Second)
		const tombstones = 40
		written := time.Now()
		for i := range tombstones {
			h.store.set(TombstoneKey("t", fmt.Sprint(i)), nil)
		}
		for h.store.count(tombstonePrefix) == tombstones {
			h.sleep(100 * time.Millisecond)
		}
		h.is.True(time.Since(written) >= minTombstoneLife)
		h.sleep(time.Second)
		h.is.Equal(h.store.count(tombstonePrefix), 0)
		h.is.True(time.Since(written) <= MaxTombstoneLife+2*time.Second)
	}, "w1")
}

// Guards against tombstones that nobody removes after their owner is gone, or that are removed too early by the next one.
func TestTombstonesOutlastATakeOver(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(time.Second)
		h.startInstance("b")
		h.store.set(TombstoneKey("", "x"), nil)
		h.sleep(50 * time.Second)
		h.kill("a")
		h.sleep(minTombstoneLife)
		h.is.Equal(h.leader(), "b")
		h.is.Equal(h.store.count(tombstonePrefix), 1)
		h.sleep(MaxTombstoneLife - minTombstoneLife)
		h.is.Equal(h.store.count(tombstonePrefix), 0)
	}, "w1")
}

// Guards against a tombstone that is removed although its job was cancelled again, beside others that are as old.
func TestATombstoneThatIsWrittenAgainLivesOn(t *testing.T) {
	is := is.New(t)
	var sweeper tombstoneSweeper
	now := time.Now()
	item := func(id string, rev int64) kv.Item { return kv.Item{Key: TombstoneKey("", id), Rev: rev} }
	is.Equal(sweeper.expired([]kv.Item{item("a", 1), item("b", 2)}, now), nil)
	now = now.Add(minTombstoneLife - time.Second)
	is.Equal(sweeper.expired([]kv.Item{item("a", 1), item("b", 3)}, now), nil)
	now = now.Add(time.Second)
	is.Equal(sweeper.expired([]kv.Item{item("a", 1), item("b", 3)}, now), []kv.Item{item("a", 1)})
	is.Equal(sweeper.expired([]kv.Item{item("b", 3)}, now), nil)
	is.Equal(len(sweeper.seen), 1)
	now = now.Add(minTombstoneLife)
	is.Equal(sweeper.expired([]kv.Item{item("b", 3)}, now), []kv.Item{item("b", 3)})
}

// Guards against a key that the store refuses, as the name of a tenant is long, and against tenants that share a tombstone.
func TestKeysOfTombstones(t *testing.T) {
	is := is.New(t)
	const id, maxKeyBytes = "5c0e7a21d94b36f8", 200
	is.True(len(TombstoneKey(strings.Repeat("x", 4000), id)) <= maxKeyBytes)
	keys := map[string]bool{}
	for _, tenant := range []string{"", "a", "b", "a/" + id, "a/"} {
		keys[TombstoneKey(tenant, id)] = true
		is.True(IsCallerKey(TombstoneKey(tenant, id)))
	}
	is.Equal(len(keys), 5)
	is.True(!IsCallerKey(claimKey))
	is.True(!IsCallerKey(RecordKey(id)))
}
