package journal_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// maxBreakageHistories bounds the histories within which the checker must find a breakage.
const maxBreakageHistories = 3000

// TestCheckerFindsBreakage switches one mechanism off at a time. The checker must notice.
func TestCheckerFindsBreakage(t *testing.T) {
	cases := []struct {
		sentence string
		broken   breakage
	}{
		{"a start is sent before its record is durable", breakage{sendEarly: true}},
		{"workers are listed before they have seen the epoch", breakage{listUnfenced: true}},
		{"a lease is taken for lapsed right after its renewal", breakage{goneEarly: true}},
		{"a report is acknowledged before its record is durable", breakage{ackEarly: true}},
		{"a deposed owner goes on sending", breakage{noDeposal: true}},
		{"a claim is granted before its record is durable", breakage{forgetClaim: true}},
		{"a snapshot includes records that were not appended", breakage{lateSnapshot: true}},
		{"the store ignores the expected version", breakage{blindWrites: true}},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
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
