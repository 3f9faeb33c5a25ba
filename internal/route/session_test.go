package route

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// entryRecorder keeps the recorded audit entries.
type entryRecorder struct {
	mu      sync.Mutex
	entries []audit.Entry
}

func (t *entryRecorder) Record(e audit.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = append(t.entries, e)
}

// takeText returns the entries as text, without times and addresses, and clears them.
func (t *entryRecorder) takeText(addresses *strings.Replacer) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out strings.Builder
	for _, e := range t.entries {
		fmt.Fprintf(&out, "  trail %s %s attempt=%d verdict=%q reason=%q\n", e.Subject, e.Event, e.Attempt, e.Verdict, addresses.Replace(e.Reason))
	}
	t.entries = nil
	return out.String()
}

// TestSession submits a sequence of requests over HTTP and compares the responses and the audit
// entries with a golden file.
func TestSession(t *testing.T) {
	is := is.New(t)
	good := newRawTarget(t, echoBody)
	lossy := newRawTarget(t, sendText("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"))
	unreachable := good.model("gone")
	unreachable.Addr = "127.0.0.1:1"
	leaving := good.model("good")
	leaving.Leaving = true
	recorded := &entryRecorder{}
	claims := newClaims()
	d := New(Config{Self: "instance-1", Claims: claims, Recorder: recorded, Log: zerolog.Nop()})
	d.SetDocument(testDocument())
	mux := http.NewServeMux()
	mux.Handle(RequestsPattern, Handler(d))
	server := httptest.NewServer(mux)
	defer server.Close()

	steps := []struct {
		title   string
		targets []model.Target
		path    string
		key     string
		body    string
	}{
		{"a calculation is answered", []model.Target{good.model("good")}, "levy-desk/calculate", "calc-1", "bottles=12"},
		{"a filing is answered", []model.Target{good.model("good")}, "levy-desk/file", "file-1", "return=1"},
		{"the same filing is refused", []model.Target{good.model("good")}, "levy-desk/file", "file-1", "return=1"},
		{"a filing whose answer is cut may have run", []model.Target{lossy.model("lossy")}, "levy-desk/file", "file-2", "return=2"},
		{"it is never run again", []model.Target{good.model("good")}, "levy-desk/file", "file-2", "return=2"},
		{"a filing that reaches nobody was not run", []model.Target{unreachable}, "levy-desk/file", "file-3", "return=3"},
		{"it can be submitted again", []model.Target{good.model("good")}, "levy-desk/file", "file-3", "return=3"},
		{"a leaving target receives nothing", []model.Target{leaving}, "levy-desk/report", "report-1", "month=5"},
		{"an unknown request is refused", []model.Target{good.model("good")}, "levy-desk/guess", "x", ""},
	}
	addresses := strings.NewReplacer(addressOf(good.listener), "GOOD", addressOf(lossy.listener), "LOSSY")
	var session strings.Builder
	for _, s := range steps {
		d.SetTargets(s.targets)
		status, answer := submit(t, server.URL+"/v1/requests/"+s.path, s.key, s.body)
		d.settler.wait()
		fmt.Fprintf(&session, "%s\n  %s\n  %s\n%s", s.title, status, addresses.Replace(answer), recorded.takeText(addresses))
	}
	is.NoErr(d.Drain(context.Background()))
	status, answer := submit(t, server.URL+"/v1/requests/levy-desk/calculate", "calc-2", "")
	fmt.Fprintf(&session, "a stopping instance refuses\n  %s\n  %s\n%s", status, answer, recorded.takeText(addresses))

	const golden = "testdata/session.golden"
	got := maskTimes(session.String())
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(got), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	if got != string(want) {
		t.Errorf("session differs from %s:\n%s", golden, got)
	}
}

func addressOf(l net.Listener) string { return l.Addr().String() }

// submit posts one request and returns the status and verdict of the response, and its body.
func submit(t *testing.T, url, key, body string) (status, answer string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.Status + " " + resp.Header.Get(HeaderVerdict), strings.TrimSpace(string(text))
}

// maskTimes replaces the times of claims, which fakeClaims leaves at zero.
func maskTimes(s string) string { return strings.ReplaceAll(s, "0001-01-01T00:00:00Z", "TIME") }
