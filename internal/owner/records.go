package owner

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// Keys in the store.
const (
	claimKey = "gw/claim" // the current Claim, bound to a lease
	headKey  = "gw/head"  // the commitHead of the owner's last transaction
	// Instances write accepted submissions and cancellations below acceptedPrefix.
	acceptedPrefix = "gw/in/"
	jobPrefix      = acceptedPrefix + "job/"
	cancelPrefix   = acceptedPrefix + "cancel/"
	// Instances write tombstones below tombstonePrefix.
	tombstonePrefix = "gw/tombstone/"
	// Only the owner writes below ownerPrefix, but for endedClaimKey.
	ownerPrefix     = "gw/out/"
	recordPrefix    = ownerPrefix + "job/"
	workersKey      = ownerPrefix + "workers"
	interferenceKey = ownerPrefix + "learned"
	// endedClaimKey holds the epoch of the last claim that was removed because its owner's process had certainly
	// ended.
	endedClaimKey = ownerPrefix + "ended-claim"
)

// commitHead is the value of headKey. Each transaction of an owner requires that the head is still
// the one that the previous transaction wrote, so that no transaction is executed twice, late or
// for a superseded owner.
type commitHead struct {
	Epoch  int64 `cbor:"1,keyasint"`
	Number int64 `cbor:"2,keyasint"`
	// Owner is the process that wrote the head; nil in heads of earlier versions.
	Owner *Process `cbor:"3,keyasint,omitempty"`
	// Settled is set once no lease of an earlier owner lasts any more.
	Settled bool `cbor:"4,keyasint,omitempty"`
	// EarlierLeases is how long leases of earlier owners may last from the transaction on; 0 if that is not known.
	EarlierLeases time.Duration `cbor:"5,keyasint,omitempty"`
	// Earlier are the owners before Owner, as far as they are known, the latest first. It is empty once Settled is set.
	Earlier []FormerOwner `cbor:"6,keyasint,omitempty"`
}

