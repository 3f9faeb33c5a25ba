package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// inFlightPerSlot is the number of requests that the instances together may have in flight at a
// target for each of its slots. A slot of a target executes one request; the target queues those
// beyond its slots. A slot of an instance at a target is one request in flight. With a value of 1, an
// instance that receives more than an equal share of the requests would queue them while slots of
// other instances are idle.
const inFlightPerSlot = 3

// slotShare returns how many requests this instance may have in flight at the target. The total of
// the target is divided equally among the instances. The remainder goes to consecutive instances
// from one that is chosen by a hash of the target's id, so that each instance gets about the same
// number over all targets. The total is at most the number of connections that the target accepts.
// An instance that is not in the list of live instances gets a share of at most one.
func slotShare(t model.Target, self model.InstanceID, instances []model.InstanceID) int {
	total := t.Slots * inFlightPerSlot
	if t.Connections > 0 {
		total = min(total, t.Connections)
	}
	n := len(instances)
	if n == 0 {
		return total
	}
	index := slices.Index(instances, self)
	if index < 0 {
		return min(total, 1)
	}
	first := int(xxhash.Sum64String(string(t.ID)) % uint64(n))
	offset := (index - first + n) % n
	share := total / n
	if offset < total%n {
		share++
	}
	return share
}
