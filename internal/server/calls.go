package server

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// refusalWriter counts the errors that are written to it by verdict and reason.
type refusalWriter struct {
	http.ResponseWriter
	scope tally.Scope
}

var _ reply.ErrorObserver = (*refusalWriter)(nil)

// Unwrap lets an http.ResponseController reach the connection.
func (w *refusalWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ObserveError implements reply.ErrorObserver. Both tags have few values.
func (w *refusalWriter) ObserveError(e *verdict.Error) {
	tags := map[string]string{"verdict": e.Verdict.String(), "reason": string(e.Reason)}
	w.scope.Tagged(tags).Counter("refusals").Inc(1)
}

// counted returns the handler that counts the calls of a listener and their errors.
// Requests to services are counted by the package that routes them.
func (m *meters) counted(listener string, h http.Handler) http.Handler {
	scope := m.scope.Tagged(map[string]string{"listener": listener})
	calls := scope.Counter("calls")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Inc(1)
		h.ServeHTTP(&refusalWriter{ResponseWriter: w, scope: scope}, r)
	})
}
