package quota

import "time"

// burstTime is for how long a tenant that has sent nothing may send at once what it may send in that time.
const burstTime = time.Second

// Rate tells which jobs of a tenant come faster than its rate (token bucket). The zero value has its whole burst left.
type Rate struct {
	spent float64 // jobs of the burst
	at    time.Time
}

// Admit counts a job that was accepted at a time, and reports whether it is within a number of jobs a second, of which 0 or
// less counts as 1. A clock that is set back neither adds to the burst nor takes from it.
func (r *Rate) Admit(perSecond float64, at time.Time) bool {
	perSecond = effectiveWeight(perSecond)
	passed := max(0, at.Sub(r.at).Seconds())
	r.spent, r.at = max(0, r.spent-perSecond*passed), at
	if r.spent+1 > max(1, perSecond*burstTime.Seconds()) {
		return false
	}
	r.spent++
	return true
}
