package owner

import (
	"slices"
	"testing"
	"time"
)

// forgetfulEvents are worldEvents with a store that forgets its history, and with many jobs that end soon, so that some are forgotten
// at any time.
var forgetfulEvents = append(slices.Clone(worldEvents),
	worldEvent{"history dropped", 12, (*ownersWorld).dropHistory},
	worldEvent{"short jobs submitted", 8, (*ownersWorld).submitShort},
	worldEvent{"time passes", 4, (*ownersWorld).passTime},
)

// dropHistory makes the store forget its history a few times in a row.
func (w *ownersWorld) dropHistory(string) {
	for range 1 + w.random.IntN(20) {
		w.store.dropHistory()
		w.sleep(w.upTo(300 * time.Millisecond))
	}
}

// submitShort submits jobs of one task that ends soon.
func (w *ownersWorld) submitShort(string) {
	for range 10 + w.random.IntN(30) {
		w.submitJob(w.nextJob(), w.upTo(50*time.Millisecond), withCPU(tasks(1), 1))
	}
}

func (w *ownersWorld) passTime(string) { w.sleep(retention / 2) }

// forgetfulHistories is the number of histories with forgetfulEvents.
const forgetfulHistories = 50

// Guards against a job that is run again after it was forgotten, by any series of dropped histories, kills, hand-overs and cuts.
func TestRandomHistoriesBringNoForgottenJobBack(t *testing.T) {
	forHistories(t, 5000, forgetfulHistories, func(t *testing.T, seed uint64) {
		withHistoryOf(t, forgetfulEvents, seed, func(*ownersWorld) {})
	})
}
