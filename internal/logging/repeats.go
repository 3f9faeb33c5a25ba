package logging

import "sync"

// maxRepeats bounds the number of sources that a Repeats remembers.
const maxRepeats = 10_000

// Repeats tells whether a fault of a source is new, so that one that lasts is logged once. The zero value is
// ready to use, also by several goroutines.
type Repeats struct {
	mu   sync.Mutex
	last map[string]string
}

// New reports whether the reason of a source's fault differs from the last one, and remembers it.
func (r *Repeats) New(source, reason string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.last[source]; ok && last == reason {
		return false
	}
	if r.last == nil || len(r.last) >= maxRepeats {
		r.last = map[string]string{}
	}
	r.last[source] = reason
	return true
}

// IsEmpty reports whether no source has a fault.
func (r *Repeats) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.last) == 0
}

// Clear notes that a source is without fault. The next fault is new.
func (r *Repeats) Clear(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.last, source)
}
