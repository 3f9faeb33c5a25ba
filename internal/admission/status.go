package admission

import (
	"fmt"
	"strings"
	"time"
)

// PerClass holds a number for each class.
type PerClass [Classes]int

// String returns the numbers with the names of their classes, without those that are 0.
func (p PerClass) String() string {
	var parts []string
	for class, n := range p {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, Class(class)))
		}
	}
	return joinOrNone(parts)
}

// joinOrNone joins the parts of a list for the log.
func joinOrNone(parts []string) string {
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// Counts are the requests since the last call of Limiter.Counts.
type Counts struct {
	// Granted are the requests that were granted, and Delayed those of them that had to wait.
	Granted, Delayed PerClass
	// Waited is how long those of Delayed have waited, all together.
	Waited [Classes]time.Duration
	// GivenUp are the requests whose context ended while they waited.
	GivenUp PerClass
}

// addDelayed counts a request that was granted after a wait.
func (c *Counts) addDelayed(class Class, wait time.Duration) {
	c.Delayed[class]++
	c.Waited[class] += wait
}

// MeanWait returns how long the requests of a class have waited on average; 0 if none had to wait.
func (c Counts) MeanWait(class Class) time.Duration {
	return c.Waited[class] / time.Duration(max(1, c.Delayed[class]))
}

// AnyDelayed reports whether a request had to wait.
func (c Counts) AnyDelayed() bool { return c.Delayed != PerClass{} || c.GivenUp != PerClass{} }

// String describes the counts for the log.
func (c Counts) String() string {
	return fmt.Sprintf("sent: %s; of these after a wait: %s; given up after a wait: %s", c.Granted, c.describeDelayed(), c.GivenUp)
}

// describeDelayed returns the requests that had to wait, with the mean wait of each class.
func (c Counts) describeDelayed() string {
	var parts []string
	for class, n := range c.Delayed {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s (mean %s)", n, Class(class), c.MeanWait(Class(class)).Round(time.Millisecond)))
		}
	}
	return joinOrNone(parts)
}

// Counts returns the requests since its last call.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	l.counts = Counts{}
	return c
}

// Status describes a Limiter.
type Status struct {
	// Rate is the number of requests that are granted a second, and InitialRate the one to begin with.
	Rate, InitialRate float64
	// Lag is the lag that all of the last samples reached.
	Lag time.Duration
	// Waiting are the requests that wait, and WaitingSince is since when some have waited without a break; zero if none
	// waits.
	Waiting      PerClass
	WaitingSince time.Time
}

// Status returns the present status.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Rate: l.rate.current, InitialRate: l.rate.initial, Lag: l.rate.standingLag(), WaitingSince: l.waitingSince}
	for c := range Classes {
		s.Waiting[c] = l.queues[c].len()
	}
	return s
}
