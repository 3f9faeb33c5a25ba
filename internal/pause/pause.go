// Package pause sleeps for a time unless a context ends earlier.
package pause

import (
	"context"
	"time"
)

// For returns after d or when ctx ends, whichever is first.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
