package entry

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// unavailableTimeout is how long the creation of a key is retried while the store refuses it as
	// unavailable. The caller is then told that it did not run.
	unavailableTimeout = 300 * time.Millisecond
	// relayDelay is how long the store may take to answer before the owner is asked to create the
	// key as well.
	relayDelay = 250 * time.Millisecond
	// probeTimeout bounds the read that shows whether the store answers again.
	probeTimeout = 200 * time.Millisecond
	// relayTimeout bounds the call that asks the owner.
	relayTimeout = time.Second
)

// newKey is a key to create. All attempts at it are identical.
type newKey struct {
	key   string
	value []byte
	// conditions must hold for the creation. One of them says that the key does not exist, unless it may be overwritten.
	conditions []kv.Condition
	// sendUntil is when the last attempt may be sent, on the clock of the instance; 0 for no such time.
	sendUntil time.Duration
}

// creation is the outcome of an attempt to create a key.
type creation uint8

// The outcomes.
const (
	creationUnknown creation = iota // the key may have been created, or may be created later
	creationDone                    // this attempt created the key
	creationExisted                 // the key existed
	creationRefused                 // this attempt created nothing and never will
	// creationExcluded says that a condition on another key does not hold, so this attempt created nothing and never will.
	creationExcluded
)

// createAttempt is an attempt to create a key, or several attempts at the same key.
type createAttempt struct {
	outcome creation
	// revision is the revision of the store at which it created the key; 0 if it is not known to have done so.
	revision int64
	// mayFollow is set if the outcome of one of several attempts is unknown, so that it may yet create the key.
	mayFollow bool
}

// stored reports whether the key is known to exist.
func (a createAttempt) stored() bool {
	return a.outcome == creationDone || a.outcome == creationExisted
}

// or returns two attempts at the same key together.
func (a createAttempt) or(other createAttempt) createAttempt {
	mayFollow := a.mayFollow || other.mayFollow || a.outcome == creationUnknown || other.outcome == creationUnknown
	switch {
	case a.stored():
		return a
	case other.stored():
		return other
	case a.outcome == creationExcluded || other.outcome == creationExcluded:
		return createAttempt{outcome: creationExcluded, mayFollow: mayFollow}
	case mayFollow:
		return createAttempt{outcome: creationUnknown, mayFollow: true}
	default:
		return createAttempt{outcome: creationRefused}
	}
}

// result returns what a caller is told of an attempt that is not excluded.
func (a createAttempt) result() Result {
	switch {
	case a.stored():
		return Done
	case a.outcome == creationRefused:
		return NotRun
	default:
		return Unknown
	}
}

// create creates a key. It retries until the outcome is known or ctx
// ends, and returns all attempts together. Once the outcome of one attempt is unknown, the
// refusal of a later attempt does not prove that the key was not created.
func (i *Instance) create(ctx context.Context, key newKey) createAttempt {
	startTime := time.Now()
	all := createAttempt{outcome: creationRefused}
	for ctx.Err() == nil && i.maySend(key) {
		all = all.or(i.attemptCreate(ctx, key))
		if all.stored() || all.outcome == creationExcluded {
			break
		}
		if all.outcome == creationRefused && time.Since(startTime) > refusalTime(ctx, startTime) {
			break
		}
		pause.For(ctx, retryInterval)
	}
	return all
}

// maySend reports whether an attempt at the key may still be sent. The clock goes on while the process or its machine stands still.
func (i *Instance) maySend(key newKey) bool {
	return key.sendUntil == 0 || i.watcher.clock() < key.sendUntil
}

// refusalTime returns how long refused attempts are repeated: unavailableTimeout, or a quarter of the
// time for which the caller waits if that is less.
func refusalTime(ctx context.Context, startTime time.Time) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(unavailableTimeout, deadline.Sub(startTime)/4)
	}
	return unavailableTimeout
}

