package batch

import "time"

// throttleRepeatDelay is the pause before a CPU limit is requested again that a late copy of an earlier request may have
// replaced.
const throttleRepeatDelay = time.Second

// throttleRequests is what is known of the requests for the CPU limit of one attempt. A copy that got no answer may be
// carried out until maxCallDelay later, after newer requests, and replaces the newest limit then.
type throttleRequests struct {
	pending bool      // the newest request has no answer yet
	sentAt  time.Time // when it was sent
	// lateUntil is until when a copy of a request for the present limit may be carried out, and undoneUntil the same for a
	// request for an earlier limit.
	lateUntil, undoneUntil time.Time
}

// sent notes a request for a limit. changed says that the limit differs from that of the request before.
func (r *throttleRequests) sent(changed bool, now time.Time) {
	if r.pending {
		r.lateUntil = now.Add(maxCallDelay)
	}
	if changed {
		r.undoneUntil, r.lateUntil = laterOf(r.undoneUntil, r.lateUntil), time.Time{}
	}
	r.pending, r.sentAt = true, now
}

// answered notes the answer to the newest request.
func (r *throttleRequests) answered(answer Answer, now time.Time) {
	r.pending = false
	if answer == AnswerNone || answer == AnswerOKRepeated {
		r.lateUntil = now.Add(maxCallDelay)
	}
}

// mayBeUndone reports whether the newest request is to be sent again, since a late copy of one for an earlier limit may have
// been carried out since.
func (r *throttleRequests) mayBeUndone(now time.Time) bool {
	return !r.pending && now.Sub(r.sentAt) >= throttleRepeatDelay && r.sentAt.Before(r.undoneUntil)
}
