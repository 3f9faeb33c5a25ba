package bodybudget

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/refusals"
)

// retryAfter is the time after which a caller whose request was refused is asked to return. Requests that have stalled
// are ended within it if others need their bytes.
const retryAfter = 2 * time.Second

// refusedTime bounds the time for which the rest of a refused body is received, so that a caller who is still sending gets
// the response: a connection with unread data is reset when it is closed.
const refusedTime = time.Second

type contextKey struct{}

// request is the budget of a request and what has been read of it.
type request struct {
	budget   *Budget
	recorder *refusals.Recorder

	mu     sync.Mutex
	bodies []*Body
	// unread bounds the rest of a refused body, in bytes; 0 if no body was refused.
	unread int64
}

// Handler returns a handler that calls h with requests whose bodies ReadRequest charges to the budget. What a request
// holds is released when h returns. Refusals are recorded by recorder.
func (b *Budget) Handler(h http.Handler, recorder *refusals.Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := &request{budget: b, recorder: recorder}
		defer q.release()
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), contextKey{}, q)))
		q.discardUnread(w, r.Body)
	})
}

// discardUnread sends the response to a refused request, and then receives the rest of its body without keeping it.
func (q *request) discardUnread(w http.ResponseWriter, body io.Reader) {
	q.mu.Lock()
	unread := q.unread
	q.mu.Unlock()
	if unread == 0 {
		return
	}
	_ = http.NewResponseController(w).Flush() // fails only without a connection
	setDeadline := deadlineOf(w)
	if setDeadline(time.Now().Add(refusedTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, body, unread) // an error ends the connection, too
	_ = setDeadline(past)                     // no more is awaited
}

func (q *request) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, body := range q.bodies {
		body.Release()
	}
}

// unlimited is the budget of requests that come without one.
var unlimited = New(math.MaxInt64/2, tally.NoopScope)

// ReadRequest reads the body of a request, of at most limit bytes, as Budget.ReadAll does. If it is refused, the rest
// of the body is discarded, the connection is closed after the response, and the response has the header Retry-After
// if the request may be sent again.
func ReadRequest(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	q, found := r.Context().Value(contextKey{}).(*request)
	if !found {
		q = &request{budget: unlimited}
	}
	setDeadline := deadlineOf(w)
	body, err := q.budget.ReadAll(Source{Body: r.Body, Length: r.ContentLength, Limit: limit, SetDeadline: setDeadline})
	if err != nil {
		q.refuse(w, err, limit)
		_ = setDeadline(past) // what is not read is awaited only after the response
		return nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bodies = append(q.bodies, body)
	return body, nil
}

// refuse sets the headers of the response to a body, of at most limit bytes, that was not read.
func (q *request) refuse(w http.ResponseWriter, err error, limit int64) {
	q.mu.Lock()
	q.unread = limit
	q.mu.Unlock()
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, ErrFull):
		q.record(refusals.BytesHeld)
	case errors.Is(err, ErrTooSlow):
		q.record(refusals.TooSlow)
	default:
		return
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
}

func (q *request) record(reason refusals.Reason) {
	if q.recorder != nil {
		q.recorder.Record(reason)
	}
}

// deadlineOf returns the function that sets the deadline for reads of a request's body. It does nothing for writers
// without a connection, such as recorders.
func deadlineOf(w http.ResponseWriter) func(time.Time) error {
	controller := http.NewResponseController(w)
	return func(t time.Time) error {
		err := controller.SetReadDeadline(t)
		if errors.Is(err, http.ErrNotSupported) {
			return nil
		}
		return err
	}
}

// IsRefusal reports whether an error of ReadRequest means that the request may be sent again later.
func IsRefusal(err error) bool {
	return errors.Is(err, ErrFull) || errors.Is(err, ErrTooSlow)
}
