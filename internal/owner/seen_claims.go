package owner

import (
	"sync"
	"time"
)

// maxSeenClaims is the number of claims of which an instance remembers when it first saw them.
const maxSeenClaims = 64

// seenClaims remembers when this instance first saw the claims of successive owners, on its own steady clock.
type seenClaims struct {
	mu     sync.Mutex
	claims []seenClaim // by rising epoch
}

type seenClaim struct {
	epoch int64
	at    time.Time
}

// add notes that the claim of an epoch was seen. It reports whether it is newer than all claims seen before.
func (s *seenClaims) add(epoch int64, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.claims); n > 0 && s.claims[n-1].epoch >= epoch {
		return false
	}
	s.claims = append(s.claims, seenClaim{epoch: epoch, at: at})
	if len(s.claims) > maxSeenClaims {
		s.claims = s.claims[1:]
	}
	return true
}

// replaced returns when a claim of a later epoch was first seen. It is zero if none was seen.
func (s *seenClaims) replaced(epoch int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.claims {
		if c.epoch > epoch {
			return c.at
		}
	}
	return time.Time{}
}

// replacedAt returns a time at which the owner with an epoch had been replaced, as early as this instance
// knows; it is zero if it does not know.
func (o *Owner) replacedAt(epoch int64) time.Time { return o.claimsSeen.replaced(epoch) }
