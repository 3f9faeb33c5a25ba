package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// shareFactor is the number of requests that the instances together may have in flight at a
// target for each of its slots. The target queues those beyond its slots. With a factor of 1
// an instance that receives more than its part of the requests would leave them waiting
// while slots of other instances are idle.
const shareFactor = 3

// slotShare returns how many requests this instance may have in flight at the target. The
// places are dealt to the instances in turn, beginning at an instance that depends on the
// target, so that the shares add up and each instance gets about the same number over all
// targets. The sum stays within the connections that the target accepts. An instance that
// does not know itself to be live takes one place.
func slotShare(t model.Target, self model.InstanceID, instances []model.InstanceID) int {
	places := t.Slots * shareFactor
	if t.Connections > 0 {
		places = min(places, t.Connections)
	}
	n := len(instances)
	if n == 0 {
		return places
	}
	index := slices.Index(instances, self)
	if index < 0 {
		return min(places, 1)
	}
	first := int(xxhash.Sum64String(string(t.ID)) % uint64(n))
	place := (index - first + n) % n
	share := places / n
	if place < places%n {
		share++
	}
	return share
}
