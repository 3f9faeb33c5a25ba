package owner

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// callKind is a kind of request to a worker.
type callKind uint8

// The kinds.
const (
	callStart callKind = iota
	callStop
	callThrottle
	callRenewal // asks for a report and renews the lease
	callLook    // asks for a report only
	callKinds
)

// callKindNames are the kinds in the log and in the metrics.
var callKindNames = [callKinds]string{callStart: "start", callStop: "stop", callThrottle: "throttle", callRenewal: "renewal", callLook: "look"}

// callCounts counts requests to workers: those that are open, and others since the last report.
type callCounts struct {
	open             atomic.Int64
	sent, unanswered [callKinds]atomic.Int64
}

// add counts a request with its answer.
func (c *callCounts) add(kind callKind, answer batch.Answer) {
	c.sent[kind].Add(1)
	if answer == batch.AnswerNone {
		c.unanswered[kind].Add(1)
	}
}

// beginCall counts a request to a worker as open.
func (l *leader) beginCall() { l.calls.open.Add(1) }

// endCall counts a request to a worker with its answer, which allows retries.
func (l *leader) endCall(kind callKind, worker *workerRequests, answer batch.Answer) {
	l.calls.open.Add(-1)
	l.calls.add(kind, answer)
	if answer != batch.AnswerNone && answer != batch.AnswerUnsent {
		worker.retries.earn()
		l.limiter.NoteAnswer()
	}
}

// reportCalls adds the requests since the last report to the metrics, and logs them if one got no answer.
func (l *leader) reportCalls() {
	var b strings.Builder
	for kind, name := range callKindNames {
		sent, unanswered := l.calls.sent[kind].Swap(0), l.calls.unanswered[kind].Swap(0)
		tagged := l.owner.opts.Scope.Tagged(map[string]string{"kind": name})
		tagged.Counter("worker_requests").Inc(sent)
		tagged.Counter("worker_requests_unanswered").Inc(unanswered)
		if unanswered == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%d of %d %s", unanswered, sent, name)
	}
	if b.Len() > 0 {
		l.log.Info().Str("event", "calls.unanswered").Str("why", "requests to workers without an answer: "+b.String()).Send()
	}
}
