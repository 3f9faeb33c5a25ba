package ledger

import "github.com/geraniumwick/geraniumwick/internal/model"

// HasPending reports whether records or signals wait for Take. A signal that is sent again has
// no record.
func (l *Ledger) HasPending() bool {
	return len(l.records) > 0 || len(l.actions.Signals) > 0
}

// LookupClaim returns the claim of a request key, and whether there is one.
func (l *Ledger) LookupClaim(key model.RequestKey) (Claim, bool) {
	c, found := l.claims[key]
	if !found {
		return Claim{}, false
	}
	return *c, true
}
