package batch

import (
	"slices"
	"time"
)

// throttleRepeatDelay is the pause before a CPU limit is sent again while a copy of an earlier one may undo it.
const throttleRepeatDelay = time.Second

// lateThrottle is a CPU limit of which a request got no answer. The worker may apply it up to maxCallDelay late.
type lateThrottle struct {
	percent int
	until   time.Time // zero until the next report of the worker
}

// noteLateThrottle notes that a request for the present limit got no answer.
func (a *attempt) noteLateThrottle() {
	a.lateThrottles = slices.DeleteFunc(a.lateThrottles, func(l lateThrottle) bool { return l.percent == a.cpuLimit })
	a.lateThrottles = append(a.lateThrottles, lateThrottle{percent: a.cpuLimit})
}

// forgetLateThrottles forgets the limits that the worker will not apply any more. It is called after each of its reports.
func (a *attempt) forgetLateThrottles(now time.Time) {
	for i := range a.lateThrottles {
		if l := &a.lateThrottles[i]; l.until.IsZero() {
			l.until = now.Add(maxCallDelay + throttleRepeatDelay)
		}
	}
	a.lateThrottles = slices.DeleteFunc(a.lateThrottles, func(l lateThrottle) bool { return now.After(l.until) })
}

// mayBeUndone reports whether the present limit is to be sent again, since a request for an earlier one may be carried out
// late.
func (a *attempt) mayBeUndone(now time.Time) bool {
	isOther := func(l lateThrottle) bool { return l.percent != a.cpuLimit }
	return slices.ContainsFunc(a.lateThrottles, isOther) && now.Sub(a.throttleSent) >= throttleRepeatDelay
}
