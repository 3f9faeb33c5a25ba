package reply

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

func TestStatusOfReasons(t *testing.T) {
	cases := []struct {
		name    string
		reasons []verdict.Reason
		want    int
	}{
		{"invalid input is a bad request", []verdict.Reason{verdict.ReasonInvalid}, 400},
		{"a missing permission is forbidden", []verdict.Reason{verdict.ReasonForbidden}, 403},
		{"an unknown ID is not found", []verdict.Reason{verdict.ReasonUnknownID}, 404},
		{"a call that contradicts another call is a conflict", []verdict.Reason{verdict.ReasonDuplicate, verdict.ReasonConflict, verdict.ReasonCancelled}, 409},
		{"a body over its limit is too large", []verdict.Reason{verdict.ReasonTooLarge}, 413},
		{"a job that can never run is unprocessable", []verdict.Reason{verdict.ReasonUnfeasible}, 422},
		{"an exhausted quota is too many requests", []verdict.Reason{verdict.ReasonQuota}, 429},
		{"a failure of a target, peer or worker is a bad gateway", []verdict.Reason{verdict.ReasonTargetFailed, verdict.ReasonTruncated, verdict.ReasonPeerUnreachable, verdict.ReasonWorkerFailed}, 502},
		{"a call that may succeed elsewhere or later is unavailable", []verdict.Reason{verdict.ReasonOverload, verdict.ReasonStoreUnavailable, verdict.ReasonNoTarget, verdict.ReasonNotOwner, verdict.ReasonShutdown, verdict.ReasonConfigStale, verdict.ReasonDataCentreOut, verdict.ReasonClaimsExhausted}, 503},
		{"a deadline that passed is a gateway timeout", []verdict.Reason{verdict.ReasonDeadline}, 504},
		{"an unknown reason, which a newer instance may send, is unavailable", []verdict.Reason{"no-such-reason"}, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, r := range c.reasons {
				if got := StatusCode(r); got != c.want {
					t.Errorf("%s: got %d, want %d", r, got, c.want)
				}
			}
		})
	}
}

func TestErrors(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		status int
		want   verdict.Error
	}{
		{"an error keeps verdict, reason and message", verdict.New(verdict.NotRun, verdict.ReasonQuota, "full"), 429, verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonQuota, Message: "full"}},
		{"a wrapped error keeps them too", fmt.Errorf("outer: %w", verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "down")), 503, verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable, Message: "down"}},
		{"an error without a verdict may have run", errors.New("lost"), 502, verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonPeerUnreachable, Message: "lost"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			Error(w, c.err)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Content-Type"), "application/json")
			is.Equal(w.Header().Get(VerdictHeader), c.want.Verdict.String())
			var got verdict.Error
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
			is.Equal(got, c.want)
			is.True(strings.HasSuffix(w.Body.String(), "}\n"))
		})
	}
}

// observer records the reasons of the errors that are written to it.
type observer struct {
	*httptest.ResponseRecorder
	seen []verdict.Reason
}

func (o *observer) ObserveError(e *verdict.Error) { o.seen = append(o.seen, e.Reason) }

func TestObserverReceivesErrorsOnly(t *testing.T) {
	is := is.New(t)
	o := &observer{ResponseRecorder: httptest.NewRecorder()}
	JSON(o, http.StatusOK, 1)
	is.Equal(len(o.seen), 0)
	Error(o, verdict.New(verdict.NotRun, verdict.ReasonQuota, "full"))
	is.Equal(o.seen, []verdict.Reason{verdict.ReasonQuota})
}

func TestJSON(t *testing.T) {
	cases := []struct {
		name    string
		value   any
		status  int
		verdict string
		body    string
	}{
		{"a value has the verdict ran", map[string]int{"a": 1}, 202, "ran", "{\n  \"a\": 1\n}\n"},
		{"a value that cannot be encoded has the verdict ran as well", func() {}, 400, "ran", "encode response"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			JSON(w, http.StatusAccepted, c.value)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(VerdictHeader), c.verdict)
			is.True(strings.Contains(w.Body.String(), c.body))
		})
	}
}

// truncatedBody ends before its Content-Length, as when the client disconnects.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestDecode(t *testing.T) {
	const limit = 40
	type job struct {
		Name string `json:"name"`
		Size int    `json:"size"`
	}
	cases := []struct {
		name   string
		body   io.Reader
		reason verdict.Reason
		want   string
	}{
		{"a complete value is read", strings.NewReader(`{"name":"a","size":3}`), "", ""},
		{"white space after the value is ignored", strings.NewReader("{}\n \n"), "", ""},
		{"a body at the limit is read", strings.NewReader(`{"name":"` + strings.Repeat("x", limit-len(`{"name":""}`)) + `"}`), "", ""},
		{"a body one byte above the limit is too large", strings.NewReader(`{"name":"` + strings.Repeat("x", limit+1-len(`{"name":""}`)) + `"}`), verdict.ReasonTooLarge, "more than 40 bytes"},
		{"an empty body is reported as empty", strings.NewReader(""), verdict.ReasonInvalid, "it is empty"},
		{"an incomplete value is reported as ending too early", strings.NewReader(`{"name":"a"`), verdict.ReasonInvalid, "it ends too early"},
		{"a body that ends before its Content-Length is refused", truncatedBody{strings.NewReader(`{"name":"a"}`)}, verdict.ReasonInvalid, "could not be read completely"},
		{"the error names an unknown field", strings.NewReader(`{"nmae":"a"}`), verdict.ReasonInvalid, `unknown field "nmae"`},
		{"the error names a field of the wrong type", strings.NewReader(`{"size":"big"}`), verdict.ReasonInvalid, "field size must be a int, not a string"},
		{"the error names a field with a number out of range", strings.NewReader(`{"size":1e99}`), verdict.ReasonInvalid, "field size"},
		{"a second value is refused", strings.NewReader(`{} {}`), verdict.ReasonInvalid, "data after its JSON value"},
		{"text after the value is refused", strings.NewReader(`{} x`), verdict.ReasonInvalid, "data after its JSON value"},
		{"a body that is not JSON is refused", strings.NewReader("team: a"), verdict.ReasonInvalid, "the body is not valid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodPost, "/", c.body)
			var got job
			err := Decode(httptest.NewRecorder(), r, limit, &got)
			if c.reason == "" {
				is.NoErr(err)
				return
			}
			var e *verdict.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Reason, c.reason)
			is.Equal(e.Verdict, verdict.NotRun) // a body that cannot be decoded has no effect
			if !strings.Contains(e.Message, c.want) {
				t.Errorf("got %q, want %q", e.Message, c.want)
			}
		})
	}
}

// Guards against a response whose end the client cannot see while the rest of its refused body is still received.
func TestResponsesHaveALength(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	Error(w, verdict.New(verdict.NotRun, verdict.ReasonOverload, "full"))
	is.Equal(w.Header().Get("Content-Length"), strconv.Itoa(w.Body.Len()))
}
