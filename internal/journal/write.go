package journal

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// outcome is the known end of a write.
type outcome struct {
	// applied says that the key holds the value, or held it before a later write of the key.
	applied bool
	// revision is the version of the key if done.
	revision int64
	// current is the foreign entry that the key holds if not done.
	current platform.KeyValue
}

// writeUntilKnown repeats the identical compare-and-swap until its outcome is known or ctx ends.
func (j *Journal) writeUntilKnown(ctx context.Context, w *write) (outcome, error) {
	delay := j.config.RetryDelay
	for {
		if err := ctx.Err(); err != nil {
			return outcome{}, err
		}
		result, known, err := j.try(ctx, w)
		if known {
			return result, nil
		}
		if pause(ctx, jitter(delay)) != nil {
			return outcome{}, err
		}
		delay = min(2*delay, maxBackoff*j.config.RetryDelay)
	}
}

// jitter spreads the retries of many partitions over the second half of the delay.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

// try sends the write once. After an unknown outcome it reads the key.
func (j *Journal) try(ctx context.Context, w *write) (result outcome, known bool, err error) {
	swapped, err := j.store.CompareAndSwap(ctx, w.key, w.expected, w.value, 0)
	if err == nil && swapped.Applied {
		return outcome{applied: true, revision: swapped.Revision}, true, nil
	}
	if err == nil {
		return w.outcomeFrom(swapped.Current), true, nil
	}
	if !outcomeUnknown(err) {
		return outcome{}, false, err
	}
	w.mayTakeEffect = true
	current, _, readErr := j.store.Get(ctx, w.key)
	if readErr != nil {
		return outcome{}, false, err
	}
	if current.ModRevision <= w.expected {
		return outcome{}, false, err // unchanged, or a stale read
	}
	return w.outcomeFrom(current), true, nil
}

// outcomeFrom decides on a write from an entry that replaced the expected version.
func (w *write) outcomeFrom(current platform.KeyValue) outcome {
	if bytes.Equal(current.Value, w.value) {
		return outcome{applied: true, revision: current.ModRevision}
	}
	return outcome{current: current}
}

// outcomeUnknown reports whether a failed write may have taken effect, now or later. An
// error of another type proves nothing.
func outcomeUnknown(err error) bool {
	var failure *platform.StoreError
	if !errors.As(err, &failure) {
		return true
	}
	return failure.Unknown
}

// pause waits for the delay or the end of ctx.
func pause(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
