package cluster

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
)

// checkDecode decodes body as a message. If that succeeds, the message must encode to CBOR and
// decode from it again.
func checkDecode[In any](t *testing.T, body []byte) {
	t.Helper()
	var in In
	if err := peer.Decode(body, &in); err != nil {
		return
	}
	encoded, err := cbor.Marshal(in)
	if err != nil {
		t.Fatalf("%T cannot be encoded: %v", in, err)
	}
	var again In
	if err := peer.Decode(encoded, &again); err != nil {
		t.Fatalf("%T cannot be decoded from its own encoding: %v", in, err)
	}
}

func FuzzMessages(f *testing.F) {
	seeds := []any{
		submitMessage{Partition: 1, Spec: model.JobSpec{ID: "reports/a", Team: "reports", Payload: []byte("{}")}},
		jobMessage{Partition: 2, Job: "reports/a", Actor: "ann"},
		acceptTransferMessage{Partition: 3, From: 1, Transfer: ledger.Transfer{To: 3, Hop: 1}},
		claimMessage{Partition: 4, Claim: ledger.ClaimRequest{Key: "desk/1", Holder: "i1/1"}},
		claimReply{Claim: ledger.Claim{Key: "desk/1", State: ledger.ClaimOpen}},
		settleMessage{Partition: 5, Key: "desk/1", Holder: "i1/1"},
		summariesMessage{Summaries: []partition.Summary{{Partition: 1, Owner: "i1"}}},
		auditMessage{Subject: "desk/1", Limit: 5},
	}
	for _, seed := range seeds {
		body, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
		f.Add(body[:len(body)/2])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		checkDecode[submitMessage](t, body)
		checkDecode[jobMessage](t, body)
		checkDecode[listJobsMessage](t, body)
		checkDecode[acceptTransferMessage](t, body)
		checkDecode[claimMessage](t, body)
		checkDecode[claimReply](t, body)
		checkDecode[settleMessage](t, body)
		checkDecode[getClaimMessage](t, body)
		checkDecode[releaseMessage](t, body)
		checkDecode[summariesMessage](t, body)
		checkDecode[auditMessage](t, body)
	})
}
