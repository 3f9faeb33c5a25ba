package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// slotShare returns how many slots of the target this instance may use. The slots are dealt
// to the instances in turn, beginning at an instance that depends on the target, so that
// the shares add up to the slots and each instance gets about the same number over all
// targets. An instance that does not know itself to be live takes one slot.
func slotShare(t model.Target, self model.InstanceID, instances []model.InstanceID) int {
	slots := t.Slots
	if t.Connections > 0 {
		slots = min(slots, t.Connections)
	}
	n := len(instances)
	if n == 0 {
		return slots
	}
	index := slices.Index(instances, self)
	if index < 0 {
		return min(slots, 1)
	}
	first := int(xxhash.Sum64String(string(t.ID)) % uint64(n))
	place := (index - first + n) % n
	share := slots / n
	if place < slots%n {
		share++
	}
	return share
}
