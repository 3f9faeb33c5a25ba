package ledger

import "github.com/geraniumwick/geraniumwick/internal/model"

// HasPending reports whether records or actions wait for Take.
func (l *Ledger) HasPending() bool {
	return len(l.records) > 0 || len(l.actions.Signals) > 0
}

// LookupClaim returns what is known of a request key.
func (l *Ledger) LookupClaim(key model.RequestKey) (Claim, bool) {
	c, found := l.claims[key]
	if !found {
		return Claim{}, false
	}
	return *c, true
}
