package logging

import (
	"sync"
	"time"
)

// Sampler bounds the rate of log lines of a kind. Kinds must come from a small set. It may be used by several goroutines.
type Sampler struct {
	interval time.Duration

	mu    sync.Mutex
	kinds map[string]*sampledKind
}

// sampledKind is the state of a kind of log lines.
type sampledKind struct {
	next    time.Time // when the next line may be written
	leftOut int
}

// NewSampler returns a sampler that admits one line of each kind in an interval.
func NewSampler(interval time.Duration) *Sampler {
	return &Sampler{interval: interval, kinds: map[string]*sampledKind{}}
}

// Admit reports whether a line may be written now, and how many were left out since the last one.
func (s *Sampler) Admit(kind string) (leftOut int, ok bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &sampledKind{}
		s.kinds[kind] = k
	}
	if now.Before(k.next) {
		k.leftOut++
		return 0, false
	}
	leftOut = k.leftOut
	k.next, k.leftOut = now.Add(s.interval), 0
	return leftOut, true
}
