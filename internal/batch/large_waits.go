package batch

import "time"

// largeWaitMemory is for how long workers are chosen so that they keep room for a size that has found none.
const largeWaitMemory = 5 * time.Second

// largeWait is the need of a task that has found no room, and until when that matters.
type largeWait struct {
	need  Resources
	until time.Time
}

// noteLargeWait notes that a task of a step has found no room, unless a larger one has lately.
func (s *State) noteLargeWait(st *step, now time.Time) {
	service := s.queueOf(st.job).Service
	l := s.largeWaits[service]
	if !s.isLarge(st) || now.Before(l.until) && l.need.CPU > st.reserved.CPU {
		return
	}
	s.largeWaits[service] = largeWait{need: st.reserved, until: now.Add(largeWaitMemory)}
}

// largeWaitBefore returns the need whose room the tasks of a step should leave if they can; zero if there is none.
func (s *State) largeWaitBefore(st *step, now time.Time) Resources {
	l := s.largeWaits[s.queueOf(st.job).Service]
	if !now.Before(l.until) {
		return Resources{}
	}
	return l.need
}
