package route

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// FuzzDecodeRequest checks that no header or body makes the decoder panic, accept a value
// beyond its limit, or refuse with another verdict than NotRun.
func FuzzDecodeRequest(f *testing.F) {
	f.Add("levy-desk", "calculate", "k1", "250", "maker", "text/plain", []byte("volume=12"))
	f.Add("levy-desk", "file", "", "", "", "", []byte{})
	f.Add("levy-desk", "../file", "a b", "-1", "\x00", "x", []byte("x"))
	f.Add("", "", "k", "99999999999999999999", "c", "", []byte(nil))
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, service, path, key, timeout, customer, contentType string, body []byte) {
		req := httptest.NewRequest(http.MethodPost, "/v1/requests/x/y", bytes.NewReader(body))
		req.SetPathValue("service", service)
		req.SetPathValue("path", path)
		req.Header[HeaderKey] = []string{key}
		req.Header[HeaderTimeout] = []string{timeout}
		req.Header[HeaderCustomer] = []string{customer}
		req.Header["Content-Type"] = []string{contentType}
		r, err := decodeRequest(httptest.NewRecorder(), req, testDocument(), now)
		if err != nil {
			if verdict.Of(err) != verdict.NotRun {
				t.Fatalf("refused with %v", err)
			}
			return
		}
		if len(r.Key) > len(service)+1+MaxKeyBytes || r.Key == "" || len(r.Customer) > MaxKeyBytes {
			t.Fatalf("accepted key %q of customer %q", r.Key, r.Customer)
		}
		if left := r.Deadline.Sub(now); left <= 0 || left > 5*time.Second {
			t.Fatalf("accepted a deadline in %v", left)
		}
		if !bytes.Equal(r.Body, body) {
			t.Fatalf("body changed")
		}
	})
}
