package owner

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// stopRepeatedly asks a worker to stop a task, with copies of the request until one is answered.
func (l *leader) stopRepeatedly(ctx context.Context, r TaskRequest) batch.Answer {
	return l.repeatCall(ctx, callStop, r.Worker, func(ctx context.Context) batch.Answer { return l.owner.workers.Stop(ctx, r) })
}

// callRepeatDelay is how long a worker may take to answer a start or a stop before the identical request is sent
// again: its answer may be lost, or it may be carried out late.
const callRepeatDelay = 100 * time.Millisecond

// maxOpenCalls is the number of starts and stops without an answer from which on a worker gets no more copies: it must
// leave connections to the renewals of its lease.
const maxOpenCalls = 5

// openCalls counts the calls to each worker that have no answer yet.
type openCalls struct {
	mu     sync.Mutex
	counts map[batch.WorkerID]int
}

func (o *openCalls) add(id batch.WorkerID, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[batch.WorkerID]int{}
	}
	o.counts[id] += n
	if o.counts[id] == 0 {
		delete(o.counts, id)
	}
}

// addCopy counts a copy unless maxOpenCalls calls to the worker are open, and reports whether it did.
func (o *openCalls) addCopy(id batch.WorkerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts[id] >= maxOpenCalls {
		return false
	}
	o.counts[id]++
	return true
}

// repeatCall makes a call that has the same effect however often it is made, and makes it again each callRepeatDelay
// until one takes effect or ctx ends. A refusal of one copy says nothing about the others: the outcome is a refusal only
// if all are refused.
func (l *leader) repeatCall(ctx context.Context, kind callKind, worker batch.WorkerID, call func(context.Context) batch.Answer) batch.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan batch.Answer, workerCallTimeout/callRepeatDelay)
	send := func() {
		defer l.openCalls.add(worker, -1)
		answer := call(ctx)
		l.calls.add(kind, answer)
		answers <- answer
	}
	ticker := time.NewTicker(callRepeatDelay)
	defer ticker.Stop()
	l.openCalls.add(worker, 1)
	go send()
	maxCopies := cap(answers)
	for sent, refused := 1, 0; ; {
		select {
		case answer := <-answers:
			switch answer {
			case batch.AnswerNone:
				continue
			case batch.AnswerFenced:
				return answer
			case batch.AnswerOK:
				if sent > 1 {
					return batch.AnswerOKRepeated
				}
				return answer
			}
			if refused++; refused == sent {
				return answer
			}
			if answer != batch.AnswerRefused {
				maxCopies = sent // another copy would be refused, too
			}
		case <-ticker.C:
			if sent < maxCopies && ctx.Err() == nil && l.mayAct() && l.openCalls.addCopy(worker) {
				sent++
				go send()
			}
		case <-ctx.Done():
			return batch.AnswerNone
		}
	}
}
