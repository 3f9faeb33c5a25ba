// Package placement decides on room: how much of it new long-running tasks leave to short ones, on which worker room is reserved
// for a task that does not fit yet, and which tasks may run there until then. It is pure: it has no clock and no I/O.
package placement

import "time"

const (
	// maxHeadroomShare is the part of a service's CPU that new long-running tasks leave at most.
	maxHeadroomShare = 0.25
	// restartShare is the part of it that they leave at least beside short tasks, which would compete for each piece of room with the
	// long-running tasks of lost workers.
	restartShare = 1.0 / 8
	// HeadroomPatience is the age of a job from which its long-running tasks start regardless of the headroom.
	HeadroomPatience = 60 * time.Second
)

// Headroom is the CPU that new long-running tasks of a service leave to short ones, and to those that have run before and are down, in
// thousandths of a core: as much as has sufficed for short tasks most of the time, counted in pieces that are large enough for one of
// them, and restartShare at least if there are any. Without it, a stream of long-running tasks would take each piece of room that others give back, until
// a long-running job is cancelled.
type Headroom struct {
	demand int64 // what short tasks need at once
	slot   int64 // what one of them needs

	capacity  int64
	available int64 // what is free or used by short tasks
	usable    int64 // the part of it that consists of whole slots
}

// NewHeadroom returns the headroom of a service without workers whose short tasks need demand at once, and slot each.
func NewHeadroom(demand, slot int64) *Headroom { return &Headroom{demand: demand, slot: max(1, slot)} }

// AddWorker adds a worker. free may be negative if its capacity has shrunk.
func (h *Headroom) AddWorker(capacity, free, usedByShort int64) {
	available := max(0, free+usedByShort)
	h.capacity += capacity
	h.available += available
	h.usable += h.whole(available)
}

// Admits reports whether a new long-running task that needs an amount may start, of a job of the given age.
func (h *Headroom) Admits(need int64, age time.Duration) bool {
	most := maxHeadroomShare * float64(h.capacity)
	if float64(h.available-need) >= most {
		return true
	}
	return float64(h.usable-need) >= h.Wanted(age)
}

// Wanted returns what has to stay usable as far as a job of the given age is concerned.
func (h *Headroom) Wanted(age time.Duration) float64 {
	if h.demand == 0 {
		return 0
	}
	least, most := restartShare*float64(h.capacity), maxHeadroomShare*float64(h.capacity)
	return min(max(float64(h.demand), least), most) * max(0, 1-age.Seconds()/HeadroomPatience.Seconds())
}

// Usable returns what short tasks use or can use.
func (h *Headroom) Usable() int64 { return h.usable }

// Take notes that a long-running task starts on a worker, which has the free CPU besides what short tasks use there.
func (h *Headroom) Take(free, usedByShort, need int64) {
	before, after := max(0, free+usedByShort), max(0, free+usedByShort-need)
	h.available -= before - after
	h.usable -= h.whole(before) - h.whole(after)
}

// whole returns the part of an amount that consists of whole slots.
func (h *Headroom) whole(amount int64) int64 { return amount / h.slot * h.slot }
