package batch

import (
	"iter"
	"slices"
)

// openSteps are the steps with waiting tasks. They are kept in the order of the last decision, so that the next one sorts only
// those whose place may have changed.
type openSteps struct {
	// ordered holds the steps in the order of the last call of inOrder, and opened those that were opened since. Both hold
	// steps that were closed since, too.
	ordered []openStepEntry
	opened  []*step
	// moved is the reused slice for the steps that inOrder sorts.
	moved []openStepEntry
	count int
}

// add opens a step.
func (o *openSteps) add(st *step) {
	if st.isOpen {
		return
	}
	st.isOpen = true
	o.count++
	if !st.isListed {
		st.isListed = true
		o.opened = append(o.opened, st)
	}
}

// remove closes a step.
func (o *openSteps) remove(st *step) {
	if st.isOpen {
		st.isOpen = false
		o.count--
	}
}

func (o *openSteps) len() int { return o.count }

// all returns the open steps, in any order.
func (o *openSteps) all() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for i := range o.ordered {
			if st := o.ordered[i].step; st.isOpen && !yield(st) {
				return
			}
		}
		for _, st := range o.opened {
			if st.isOpen && !yield(st) {
				return
			}
		}
	}
}

// inOrder returns the open steps in the order of the entries that entryOf returns for them. The slice is valid until the next
// call.
func (o *openSteps) inOrder(entryOf func(*step) openStepEntry) []openStepEntry {
	before := len(o.ordered)
	kept, moved := o.ordered[:0], o.moved[:0]
	for i := range o.ordered {
		st := o.ordered[i].step
		if !st.isOpen {
			st.isListed = false
			continue
		}
		e := entryOf(st)
		if e != o.ordered[i] {
			moved = append(moved, e)
			continue
		}
		if len(kept) < i {
			o.ordered[len(kept)] = e
		}
		kept = o.ordered[:len(kept)+1]
	}
	for _, st := range o.opened {
		if !st.isOpen {
			st.isListed = false
			continue
		}
		moved = append(moved, entryOf(st))
	}
	slices.SortFunc(moved, openStepEntry.compare)
	o.ordered = mergeInOrder(kept, moved)
	if len(o.ordered) < before {
		clear(o.ordered[len(o.ordered):before])
	}
	clear(o.opened)
	clear(moved)
	o.opened, o.moved = o.opened[:0], moved[:0]
	return o.ordered
}

// mergeInOrder merges the entries of b into a, both of which are in order, and returns the result, which uses a's memory.
func mergeInOrder(a, b []openStepEntry) []openStepEntry {
	i, j := len(a)-1, len(b)-1
	out := slices.Grow(a, len(b))[:len(a)+len(b)]
	for k := len(out) - 1; j >= 0; k-- {
		if i >= 0 && out[i].compare(b[j]) > 0 {
			out[k] = out[i]
			i--
		} else {
			out[k] = b[j]
			j--
		}
	}
	return out
}
