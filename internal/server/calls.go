package server

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// errorCountingWriter counts the errors that handlers write to it, by verdict and reason.
type errorCountingWriter struct {
	http.ResponseWriter
	scope tally.Scope
}

var _ reply.ErrorObserver = (*errorCountingWriter)(nil)

// Unwrap lets an http.ResponseController reach the connection.
func (w *errorCountingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ObserveError implements reply.ErrorObserver. Both tags have a small, fixed set of values, which
// bounds the number of time series.
func (w *errorCountingWriter) ObserveError(e *verdict.Error) {
	tags := map[string]string{"verdict": e.Verdict.String(), "reason": string(e.Reason)}
	w.scope.Tagged(tags).Counter("refusals").Inc(1)
}

// countCalls wraps h so that the calls of a listener and their errors are counted.
// Package route counts the requests to services itself.
func (m *instanceMetrics) countCalls(listener string, h http.Handler) http.Handler {
	scope := m.scope.Tagged(map[string]string{"listener": listener})
	calls := scope.Counter("calls")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Inc(1)
		h.ServeHTTP(&errorCountingWriter{ResponseWriter: w, scope: scope}, r)
	})
}
