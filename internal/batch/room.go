package batch

import (
	"slices"
	"time"
)

const (
	// minRoomPause is how long a worker gets no start that needs as much as one that it refused for want of
	// room. The pause doubles with each further refusal, up to maxRoomPause.
	minRoomPause = 250 * time.Millisecond
	maxRoomPause = 2 * time.Second
)

// roomRefusal is a worker's refusal of a start for want of room. It is newer evidence than the capacity in the
// worker's entry.
type roomRefusal struct {
	need  Resources
	until time.Time // until when nothing is started there that needs as much
	pause time.Duration
}

// noteRoomRefusal notes that the worker has refused a start for want of room.
func (w *worker) noteRoomRefusal(need Resources, now time.Time) {
	if !w.mayHaveRoom(need, now) {
		return // the start was sent before another refusal was known
	}
	pause := minRoomPause
	for _, r := range w.roomRefusals {
		if r.need.Fits(need) {
			pause = max(pause, min(2*r.pause, maxRoomPause))
		}
	}
	w.roomRefusals = slices.DeleteFunc(w.roomRefusals, func(r roomRefusal) bool {
		return need.Fits(r.need) || now.Sub(r.until) > maxRoomPause
	})
	w.roomRefusals = append(w.roomRefusals, roomRefusal{need: need, until: now.Add(pause), pause: pause})
}

// noteRoom notes that the worker has accepted a start.
func (w *worker) noteRoom(need Resources) {
	w.roomRefusals = slices.DeleteFunc(w.roomRefusals, func(r roomRefusal) bool { return r.need.Fits(need) })
}

// mayHaveRoom reports whether no recent refusal shows that the worker has no room for a task.
func (w *worker) mayHaveRoom(need Resources, now time.Time) bool {
	return !slices.ContainsFunc(w.roomRefusals, func(r roomRefusal) bool { return now.Before(r.until) && r.need.Fits(need) })
}
