package workerlease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// calm are the conditions of an undisturbed owner and of a worker with long-running tasks.
func calm() Conditions {
	return Conditions{
		Longest: 6 * time.Second, ClaimTTL: 1200 * time.Millisecond, ReportWait: 300 * time.Millisecond, LongRunning: true,
		SinceTakeOver: time.Minute, SinceConfirmed: 200 * time.Millisecond,
	}
}

// The load: a data centre with hundreds of long-running tasks falls silent, and each stays down until the lease of its worker has
// ended. Guards against leases that are longer than a take-over and renewals need, and against shorter ones.
func TestLengthFollowsFromWhatTheLeaseProtects(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *Conditions)
		want   time.Duration
	}{
		{"calm, next renewal soon", func(*Conditions) {}, 4050 * time.Millisecond},
		{"calm, the worker may wait with its answer", func(c *Conditions) { c.ReportWait = 1500 * time.Millisecond }, 5250 * time.Millisecond},
		{"a claim that ends later makes a take-over longer", func(c *Conditions) { c.ClaimTTL = 2 * time.Second }, 4850 * time.Millisecond},
		{"a take-over needs more than the longest lease", func(c *Conditions) { c.ClaimTTL = 10 * time.Second }, 6 * time.Second},
		{"tasks that end by themselves only", func(c *Conditions) { c.LongRunning = false }, 6 * time.Second},
		{"the owner has just taken over", func(c *Conditions) { c.SinceTakeOver = 5 * time.Second }, 6 * time.Second},
		{"the store does not answer", func(c *Conditions) { c.SinceConfirmed = 700 * time.Millisecond }, 6 * time.Second},
		{"the store answers slowly", func(c *Conditions) { c.SinceConfirmed = 500 * time.Millisecond }, 6 * time.Second},
		{"the store answers, the next renewal of the claim is due", func(c *Conditions) { c.SinceConfirmed = 310 * time.Millisecond }, 4050 * time.Millisecond},
		{"the owner lacks processor time", func(c *Conditions) { c.Overloaded = true }, 6 * time.Second},
		{"answers of the worker are lost", func(c *Conditions) { c.LosesAnswers = true }, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conditions := calm()
			c.change(&conditions)
			is.Equal(Length(conditions), c.want)
		})
	}
}

// Guards against a lease that lapses though its owner was replaced as soon as that is possible: it lasts from the last renewal,
// sent before the longest wait for an answer and the tries after it, over the end of the claim and the next owner's work.
func TestAShortLeaseOutlastsATakeOver(t *testing.T) {
	is := is.New(t)
	for wait := time.Duration(0); wait <= 2*time.Second; wait += 100 * time.Millisecond {
		c := calm()
		c.ReportWait = wait
		left := Length(c) - wait - renewalRetries
		is.True(left >= min(c.ClaimTTL+takeOverWork, c.Longest-wait-renewalRetries))
		is.True(RenewalInterval(Length(c)) < Length(c)-c.ClaimTTL-takeOverWork/2)
	}
}
