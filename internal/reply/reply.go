// Package reply writes the responses of the HTTP API and reads its JSON request bodies, so
// that every error has a verdict and the same JSON form.
package reply

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/bodybudget"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// VerdictHeader is the response header with the verdict.
const VerdictHeader = "Geraniumwick-Verdict"

// JSON writes v as the response of a call that was executed.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		Error(w, verdict.New(verdict.Ran, verdict.ReasonInvalid, "encode response: %v", err))
		return
	}
	write(w, status, verdict.Ran, body)
}

// Error writes the verdict, the reason and the message of err, with the HTTP status of the
// reason.
func Error(w http.ResponseWriter, err error) {
	e := verdict.From(err, verdict.ReasonPeerUnreachable)
	ErrorWithBody(w, e, e)
}

// ErrorObserver is implemented by response writers that record the errors written to them.
type ErrorObserver interface {
	// ObserveError is called before the error is written.
	ObserveError(e *verdict.Error)
}

// ErrorWithBody writes body, which contains the fields of e and may contain others, with the
// HTTP status of the reason of e.
func ErrorWithBody(w http.ResponseWriter, e *verdict.Error, body any) {
	if o, ok := w.(ErrorObserver); ok {
		o.ObserveError(e)
	}
	encoded, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		encoded = []byte(`{}`)
	}
	write(w, StatusCode(e.Reason), e.Verdict, encoded)
}

// write sends the headers, the status and the body.
func write(w http.ResponseWriter, status int, v verdict.Verdict, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(VerdictHeader, v.String())
	body = append(body, '\n')
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// If this fails, the client has disconnected and cannot receive an error either.
	_, _ = w.Write(body)
}

// StatusCode returns the HTTP status of a reason.
func StatusCode(r verdict.Reason) int {
	switch r {
	case verdict.ReasonInvalid:
		return http.StatusBadRequest
	case verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonForbidden:
		return http.StatusForbidden
	case verdict.ReasonUnknownID:
		return http.StatusNotFound
	case verdict.ReasonDuplicate, verdict.ReasonConflict, verdict.ReasonCancelled:
		return http.StatusConflict
	case verdict.ReasonUnfeasible:
		return http.StatusUnprocessableEntity
	case verdict.ReasonQuota:
		return http.StatusTooManyRequests
	case verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	case verdict.ReasonTargetFailed, verdict.ReasonTruncated, verdict.ReasonPeerUnreachable, verdict.ReasonWorkerFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// ReadBody reads the whole request body, of at most limit bytes. It is charged to the listener's budget until the
// request has been handled.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := bodybudget.ReadRequest(w, r, limit)
	switch {
	case err == nil:
		return body.Bytes, nil
	case errors.Is(err, bodybudget.ErrTooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body has more than %d bytes", limit)
	case bodybudget.IsRefusal(err):
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%v", err)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the body could not be read completely: %v", err)
	}
}

// Decode reads a JSON request body of at most limit bytes into v. It refuses unknown fields and
// data after the value.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	body, err := ReadBody(w, r, limit)
	if err != nil {
		return err
	}
	return DecodeBytes(body, v)
}
