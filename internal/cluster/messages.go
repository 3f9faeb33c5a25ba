// Package cluster routes calls to the instances that own the partitions: locally if it is this
// instance, through a peer connection if it is another one. It also broadcasts the summaries of
// the partitions, and collects the audit trail and the status of all instances.
package cluster

import (
	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The kinds of calls between instances.
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

// jobMessage identifies a job to read or change. Actor names who requests
// the change.
type jobMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
	Job       model.JobID     `cbor:"2,keyasint"`
	Actor     string          `cbor:"3,keyasint,omitempty"`
}

func (m jobMessage) partition() model.Partition { return m.Partition }

// getJobReply is the status of a job with its history.
type getJobReply struct {
	Status  ledger.JobStatus      `cbor:"1,keyasint"`
	History []ledger.HistoryEntry `cbor:"2,keyasint,omitempty"`
	// Durable says that the store holds everything in the reply.
	Durable bool `cbor:"3,keyasint,omitempty"`
}

// listJobsMessage requests the jobs of a team in one partition.
type listJobsMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
	Team      model.Team      `cbor:"2,keyasint,omitempty"`
}

func (m listJobsMessage) partition() model.Partition { return m.Partition }

// acceptTransferMessage transfers a job to another partition.
type acceptTransferMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
	From      model.Partition `cbor:"2,keyasint"`
	Transfer  ledger.Transfer `cbor:"3,keyasint"`
}

func (m acceptTransferMessage) partition() model.Partition { return m.Partition }

// claimMessage claims a request key.
type claimMessage struct {
	Partition model.Partition     `cbor:"1,keyasint"`
	Claim     ledger.ClaimRequest `cbor:"2,keyasint"`
}

func (m claimMessage) partition() model.Partition { return m.Partition }

// claimReply is the granted claim, or the refusal with the claim that already holds the key.
type claimReply struct {
	Claim   ledger.Claim   `cbor:"1,keyasint"`
	Refusal *verdict.Error `cbor:"2,keyasint,omitempty"`
}

// settleMessage settles a claim with a verdict.
type settleMessage struct {
	Partition model.Partition  `cbor:"1,keyasint"`
	Key       model.RequestKey `cbor:"2,keyasint"`
	Holder    model.InstanceID `cbor:"3,keyasint"`
	Verdict   verdict.Verdict  `cbor:"4,keyasint"`
}

func (m settleMessage) partition() model.Partition { return m.Partition }

// getClaimMessage requests the claim of a request key.
type getClaimMessage struct {
	Partition model.Partition  `cbor:"1,keyasint"`
	Key       model.RequestKey `cbor:"2,keyasint"`
}

func (m getClaimMessage) partition() model.Partition { return m.Partition }

// getClaimReply is the claim of a request key, if there is one.
type getClaimReply struct {
	Found bool         `cbor:"1,keyasint"`
	Claim ledger.Claim `cbor:"2,keyasint"`
}

// releaseMessage requests the release of a partition by its owner.
type releaseMessage struct {
	Partition model.Partition `cbor:"1,keyasint"`
}

// summariesMessage contains the summaries of the partitions that the sender owns.
type summariesMessage struct {
	Summaries []partition.Summary `cbor:"1,keyasint"`
}

// auditMessage requests audit entries: with KindExplain those about a subject, with
// KindRecentEntries the newest ones up to a limit.
type auditMessage struct {
	Subject string `cbor:"1,keyasint,omitempty"`
	Limit   int    `cbor:"2,keyasint,omitempty"`
}

// auditReply contains audit entries of one instance.
type auditReply struct {
	Entries []audit.Entry `cbor:"1,keyasint"`
}

// empty is the reply of a call that returns nothing.
type empty struct{}
