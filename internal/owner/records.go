package owner

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// The keys of the store.
const (
	claimKey = "gw/claim" // who owns the jobs; under a lease
	headKey  = "gw/head"  // epoch and number of the owner's last transaction
	// Instances write what they accept below inPrefix.
	inPrefix     = "gw/in/"
	jobPrefix    = inPrefix + "job/"
	cancelPrefix = inPrefix + "cancel/"
	// The owner alone writes below outPrefix.
	outPrefix    = "gw/out/"
	recordPrefix = outPrefix + "job/"
	knownKey     = outPrefix + "workers"
	learnedKey   = outPrefix + "learned"
)

// commitHead is the value of headKey. Each transaction of an owner requires the head that
// the former one left, so that none can be executed late or by a deposed owner.
type commitHead struct {
	Epoch  int64 `cbor:"1,keyasint"`
	Number int64 `cbor:"2,keyasint"`
}

// Submission is an accepted job in the store.
type Submission struct {
	Queue    string     `cbor:"1,keyasint"`
	Accepted time.Time  `cbor:"3,keyasint"`
	Spec     batch.Spec `cbor:"4,keyasint"`
	// QueueConfig is the queue as it was configured then; it holds if the queue is removed.
	QueueConfig batch.Queue `cbor:"5,keyasint"`
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encode writes one of the package's own types, which always can be written.
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

// JobKey returns the key of an accepted job, CancelKey that of its cancellation, RecordKey
// that of its progress.
func JobKey(id string) string    { return jobPrefix + id }
func CancelKey(id string) string { return cancelPrefix + id }
func RecordKey(id string) string { return recordPrefix + id }

// EncodeSubmission returns the value of a job's key.
func EncodeSubmission(s Submission) []byte { return encode(s) }

// DecodeRecord reads the progress of a job.
func DecodeRecord(b []byte) (batch.Record, error) {
	var r batch.Record
	return r, errors.Annotate(cbor.Unmarshal(b, &r), "record")
}

func decodeJob(id string, b []byte) (*batch.Job, error) {
	var s Submission
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, errors.Annotatef(err, "job %s", id)
	}
	return s.job(id), nil
}

// job returns the job that was submitted.
func (s *Submission) job(id string) *batch.Job {
	return &batch.Job{ID: id, Queue: s.Queue, Accepted: s.Accepted, Spec: s.Spec, QueueConfig: s.QueueConfig}
}

// split returns the kind of an accepted entry and the job that it names.
func split(key string) (prefix, id string) {
	for _, p := range [...]string{jobPrefix, cancelPrefix, recordPrefix} {
		if rest, ok := strings.CutPrefix(key, p); ok {
			return p, rest
		}
	}
	return "", ""
}

// batchTxn is a transaction of the owner with what it makes durable.
type batchTxn struct {
	number int64
	// oldest is the mark of the oldest change in it.
	oldest  uint64
	txn     kv.Txn
	records map[string]batch.Record
	known   []batch.WorkerID
}