// attemptCreate makes one attempt. If the store does not answer this instance, the owner is asked too: the
// store may be cut off from some instances only.
func (i *Instance) attemptCreate(ctx context.Context, key newKey) createAttempt {
	own := make(chan createAttempt, 1)
	go func() { own <- i.createHere(ctx, key) }()
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	select {
	case a := <-own:
		if a.outcome == creationRefused && i.watcher.disconnected.Load() {
			return i.relayCreate(ctx, key)
		}
		return a
	case <-timer.C:
	}
	relayed := make(chan createAttempt, 1)
	go func() { relayed <- i.relayCreate(ctx, key) }()
	select {
	case a := <-own:
		if a.stored() {
			return a
		}
		return a.or(<-relayed)
	case a := <-relayed:
		if a.stored() {
			return a
		}
		return a.or(<-own)
	}
}

// createHere makes one attempt at the store. If the store did not answer before, it is asked by a read
// first, which has no effect if it is carried out late, so that a refusal stays certain.
func (i *Instance) createHere(ctx context.Context, key newKey) createAttempt {
	if i.watcher.disconnected.Load() && !i.storeAnswers(ctx, key.key) {
		return createAttempt{outcome: creationRefused}
	}
	return i.createInStore(ctx, key)
}

// storeAnswers reports whether the store answers a read within probeTimeout.
func (i *Instance) storeAnswers(ctx context.Context, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := i.store.Get(ctx, key)
	if !answered(err) && !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	i.watcher.setDisconnected(false, nil)
	return true
}

// createInStore makes one attempt at the store.
func (i *Instance) createInStore(ctx context.Context, key newKey) createAttempt {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	revision, err := i.store.Commit(ctx, kv.Txn{If: key.conditions, Set: []kv.Write{{Key: key.key, Value: key.value}}})
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		return createAttempt{outcome: creationDone, revision: revision}
	case errors.As(err, &conflict):
		return createAttempt{outcome: key.conflictOutcome(conflict)}
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrInvalid):
		return createAttempt{outcome: creationRefused}
	default:
		return createAttempt{outcome: creationUnknown}
	}
}

// conflictOutcome returns the outcome of an attempt that met a conflict. It is unknown if the conflict does not tell which condition
// does not hold.
func (k newKey) conflictOutcome(conflict *kv.ConflictError) creation {
	outcome := creationUnknown
	for _, c := range k.conditions {
		switch {
		case conflict.Revision(c.Key) == c.Rev:
		case c.Key == k.key:
			return creationExisted
		default:
			outcome = creationExcluded
		}
	}
	return outcome
}

// relayCreate asks the owner to create the key. The outcome is creationRefused if another instance is not
// known to be the owner.
func (i *Instance) relayCreate(ctx context.Context, key newKey) createAttempt {
	claim := i.claim()
	if claim == nil || claim.Instance == i.name {
		return createAttempt{outcome: creationRefused}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply createReply
	err := i.peers.Call(ctx, claim.Address, kindCreate, newCreateMessage(key), &reply)
	a := reply.attempt(err)
	i.log.Info().Str("event", "create.relayed").Str("key", key.key).Str("owner", claim.Instance).
		Str("outcome", a.outcome.String()).AnErr("cause", err).Send()
	return a
}

// attempt returns the attempt of a call that returned the reply and err. An outcome that is not defined here,
// which another version may send, counts as unknown.
func (r createReply) attempt(err error) createAttempt {
	switch {
	case err == nil && r.Outcome <= creationExcluded:
		return createAttempt{outcome: r.Outcome, revision: r.Revision}
	case err != nil && verdict.Of(err) == verdict.NotRun:
		return createAttempt{outcome: creationRefused}
	default:
		return createAttempt{outcome: creationUnknown}
	}
}

// String returns the name used in logs.
func (c creation) String() string {
	return [...]string{"unknown", "created", "existed", "refused", "excluded"}[c]
}
