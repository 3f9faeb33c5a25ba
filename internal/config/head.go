package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// defaultRetryPause is the wait between two tries of a store call.
const defaultRetryPause = 100 * time.Millisecond

// head is the stored value of HeadKey.
type head struct {
	Revision model.Revision `json:"revision"`
}

// headRead is what one read of HeadKey tells.
type headRead struct {
	// AcceptedRevision is the highest revision of an accepted edit.
	AcceptedRevision model.Revision
	// KeyRevision is the revision of the key itself; zero means that it is absent.
	KeyRevision int64
	// StoreRevision is the store's head revision at the time of the read.
	StoreRevision int64
}

// readHead reads HeadKey. An unreadable value counts as absent: no revision is accepted.
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

// raiseHead makes HeadKey at least revision. The revision never falls, because each write
// replaces a value that was read and that is lower. It retries until ctx ends.
func raiseHead(ctx context.Context, store platform.Store, revision model.Revision, retryPause time.Duration) error {
	value, err := json.Marshal(head{Revision: revision})
	if err != nil {
		return err
	}
	for {
		done, err := tryRaiseHead(ctx, store, revision, value)
		if done {
			return nil
		}
		if waitErr := pause(ctx, retryPause); waitErr != nil {
			if err == nil {
				err = waitErr
			}
			return err
		}
	}
}

// tryRaiseHead makes one attempt; an unknown outcome is resolved by the read of the next.
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

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
