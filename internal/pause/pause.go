// Package pause waits for a time that may be cut short.
package pause

import (
	"context"
	"time"
)

// For waits for the time or the end of ctx.
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
