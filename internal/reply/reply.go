// Package reply writes the answers of the HTTP surface and reads its JSON bodies, so that
// every error has a verdict and the same form.
package reply

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// VerdictHeader carries the verdict of an answer.
	VerdictHeader = "Geraniumwick-Verdict"
	// bodyTimeout bounds the time in which a body must arrive.
	bodyTimeout = 10 * time.Second
)

// JSON writes the value as the answer of a call that was executed.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		Error(w, verdict.New(verdict.Ran, verdict.ReasonInvalid, "encode answer: %v", err))
		return
	}
	write(w, status, verdict.Ran, body)
}

// Error writes the verdict, the reason and the message of err with a fitting status.
func Error(w http.ResponseWriter, err error) {
	e := verdict.From(err, verdict.ReasonPeerUnreachable)
	ErrorWithBody(w, e, e)
}

// ErrorObserver is a response writer that wants to know of the error that is written to it.
type ErrorObserver interface {
	// ObserveError is called before the error is written.
	ObserveError(e *verdict.Error)
}

// ErrorWithBody writes body, which holds the fields of e and more, with the status of e.
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

// write sends headers and body.
func write(w http.ResponseWriter, status int, v verdict.Verdict, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(VerdictHeader, v.String())
	w.WriteHeader(status)
	// The caller has gone if this fails; nothing is left to tell it.
	_, _ = w.Write(append(body, '\n'))
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

// ReadBody reads the whole body, at most limit bytes, within a fixed time.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	connection := http.NewResponseController(w)
	// A writer without a connection has no deadline, which is no fault.
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body has more than %d bytes", limit)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the body did not arrive whole: %v", err)
}

// Decode reads a JSON body of at most limit bytes into v. Unknown fields and further data
// are refused.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	body, err := ReadBody(w, r, limit)
	if err != nil {
		return err
	}
	return DecodeBytes(body, v)
}
