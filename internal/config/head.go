package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// defaultRetryDelay is the delay between two attempts of a store call.
const defaultRetryDelay = 100 * time.Millisecond

// head is the stored value of HeadKey.
type head struct {
	Revision model.Revision `json:"revision"`
}

// headRead is the result of one read of HeadKey.
type headRead struct {
	// AcceptedRevision is the highest revision of an accepted edit.
	AcceptedRevision model.Revision
	// KeyRevision is the revision of the key itself; zero means that the key does not exist.
	KeyRevision int64
	// StoreRevision is the revision of the whole store at the time of the read.
	StoreRevision int64
}

// readHead reads HeadKey. A value that cannot be decoded gives an accepted revision of zero.
func readHead(ctx context.Context, store platform.Store) (headRead, error) {
	kv, revision, err := store.Get(ctx, HeadKey)
	if err != nil {
		return headRead{}, err
	}
	var h head
	if kv.ModRevision != 0 && json.Unmarshal(kv.Value, &h) != nil {
		h = head{}
	}
	return headRead{AcceptedRevision: h.Revision, KeyRevision: kv.ModRevision, StoreRevision: revision}, nil
}

// raiseHead raises the revision in HeadKey to at least the given one. The stored revision never
// decreases, because each write replaces a lower value by compare-and-swap. It retries until ctx
// ends.
func raiseHead(ctx context.Context, store platform.Store, revision model.Revision, retryDelay time.Duration) error {
	value, err := json.Marshal(head{Revision: revision})
	if err != nil {
		return err
	}
	for {
		done, err := tryRaiseHead(ctx, store, revision, value)
		if done {
			return nil
		}
		if waitErr := sleep(ctx, retryDelay); waitErr != nil {
			if err == nil {
				err = waitErr
			}
			return err
		}
	}
}

// tryRaiseHead makes one attempt. After an unknown outcome, the read of the next attempt shows
// whether the write took effect.
func tryRaiseHead(ctx context.Context, store platform.Store, revision model.Revision, value []byte) (bool, error) {
	h, err := readHead(ctx, store)
	if err != nil {
		return false, err
	}
	if h.AcceptedRevision >= revision {
		return true, nil
	}
	result, err := store.CompareAndSwap(ctx, HeadKey, h.KeyRevision, value, 0)
	if err != nil {
		return false, err
	}
	return result.Applied, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
