// Package cluster finds the instance that owns a partition and calls it: locally if it is
// this one, through a peer connection if it is another. It also spreads the summaries of
// the partitions and gathers the audit trail and the status of all instances.
package cluster

import (
	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The kinds of message between instances.
const (
	KindSubmit peer.Kind = iota + 1
	KindCancel
	KindResume
	KindAcceptTransfer
	KindClaim
	KindSettle
	KindGetClaim
	KindGetJob
	KindListJobs
	KindReleasePartition
	KindSummaries
	KindExplain
	KindRecentEntries
)

// submitMessage submits a job to the owner of its partition.
type submitMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
	Spec      model.JobSpec   `cbor:"2,keyasint"`
}

func (m submitMessage) partition() model.Partition { return m.Partition }

// jobMessage names a job; Actor is who asks for a change of it.
type jobMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
	Job       model.JobID     `cbor:"2,keyasint"`
	Actor     string          `cbor:"3,keyasint,omitempty"`
}

func (m jobMessage) partition() model.Partition { return m.Partition }

// jobReply describes a job with its durable history.
type jobReply struct {
	Status  ledger.JobStatus      `cbor:"1,keyasint"`
	History []ledger.HistoryEntry `cbor:"2,keyasint,omitempty"`
	// Settled says that everything in the reply is durable.
	Settled bool `cbor:"3,keyasint,omitempty"`
}

// jobsMessage asks for the jobs of a team in one partition.
type jobsMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
	Team      model.Team      `cbor:"2,keyasint,omitempty"`
}

func (m jobsMessage) partition() model.Partition { return m.Partition }

// acceptMessage offers a job to another partition.
type acceptMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
	From      model.Partition `cbor:"2,keyasint"`
	Transfer  ledger.Transfer `cbor:"3,keyasint"`
}

func (m acceptMessage) partition() model.Partition { return m.Partition }

// claimMessage claims a request key.
type claimMessage struct {
	Partition model.Partition     `cbor:"1,keyasint"`
	Claim     ledger.ClaimRequest `cbor:"2,keyasint"`
}

func (m claimMessage) partition() model.Partition { return m.Partition }

// claimReply is the claim that was granted, or the one that holds the key and the refusal.
type claimReply struct {
	Claim   ledger.Claim   `cbor:"1,keyasint"`
	Refusal *verdict.Error `cbor:"2,keyasint,omitempty"`
}

// settleMessage ends a claim.
type settleMessage struct {
	Partition model.Partition  `cbor:"1,keyasint"`
	Key       model.RequestKey `cbor:"2,keyasint"`
	Holder    model.InstanceID `cbor:"3,keyasint"`
	Verdict   verdict.Verdict  `cbor:"4,keyasint"`
}

func (m settleMessage) partition() model.Partition { return m.Partition }

// claimedMessage asks what is known of a request key.
type claimedMessage struct {
	Partition model.Partition  `cbor:"1,keyasint"`
	Key       model.RequestKey `cbor:"2,keyasint"`
}

func (m claimedMessage) partition() model.Partition { return m.Partition }

// claimedReply says what is known of a request key.
type claimedReply struct {
	Found bool         `cbor:"1,keyasint"`
	Claim ledger.Claim `cbor:"2,keyasint"`
}

// releaseMessage asks for the hand-over of a partition.
type releaseMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
}

// summariesMessage carries the summaries of the partitions that the sender holds.
type summariesMessage struct {
	Summaries []partition.Summary `cbor:"1,keyasint"`
}

// trailMessage asks for the entries about a subject, or the newest ones if it is empty.
type trailMessage struct {
	Subject string `cbor:"1,keyasint,omitempty"`
	Limit   int    `cbor:"2,keyasint,omitempty"`
}

// trailReply holds entries of one instance.
type trailReply struct {
	Entries []audit.Entry `cbor:"1,keyasint"`
}

// empty is the reply of a message that needs none.
type empty struct{}
