package journal_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// maxBreakageHistories bounds the histories within which the checker must find a breakage.
const maxBreakageHistories = 3000

// TestCheckerFindsBreakage switches one mechanism off at a time. The checker must notice.
func TestCheckerFindsBreakage(t *testing.T) {
	cases := []struct {
		sentence string
		broken   breakage
		// play is a session that meets the breakage; nil means random histories.
		play func(w *world)
	}{
		{"a start is sent before its record is durable", breakage{sendEarly: true}, nil},
		{"workers are listed before they have seen the epoch", breakage{listUnfenced: true}, nil},
		{"a lease is taken for lapsed right after its renewal", breakage{goneEarly: true}, playRenewedLease},
		{"a renewal counts only once it is answered", breakage{lateExpiry: true}, playSlowRenewal},
		{"a report is acknowledged before its record is durable", breakage{ackEarly: true}, nil},
		{"a deposed owner goes on sending", breakage{noDeposal: true}, nil},
		{"a claim is granted before its record is durable", breakage{forgetClaim: true}, nil},
		{"a snapshot is written before the batch that it includes", breakage{earlySnapshot: true}, nil},
		{"a deposed owner renews leases without end", breakage{endlessRenewal: true}, playUnreachedWorker},
		{"the store ignores the expected version", breakage{blindWrites: true}, nil},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
			if c.play != nil {
				w := newWorld()
				w.broken = c.broken
				c.play(w)
				t.Logf("session: %s", strings.Join(w.check.violations, "; "))
				is.New(t).True(len(w.check.violations) > 0)
				return
			}
			violations := rapid.Custom(func(t *rapid.T) []string { return playHistory(t, c.broken).check.violations })
			for seed := range maxBreakageHistories {
				if found := violations.Example(seed); len(found) > 0 {
					t.Logf("history %d: %s", seed, strings.Join(found, "; "))
					return
				}
			}
			t.Errorf("the checker found nothing in %d histories", maxBreakageHistories)
		})
	}
}
