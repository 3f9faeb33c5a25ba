package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Assigned returns the member that should own the partition: the one with the highest
// rendezvous hash among the members that are not draining. With this hash, a member that joins or
// leaves moves only the partitions that are assigned to it.
func (m *Membership) Assigned(p model.Partition) (Member, bool) {
	return assign(m.Members(), p)
}

// assign returns the member with the highest rendezvous hash for the partition. Among equal
// hashes the highest ID decides.
func assign(members []Member, p model.Partition) (Member, bool) {
	var best Member
	var bestWeight uint64
	found := false
	for _, candidate := range members {
		if candidate.Draining {
			continue
		}
		w := weight(candidate.ID, p)
		if !found || w > bestWeight || (w == bestWeight && candidate.ID > best.ID) {
			best, bestWeight, found = candidate, w, true
		}
	}
	return best, found
}

// weight returns the rendezvous hash of a member and a partition. The hashed text is the
// partition, a separator and the ID, so that different pairs never have the same text.
func weight(id model.InstanceID, p model.Partition) uint64 {
	text := strconv.AppendInt(make([]byte, 0, 64), int64(p), 10)
	text = append(text, '/')
	text = append(text, id...)
	return xxhash.Sum64(text)
}
