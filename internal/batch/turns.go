package batch

import "container/heap"

// turns gives the steps of one decision in their order. A step that is put back comes again after those that it is behind now. The
// steps themselves are not reordered: each of many thousands may be put back in one decision.
type turns struct {
	rest    []openStepEntry // in order
	putBack entryHeap
}

// next returns the next step; false if there is none.
func (t *turns) next() (openStepEntry, bool) {
	switch {
	case len(t.rest) == 0 && len(t.putBack) == 0:
		return openStepEntry{}, false
	case len(t.putBack) == 0 || len(t.rest) > 0 && t.rest[0].compare(t.putBack[0]) < 0:
		entry := t.rest[0]
		t.rest = t.rest[1:]
		return entry, true
	default:
		return heap.Pop(&t.putBack).(openStepEntry), true
	}
}

// yield puts a step back that next has returned.
func (t *turns) yield(entry openStepEntry) { heap.Push(&t.putBack, entry) }

// bestEffortFrom returns the best-effort steps that come from a best-effort step that next has returned up to one that is not. It
// costs no more than these are many.
func (t *turns) bestEffortFrom(entry openStepEntry) []openStepEntry {
	rest, out := t.rest, []openStepEntry{entry}
	var popped []openStepEntry
	for {
		before := len(t.putBack)
		e, ok := t.next()
		if len(t.putBack) < before {
			popped = append(popped, e)
		}
		if !ok || !e.step.spec.BestEffort {
			break
		}
		out = append(out, e)
	}
	t.rest = rest
	for _, e := range popped {
		t.yield(e)
	}
	return out
}

// entryHeap is a heap.Interface whose first entry comes first in the order of decisions.
type entryHeap []openStepEntry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h entryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *entryHeap) Push(entry any)    { *h = append(*h, entry.(openStepEntry)) }
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = openStepEntry{}
	*h = (*h)[:last]
	return entry
}
