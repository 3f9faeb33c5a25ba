package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a CPU limit that a late copy of an earlier request replaces for good (issue 42): the newest request is sent
// again until no such copy can be carried out any more, and only then.
func TestACPULimitIsRequestedAgainWhileALateCopyMayReplaceIt(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		first   Answer // to the request for the earlier limit
		changed bool   // the second request is for another limit
		after   time.Duration
		want    bool
	}{
		"all copies answered":              {AnswerOK, true, 2 * time.Second, false},
		"a copy unanswered":                {AnswerOKRepeated, true, 2 * time.Second, true},
		"no answer":                        {AnswerNone, true, 2 * time.Second, true},
		"no answer yet":                    {answerPending, true, 2 * time.Second, true},
		"unanswered, the same limit":       {AnswerNone, false, 2 * time.Second, false},
		"unanswered, too soon":             {AnswerNone, true, throttleRepeatDelay - ms, false},
		"unanswered, after the last copy":  {AnswerNone, true, maxCallDelay + time.Second, true},
		"refused, and not carried out":     {AnswerRefused, true, 2 * time.Second, false},
		"not sent, and not carried out":    {AnswerExpired, true, 2 * time.Second, false},
		"a copy unanswered, but too early": {AnswerOKRepeated, true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			var r throttleRequests
			r.sent(true, now)
			if c.first != answerPending {
				r.answered(c.first, now.Add(ms))
			}
			sent := now.Add(10 * ms)
			r.sent(c.changed, sent)
			r.answered(AnswerOK, sent.Add(ms))
			is.Equal(r.mayBeUndone(sent.Add(c.after)), c.want)
			r.sent(false, now.Add(maxCallDelay+time.Second))
			r.answered(AnswerOK, now.Add(maxCallDelay+time.Second+ms))
			is.True(!r.mayBeUndone(now.Add(2 * maxCallDelay)))
		})
	}
}

// answerPending stands for a request that is not answered yet.
const answerPending = Answer(255)
