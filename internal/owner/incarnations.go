package owner

import (
	"sync"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// restartBits is the number of low bits of a fencing token that count the restarts of a worker.
const restartBits = 16

// fencingToken returns the token of an owner's requests to a worker that was restarted a number of times under it. It rises with
// the epoch, so that a worker refuses requests of former owners, and with each restart, so that a worker refuses requests for
// its former incarnations that are carried out late.
func fencingToken(epoch, restarts int64) int64 {
	return epoch<<restartBits | min(restarts, 1<<restartBits-1)
}

// knownIncarnations holds what an owner knows of the incarnations of all workers. Nothing is forgotten while it leads: a worker
// that the registry lists again has still seen the tokens of before.
type knownIncarnations struct {
	epoch    int64
	mu       sync.Mutex
	byWorker map[batch.WorkerID]knownIncarnation
}

// knownIncarnation is the newest incarnation of a worker that an owner knows, and the number of restarts that it has seen; zero
// if it knows none.
type knownIncarnation struct {
	number, restarts int64
}

func newKnownIncarnations(epoch int64) knownIncarnations {
	return knownIncarnations{epoch: epoch, byWorker: map[batch.WorkerID]knownIncarnation{}}
}

// note notes an incarnation that the registry or a report has shown; 0 shows none.
func (k *knownIncarnations) note(id batch.WorkerID, incarnation int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.byWorker[id]
	if incarnation <= known.number {
		return
	}
	if known.number > 0 {
		known.restarts++
	}
	known.number = incarnation
	k.byWorker[id] = known
}

// replace notes that a worker has an incarnation with a lower number than one that it had before: its time of day was set back.
func (k *knownIncarnations) replace(id batch.WorkerID, incarnation int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.byWorker[id]; incarnation < known.number {
		k.byWorker[id] = knownIncarnation{number: incarnation, restarts: known.restarts + 1}
	}
}

// newest returns the newest incarnation of a worker and the fencing token of requests for it.
func (k *knownIncarnations) newest(id batch.WorkerID) (incarnation, token int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.byWorker[id]
	return known.number, fencingToken(k.epoch, known.restarts)
}

// tokenFor returns the fencing token of requests for an incarnation of a worker. That of a former one is lower than that of the
// newest.
func (k *knownIncarnations) tokenFor(id batch.WorkerID, incarnation int64) int64 {
	newest, token := k.newest(id)
	if incarnation < newest && token > fencingToken(k.epoch, 0) {
		return token - 1
	}
	return token
}