// Process identifies a process of an instance.
type Process struct {
	Instance    string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// FormerOwner is a process that has led, with the epoch in which it did.
type FormerOwner struct {
	Epoch   int64   `cbor:"1,keyasint"`
	Process Process `cbor:"2,keyasint"`
}

// maxEarlierOwners is the largest number of earlier owners that a head or a claim names.
const maxEarlierOwners = 8

// earlierOwners returns the owners before the one that wrote the head whose leases may last.
func (h commitHead) earlierOwners() []FormerOwner {
	if h.Settled {
		return nil
	}
	return ownersBefore(h.Epoch, h.Earlier)
}

// formerOwners returns the owners that a claim names as former ones, the latest first.
func (c Claim) formerOwners() []FormerOwner {
	var owners []FormerOwner
	if c.Former != nil {
		owners = append(owners, FormerOwner{Epoch: c.Epoch - 1, Process: *c.Former})
	}
	return append(owners, ownersBefore(c.Epoch-1, c.Earlier)...)
}

// ownersBefore returns the first maxEarlierOwners of a list, whose epochs must fall and lie below epoch. What follows
// an odd entry is left out.
func ownersBefore(epoch int64, owners []FormerOwner) []FormerOwner {
	for i, f := range owners {
		if i == maxEarlierOwners || f.Epoch >= epoch || f.Epoch <= 0 {
			return owners[:i]
		}
		epoch = f.Epoch
	}
	return owners
}

// Submission is an accepted job as it is kept in the store.
type Submission struct {
	Queue    string     `cbor:"1,keyasint"`
	Accepted time.Time  `cbor:"3,keyasint"`
	Spec     batch.Spec `cbor:"4,keyasint"`
	// QueueConfig is the configuration of the queue when the job was accepted. It is used if the
	// queue is removed later.
	QueueConfig batch.Queue `cbor:"5,keyasint"`
	// ConfigVersion is the version of that configuration; 0 in submissions of earlier versions.
	ConfigVersion int64 `cbor:"6,keyasint,omitempty"`
	// Tenant is the tenant that submitted the job; empty if it was submitted without an API key.
	Tenant string `cbor:"7,keyasint,omitempty"`
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encode marshals one of the types of this package, for which marshalling cannot fail.
func encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeClaim(b []byte) (Claim, error) {
	var c Claim
	return c, errors.Annotate(cbor.Unmarshal(b, &c), "claim")
}

func decodeHead(b []byte) (commitHead, error) {
	var h commitHead
	return h, errors.Annotate(cbor.Unmarshal(b, &h), "head")
}

// JobKey returns the key of an accepted job, CancelKey the key of its cancellation and RecordKey
// the key of its progress record.
func JobKey(id string) string    { return jobPrefix + id }
func CancelKey(id string) string { return cancelPrefix + id }
func RecordKey(id string) string { return recordPrefix + id }

// TombstoneKey returns the key of the tombstone of a job: its tenant has cancelled it before it was stored, so its submission, which may
// still be on its way, must not be stored any more. A tombstone does not concern a job that another tenant submits under the same
// id. The tenant is empty for a job without an API key.
func TombstoneKey(tenant, id string) string {
	sum := sha256.Sum256([]byte(tenant)) // the name may be longer than a key
	return tombstonePrefix + hex.EncodeToString(sum[:tenantHashBytes]) + "/" + id
}

// tenantHashBytes is the number of bytes of the hash of a tenant's name in a key.
const tenantHashBytes = 8

// IsCallerKey reports whether a key is that of a submission, of a cancellation or of a tombstone, which any instance may create.
func IsCallerKey(key string) bool {
	prefix, id := parseKey(key)
	return id != "" && (prefix == jobPrefix || prefix == cancelPrefix) || strings.HasPrefix(key, tombstonePrefix)
}

// EncodeSubmission returns the value to store under a job's key.
func EncodeSubmission(s Submission) []byte { return encode(s) }

// SubmittedTenant returns the tenant that submitted the job of an encoded Submission.
func SubmittedTenant(b []byte) (string, error) {
	var s struct {
		Tenant string `cbor:"7,keyasint"`
	}
	err := cbor.Unmarshal(b, &s)
	return s.Tenant, errors.Annotate(err, "tenant of a submission")
}

// DecodeRecord decodes the progress record of a job.
func DecodeRecord(b []byte) (batch.Record, error) {
	var r batch.Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, errors.Annotate(err, "record")
	}
	if r.Status > batch.Cancelled {
		return r, errors.Errorf("record: status %d is not known", r.Status)
	}
	return r, nil
}

// decodeJob returns the job of a stored submission.
func decodeJob(id string, item kv.Item) (*batch.Job, error) {
	var s Submission
	if err := cbor.Unmarshal(item.Value, &s); err != nil {
		return nil, errors.Annotatef(err, "job %s", id)
	}
	if err := s.Spec.Validate(); err != nil {
		return nil, errors.Annotatef(err, "job %s", id)
	}
	return s.job(id, item.Rev), nil
}

// job returns the job that was submitted at a revision of the store.
func (s *Submission) job(id string, revision int64) *batch.Job {
	return &batch.Job{ID: id, Revision: revision, Queue: s.Queue, Tenant: s.Tenant, Accepted: s.Accepted, Spec: s.Spec, QueueConfig: s.QueueConfig, ConfigVersion: s.ConfigVersion}
}

// parseKey splits the key of a job, cancellation or record into its prefix and the id of the job.
// Both are empty for any other key.
func parseKey(key string) (prefix, id string) {
	for _, p := range [...]string{jobPrefix, cancelPrefix, recordPrefix} {
		if rest, ok := strings.CutPrefix(key, p); ok {
			return p, rest
		}
	}
	return "", ""
}

// recordTxn is a transaction of the owner with the records that it makes durable.
type recordTxn struct {
	number  int64
	txn     kv.Txn
	records map[string]batch.Record
	// next is the transaction that is sent after this one, or nil.
	next *recordTxn
	// urgent is the number of records for which starts wait.
	urgent int
	// workers are the workers that the workers record in it contains.
	workers []batch.WorkerID
	// forgotten are the jobs whose keys it removes.
	forgotten []string
}
