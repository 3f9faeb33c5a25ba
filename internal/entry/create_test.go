package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// storedKeys are the keys of a store that two instances reach.
type storedKeys struct {
	mu     sync.Mutex
	values map[string][]byte
}

// create executes a transaction whose conditions require that keys do not exist, and returns those of them that do.
func (k *storedKeys) create(t kv.Txn) (existing []kv.Item) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range t.If {
		if value, ok := k.values[c.Key]; ok {
			existing = append(existing, kv.Item{Key: c.Key, Value: value, Rev: 1})
		}
	}
	if existing == nil {
		k.values[t.Set[0].Key] = t.Set[0].Value
	}
	return existing
}

func (k *storedKeys) get(key string) (value []byte, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	value, ok = k.values[key]
	return value, ok
}

// silentStore is a store that answers nothing before a time.
type silentStore struct {
	kv.Store
	until time.Time
	keys  *storedKeys
	// late is set if calls that get no answer are executed all the same.
	late bool
	txns int
}

func (s *silentStore) Commit(ctx context.Context, t kv.Txn) (int64, error) {
	s.txns++
	silent := time.Now().Before(s.until)
	if silent && !s.late {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	existing := s.keys.create(t)
	if silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if existing != nil {
		return 0, &kv.ConflictError{Items: existing}
	}
	return 1, nil
}

func (s *silentStore) Get(ctx context.Context, key string) (kv.Item, error) {
	if time.Now().Before(s.until) {
		<-ctx.Done()
		return kv.Item{}, ctx.Err()
	}
	if v, ok := s.keys.get(key); ok {
		return kv.Item{Key: key, Value: v}, nil
	}
	return kv.Item{}, kv.ErrNotFound
}

// ownerPeer answers calls as the instance that owns the jobs.
type ownerPeer struct {
	instance *Instance
	// lost is set if the call is executed but its answer is lost, and refused if it is not delivered.
	lost, refused bool
}

func (p *ownerPeer) Call(ctx context.Context, _ string, k peer.Kind, in, out any) error {
	if k != kindCreate {
		return nil
	}
	if p.refused {
		return verdict.New(verdict.NotRun, verdict.ReasonPeerUnreachable, "refused")
	}
	msg := in.(createMessage)
	a := p.instance.createHere(ctx, msg.newKey())
	if p.lost {
		<-ctx.Done()
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "no answer")
	}
	*out.(*createReply) = createReply{Outcome: a.outcome, Revision: a.revision}
	return nil
}

// absentKey is a key that is created unless it exists.
func absentKey(key, value string) newKey {
	return newKey{key: key, value: []byte(value), conditions: []kv.Condition{{Key: key}}}
}

// createCase is a creation by an instance whose store is silent for a while.
type createCase struct {
	// known is set if the instance knows that the store does not answer it.
	known      bool
	silence    time.Duration
	late       bool
	owner      ownerPeer
	ownerStore silentStore
	noOwner    bool
}

// run creates a key for a caller that waits for three seconds.
func (c *createCase) run(t *testing.T) (result Result, took time.Duration, own *silentStore) {
	bubbletest.Run(t, func(t *testing.T) {
		keys := &storedKeys{values: map[string][]byte{}}
		own = &silentStore{until: time.Now().Add(c.silence), keys: keys, late: c.late}
		c.ownerStore.keys = keys
		i := newInstance(own)
		i.watcher.disconnected.Store(c.known)
		c.owner.instance = New(Options{Name: "owner"}, &c.ownerStore, fakeDecoder{}, nil, nil, zerolog.Nop())
		i.peers = &c.owner
		i.claim = func() *owner.Claim {
			if c.noOwner {
				return nil
			}
			return &owner.Claim{Instance: "owner"}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		startTime := time.Now()
		result = i.create(ctx, absentKey(owner.JobKey("id"), "job")).result()
		took = time.Since(startTime)
		cancel()
		synctest.Wait()
	})
	return result, took, own
}

// The store does not answer one instance. The owner, which reaches the store, creates the key in time.
func TestOwnerCreatesWhatTheStoreDoesNotAnswer(t *testing.T) {
	for name, c := range map[string]*createCase{
		"found now":              {silence: time.Hour},
		"known":                  {silence: time.Hour, known: true},
		"done late by the store": {silence: time.Hour, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, took, own := c.run(t)
			is.Equal(result, Done)
			is.True(took < time.Second)
			value, _ := own.keys.get(owner.JobKey("id"))
			is.Equal(string(value), "job")
		})
	}
}

// A refusal says that the call took no effect, so nothing may have been sent to a store that did not
// answer.
func TestRefusalIsCertain(t *testing.T) {
	for name, c := range map[string]*createCase{
		"nobody owns the jobs":    {silence: time.Hour, known: true, noOwner: true},
		"the owner is away":       {silence: time.Hour, known: true, owner: ownerPeer{refused: true}},
		"the owner hears nothing": {silence: time.Hour, known: true, owner: ownerPeer{refused: true}, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, took, own := c.run(t)
			is.Equal(result, NotRun)
			is.True(took < time.Second) // it does not hold the caller until the deadline
			is.Equal(own.txns, 0)
			is.Equal(len(own.keys.values), 0)
		})
	}
}

// An answer that is lost on the way leaves the outcome open, also if the other way refuses.
func TestLostAnswersLeaveTheOutcomeOpen(t *testing.T) {
	for name, c := range map[string]*createCase{
		"of the store":         {silence: time.Hour, owner: ownerPeer{refused: true}},
		"of the owner":         {silence: time.Hour, known: true, owner: ownerPeer{lost: true}, ownerStore: silentStore{until: time.Now().Add(1 << 62), late: true}},
		"nobody owns the jobs": {silence: time.Hour, noOwner: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, _, _ := c.run(t)
			is.Equal(result, Unknown)
		})
	}
}

// The store answers again. The next call notices that by a read, and is served without the owner.
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	is := is.New(t)
	c := createCase{known: true, noOwner: true}
	result, took, own := c.run(t)
	is.Equal(result, Done)
	is.True(took < relayDelay)
	is.Equal(own.txns, 1)
}

// A caller's time runs out between two attempts. Nothing is sent after that, so the refusal stays certain.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		s := &fakeStore{commitErrs: []error{kv.ErrUnavailable}}
		result := newInstance(s).create(ctx, absentKey(owner.JobKey("id"), "")).result()
		is.Equal(result, NotRun)
	})
}

// An owner of another version replies with an outcome that is not defined here. It counts as unknown.
func TestRepliesOfTheOwner(t *testing.T) {
	for name, c := range map[string]struct {
		reply createReply
		err   error
		want  creation
	}{
		"created":         {createReply{Outcome: creationDone}, nil, creationDone},
		"existed":         {createReply{Outcome: creationExisted}, nil, creationExisted},
		"refused":         {createReply{Outcome: creationRefused}, nil, creationRefused},
		"another version": {createReply{Outcome: 250}, nil, creationUnknown},
		"not sent":        {createReply{}, verdict.New(verdict.NotRun, verdict.ReasonPeerUnreachable, "refused"), creationRefused},
		"answer lost":     {createReply{}, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "no answer"), creationUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := c.reply.attempt(c.err).outcome
			is.Equal(got, c.want)
			is.True(got.String() != "")
		})
	}
}
