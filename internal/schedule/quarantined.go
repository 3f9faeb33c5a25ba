package schedule

import "github.com/geraniumwick/geraniumwick/internal/model"

// QuarantineReader is implemented by policies that can report which workers are quarantined.
type QuarantineReader interface {
	// Quarantined reports whether the worker receives no work other than probes.
	Quarantined(w model.WorkerID) bool
}

var _ QuarantineReader = (*Scheduler)(nil)

// Quarantined implements QuarantineReader.
func (s *Scheduler) Quarantined(w model.WorkerID) bool {
	state := s.workers[w]
	return state != nil && state.health.probing
}
