package batch

import (
	"maps"
	"time"
)

// vacancies is the room on the workers that may get new tasks, less what long-running tasks will take that wait for
// room or are being moved there.
type vacancies struct {
	state *State
	now   time.Time
	// workers and their free resources are set once they are needed.
	workers []*worker
	free    []Resources
}

func (s *State) newVacancies(now time.Time) *vacancies { return &vacancies{state: s, now: now} }

// take reports whether there is room for another task of a long-running step, and takes it.
func (v *vacancies) take(st *step) bool {
	if v.workers == nil {
		v.count()
	}
	return v.takeRoom(st)
}

// count finds the room, and takes what is needed for the tasks that wait or are being moved.
func (v *vacancies) count() {
	v.workers = append([]*worker{}, v.state.usable(v.now)...)
	for _, w := range v.workers {
		v.free = append(v.free, w.free())
	}
	for _, entry := range v.state.openStepsInOrder(v.now) {
		if entry.step.spec.LongRunning {
			v.takeForWaiting(entry.step)
		}
	}
	for _, a := range sortedAttempts(maps.Keys(v.state.stops)) {
		if a.step.spec.LongRunning && a.worker.info.Draining {
			v.takeRoom(a.step)
		}
	}
}

// takeForWaiting takes room for the waiting tasks of a step, as far as there is some.
func (v *vacancies) takeForWaiting(st *step) {
	for range st.waiting {
		if !v.takeRoom(st) {
			return
		}
	}
}

func (v *vacancies) takeRoom(st *step) bool {
	q := v.state.queueOf(st.job)
	for i, w := range v.workers {
		if w.info.Service == q.Service && st.reserved.Fits(v.free[i]) && w.mayHaveRoom(st.reserved, v.now) && st.violates(w) == notRejected {
			v.free[i] = v.free[i].Minus(st.reserved)
			return true
		}
	}
	return false
}
