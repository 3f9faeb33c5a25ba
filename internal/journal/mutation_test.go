package journal_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// maxMutationHistories is the number of histories within which the checker must find a violation.
const maxMutationHistories = 3000

// TestCheckerFindsBreakage disables one safety mechanism at a time. The checker must report a
// violation for each of them.
func TestCheckerFindsBreakage(t *testing.T) {
	cases := []struct {
		description string
		mutation    mutation
		// run is a session in which the mutation causes a violation; nil means random histories.
		run func(sim *simulation)
	}{
		{"a start is sent before its record is durable", mutation{sendBeforeDurable: true}, nil},
		{"workers are listed before they have accepted the new epoch", mutation{listWithoutNewEpoch: true}, nil},
		{"a lease is declared lapsed right after its renewal", mutation{expireLeaseEarly: true}, runRenewedLease},
		{"a renewal counts only once it is answered", mutation{countRenewalOnReply: true}, runSlowRenewal},
		{"a report is acknowledged before its record is durable", mutation{acknowledgeBeforeDurable: true}, nil},
		{"a deposed owner continues to send messages", mutation{sendAfterDeposed: true}, nil},
		{"a claim is granted before its record is durable", mutation{grantBeforeDurable: true}, nil},
		{"a snapshot is written before the batch that it includes", mutation{snapshotBeforeBatch: true}, nil},
		{"a deposed owner renews leases without confirming its ownership", mutation{renewUnconfirmed: true}, runUnreachedWorker},
		{"the store ignores the expected revision", mutation{ignoreExpectedRevision: true}, nil},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			if c.run != nil {
				sim := newSimulation()
				sim.mutation = c.mutation
				c.run(sim)
				t.Logf("session: %s", strings.Join(sim.checker.violations, "; "))
				is.New(t).True(len(sim.checker.violations) > 0)
				return
			}
			violations := rapid.Custom(func(t *rapid.T) []string { return runHistory(t, c.mutation).checker.violations })
			for seed := range maxMutationHistories {
				if found := violations.Example(seed); len(found) > 0 {
					t.Logf("history %d: %s", seed, strings.Join(found, "; "))
					return
				}
			}
			t.Errorf("the checker found nothing in %d histories", maxMutationHistories)
		})
	}
}
