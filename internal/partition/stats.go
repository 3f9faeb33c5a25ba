package partition

import (
	"slices"

	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// Stats holds the numbers of one held partition for the metrics.
type Stats struct {
	Summary Summary
	// EntriesSinceSnapshot is the number of journal entries after the snapshot.
	EntriesSinceSnapshot int
}

// Stats returns the numbers of all partitions held, ordered by partition.
func (m *Manager) Stats() []Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Stats, 0, len(m.held))
	for p, o := range m.held {
		s := Stats{Summary: o.Summary(), EntriesSinceSnapshot: o.journal.EntriesSinceSnapshot()}
		// A new owner has no summary before its first tick.
		s.Summary.Partition = p
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Stats) int { return int(a.Summary.Partition - b.Summary.Partition) })
	return all
}

// countQuarantined returns the number of workers of the partition that the policy quarantines.
func (p *loop) countQuarantined() int {
	policy, ok := p.cfg.Policy.(schedule.QuarantineReader)
	if !ok {
		return 0
	}
	n := 0
	for id := range p.sessions.byID {
		if policy.Quarantined(id) {
			n++
		}
	}
	return n
}
