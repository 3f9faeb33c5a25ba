package journal

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// outcome is the result of a write once it is known.
type outcome struct {
	// applied says that the write took effect.
	applied bool
	// revision is the revision of the key after the write, if applied.
	revision int64
	// current is the key with the value that another owner wrote, if not applied.
	current platform.KeyValue
}

// writeUntilKnown repeats the identical compare-and-swap until its outcome is known or ctx ends,
// with exponential backoff.
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

// jitter returns a random duration between half of the delay and the delay, so that the retries
// of many partitions do not coincide.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

// try sends the write once. If the outcome is unknown, it reads the key to find out.
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

// outcomeFrom returns the outcome of the write from the key as it was read with a revision above
// the expected one. A value that equals that of the write counts as its effect.
func (w *write) outcomeFrom(current platform.KeyValue) outcome {
	if bytes.Equal(current.Value, w.value) {
		return outcome{applied: true, revision: current.ModRevision}
	}
	return outcome{current: current}
}

// outcomeUnknown reports whether a failed write may have taken effect or may still do so. An
// error that is not a *platform.StoreError counts as an unknown outcome.
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
