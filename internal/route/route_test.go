package route

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

func TestEachClassIsAnswered(t *testing.T) {
	for _, class := range []model.RequestClass{model.Idempotent, model.Exclusive, model.AtMostOnce} {
		t.Run("a request of class "+string(class)+" is executed once and answered", func(t *testing.T) {
			is := is.New(t)
			target, claims := newTarget(t, respondWithKey), newClaims()
			d := newDispatcher(t, claims, target.model("runner-1"))
			r := newRequest(class, "k1")
			resp, err := d.Do(context.Background(), r)
			is.NoErr(err)
			is.Equal(string(resp.Body), "answer to levy-desk/k1")
			is.Equal(resp.Target, model.TargetID("runner-1"))
			is.Equal(target.count(r.Key), 1)
			d.settler.wait()
			if class != model.Idempotent {
				is.Equal(claims.claims[r.Key].Verdict, verdict.Ran)
			}
		})
	}
}

func TestSecondSubmissionOfClaimedKeyIsRefused(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, respondWithKey)
	d := newDispatcher(t, newClaims(), target.model("runner-1"))
	r := newRequest(model.AtMostOnce, "k1")
	_, err := d.Do(context.Background(), r)
	is.NoErr(err)
	d.settler.wait()
	_, err = d.Do(context.Background(), r)
	is.Equal(verdict.From(err, "").Reason, verdict.ReasonDuplicate)
	is.Equal(verdict.Of(err), verdict.Ran) // the verdict of the first submission
	is.Equal(target.count(r.Key), 1)
}

func TestHandlerAnswersAndRefuses(t *testing.T) {
	target := newTarget(t, respondWithKey)
	d := newDispatcher(t, newClaims(), target.model("runner-1"))
	mux := http.NewServeMux()
	mux.Handle(RequestsPattern, Handler(d))
	server := httptest.NewServer(mux)
	defer server.Close()
	cases := []struct {
		name    string
		path    string
		header  map[string]string
		body    string
		status  int
		verdict string
	}{
		{"a request is answered by a target", "levy-desk/calculate", map[string]string{HeaderKey: "a"}, "x", 200, "ran"},
		{"an idempotent request needs no key", "levy-desk/calculate", nil, "x", 200, "ran"},
		{"a claimed request needs a key", "levy-desk/file", nil, "x", 400, "not-run"},
		{"an unknown service is not found", "other/calculate", nil, "x", 404, "not-run"},
		{"an unknown path is not found", "levy-desk/other", nil, "x", 404, "not-run"},
		{"a timeout that is no number is refused", "levy-desk/calculate", map[string]string{HeaderTimeout: "soon"}, "x", 400, "not-run"},
		{"a negative timeout is refused", "levy-desk/calculate", map[string]string{HeaderTimeout: "-1"}, "x", 400, "not-run"},
		{"a long key is refused", "levy-desk/calculate", map[string]string{HeaderKey: strings.Repeat("k", MaxKeyBytes+1)}, "x", 400, "not-run"},
		{"a key with a space is refused", "levy-desk/calculate", map[string]string{HeaderKey: "a b"}, "x", 400, "not-run"},
		{"a large body is refused", "levy-desk/calculate", nil, strings.Repeat("x", MaxRequestBodyBytes+1), 413, "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/requests/"+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			for name, value := range c.header {
				req.Header.Set(name, value)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(HeaderVerdict), c.verdict)
			if c.status != http.StatusOK {
				var e verdict.Error
				is.NoErr(json.Unmarshal(body, &e))
				is.Equal(e.Verdict.String(), c.verdict)
				is.True(e.Reason != "" && e.Message != "")
			}
		})
	}
}
