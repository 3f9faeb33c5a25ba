package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/resources"
)

// End is the room that a running task is expected to give back.
type End struct {
	At   time.Time
	Room resources.Amount
}

// SortEnds orders ends by time.
func SortEnds(ends []End) {
	slices.SortFunc(ends, func(a, b End) int { return a.At.Compare(b.At) })
}

// Outlook is when a worker is expected to have room for a task, and what it will have besides it then.
type Outlook struct {
	Ready time.Time
	Spare resources.Amount
}

// Forecast returns the outlook of a worker with free resources and running tasks, whose ends are in order. It returns false if the
// task is not expected to fit before the horizon.
func Forecast(free resources.Amount, ends []End, need resources.Amount, now, horizon time.Time) (Outlook, bool) {
	if need.Fits(free) {
		return Outlook{Ready: now, Spare: free.Minus(need)}, true
	}
	for _, e := range ends {
		if e.At.After(horizon) {
			break
		}
		if free = free.Plus(e.Room); need.Fits(free) {
			return Outlook{Ready: e.At, Spare: free.Minus(need)}, true
		}
	}
	return Outlook{}, false
}

// Compare orders the outlook first that is ready first, and of two that are ready together the one with less room besides.
func (o Outlook) Compare(other Outlook) int {
	return cmp.Or(o.Ready.Compare(other.Ready), cmp.Compare(o.Spare.CPU, other.Spare.CPU))
}

// SlotsLost returns for how many tasks of a large size fewer a worker with free resources has room after it has got another task.
// A task that needs as much as a large one itself loses none.
func SlotsLost(free, need, large resources.Amount) int64 {
	if large.CPU <= 0 || large.Fits(need) {
		return 0
	}
	return slots(free, large) - slots(free.Minus(need), large)
}

// slots returns how many tasks of a size fit.
func slots(free, size resources.Amount) int64 {
	if !size.Fits(free) {
		return 0
	}
	n := free.CPU / size.CPU
	if size.MemoryMB > 0 {
		n = min(n, free.MemoryMB/size.MemoryMB)
	}
	if size.GPU > 0 {
		n = min(n, free.GPU/size.GPU)
	}
	return n
}
