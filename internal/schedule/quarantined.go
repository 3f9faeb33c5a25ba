package schedule

import "github.com/geraniumwick/geraniumwick/internal/model"

// QuarantineReader is a Policy that tells which workers it keeps work from.
type QuarantineReader interface {
	// Quarantined reports whether the worker receives no work but probes.
	Quarantined(w model.WorkerID) bool
}

var _ QuarantineReader = (*Scheduler)(nil)

// Quarantined implements QuarantineReader.
func (s *Scheduler) Quarantined(w model.WorkerID) bool {
	state := s.workers[w]
	return state != nil && state.health.probing
}
