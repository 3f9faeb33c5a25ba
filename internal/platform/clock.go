package platform

import "time"

// Clock returns the current time. Tests substitute their own.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
