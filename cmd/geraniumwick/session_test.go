package main

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

var update = flag.Bool("update", false, "write the golden files anew")

// session executes command lines and records a transcript, which is compared with a golden file.
type session struct {
	t          *testing.T
	address    string
	dir        string
	transcript bytes.Buffer
}

// newSession returns a session that calls the address and has a directory for files.
func newSession(t *testing.T, address string) *session {
	return &session{t: t, address: address, dir: t.TempDir()}
}

// run executes one command line. In the arguments, DIR stands for the session's directory.
func (s *session) run(args ...string) {
	s.t.Helper()
	shown := strings.Join(args, " ")
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "DIR", s.dir)
	}
	var out, err bytes.Buffer
	if !slices.Contains(args, "--address") {
		args = append([]string{"--address", s.address}, args...)
	}
	code := runToEnd(s.t, args, streams{in: strings.NewReader(""), out: &out, err: &err})
	fmt.Fprintf(&s.transcript, "$ geraniumwick %s\n%s%s[exit code %d]\n\n", shown, out.String(), err.String(), code)
}

// exitCode is the value of the panic that replaces the end of the process in tests.
type exitCode int

// runToEnd calls run and returns the exit code also if run calls exit.
func runToEnd(t *testing.T, args []string, s streams) (code int) {
	defer func() {
		r := recover()
		if ended, ok := r.(exitCode); ok {
			code = int(ended)
		} else if r != nil {
			panic(r)
		}
	}()
	return run(t.Context(), args, s, func(code int) { panic(exitCode(code)) })
}

// file writes a file of the session.
func (s *session) file(name, content string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// example copies a section of the example configurations to the session's directory, with edits as
// pairs of old and new texts.
func (s *session) example(from, to string, edits ...string) {
	s.t.Helper()
	text, err := os.ReadFile("../../examples/" + from)
	if err != nil {
		s.t.Fatal(err)
	}
	s.file(to, strings.NewReplacer(edits...).Replace(string(text)))
}

// compare compares the transcript with the golden file.
func (s *session) compare(name string) {
	s.t.Helper()
	got := strings.NewReplacer(s.address, "ADDRESS", s.dir, "DIR").Replace(s.transcript.String())
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			s.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if got != string(want) {
		s.t.Errorf("the transcript differs from %s; got:\n%s", path, got)
	}
}

func TestOperatorSession(t *testing.T) {
	system, address := startSystem(t, "")
	s := newSession(t, address)
	s.example("nilewave/operators.yaml", "operators.yaml")
	s.example("nilewave/levy.yaml", "levy.yaml")
	s.run("config", "check", "DIR/operators.yaml", "DIR/levy.yaml")
	s.run("config", "apply", "DIR/levy.yaml", "DIR/operators.yaml")
	s.run("--actor", "mona", "datacentre", "out", "cairo-b")
	s.run("datacentre", "status")
	s.run("config", "diff", "DIR/operators.yaml", "DIR/levy.yaml")
	s.run("config", "apply", "DIR/operators.yaml")
	s.run("config", "apply", "--expected", "101", "DIR/operators.yaml")
	s.run("config", "edit", "levy", "--file", "DIR/edited.yaml")
	s.run("datacentre", "in", "cairo-b", "--no-wait", "--output", "json")
	s.run("datacentre", "in", "cairo-b")
	s.run("datacentre", "out", "nowhere")
	s.run("config", "history", "--limit", "2")
	s.run("status")
	s.run("--colour", "always", "status")
	system.lagging = "i-2"
	s.run("datacentre", "out", "cairo-c", "--wait-limit", "1ms")
	s.run("datacentre", "status")
	system.sinceStoreContact = 20 * time.Second
	s.run("datacentre", "status")
	s.run("status")
	s.compare("operator")
}

func TestBadFilesSession(t *testing.T) {
	_, address := startSystem(t, "")
	s := newSession(t, address)
	s.example("pallikkara/operators.yaml", "operators.yaml")
	s.run("config", "apply", "DIR/operators.yaml")
	s.example("pallikkara/filterkeep.yaml", "filterkeep.yaml", "kollam", "kolam", "class: once", "class: twice", "milliCPU: 2400000", "milliCPU: -1")
	s.run("config", "check", "DIR/filterkeep.yaml")
	s.run("config", "apply", "DIR/filterkeep.yaml")
	s.example("pallikkara/filterkeep.yaml", "filterkeep.yaml", "kollam", "kolam")
	s.run("config", "check", "DIR/filterkeep.yaml")
	s.run("config", "check", "DIR/filterkeep.yaml", "--output", "json")
	s.example("pallikkara/filterkeep.yaml", "filterkeep.yaml", "services:", "service:")
	s.run("config", "check", "DIR/filterkeep.yaml")
	s.example("pallikkara/operators.yaml", "operators.yaml", "partition: 2}", "partition: 3}")
	s.run("config", "apply", "--replace", "DIR/operators.yaml")
	s.run("config", "check", "DIR/missing.yaml")
	s.run("config", "apply", "--expected", "1", "DIR/operators.yaml", "DIR/filterkeep.yaml")
	s.run("config", "history")
	s.compare("badfiles")
}

func TestCustomerSession(t *testing.T) {
	system, address := startSystem(t, "")
	s := newSession(t, address)
	s.example("nilewave/operators.yaml", "operators.yaml")
	s.example("nilewave/levy.yaml", "levy.yaml")
	s.run("config", "apply", "DIR/operators.yaml", "DIR/levy.yaml")
	s.run("job", "submit", "levy/recalc-1", "--class", "recalculation", "--customer", "delta-drinks", "--run", "4m")
	s.run("job", "submit", "levy/recalc-1", "--class", "nosuch")
	s.run("job", "submit", "levy/recalc-2", "--class", "recalculation", "--urgent")
	s.run("job", "submit", "levy/recalc-2", "--class", "recalculation", "--data-centre", "kochi")
	s.run("job", "status", "levy/recalc-1", "--output", "json")
	system.addEvictedJob()
	s.run("explain", "levy/recalc-1")
	s.run("explain", "levy-desk/filing-9")
	s.run("explain", "nonsense")
	s.run("job", "list", "--team", "levy")
	s.run("job", "resume", "levy/recalc-1")
	s.run("job", "cancel", "levy/recalc-1")
	s.run("job", "status", "levy/nosuch")
	s.run("job", "status", "recalc-1")
	s.run("audit", "--limit", "3")
	s.compare("customer")
}

// addEvictedJob adds a job that was evicted twice and whose first owner ended between the evictions.
func (f *fakeSystem) addEvictedJob() {
	const id = "levy/recalc-1"
	f.jobs[id] = ledger.JobStatus{Spec: f.jobs[id].Spec, State: model.JobRunning, Submitted: testTime, Attempt: 3, Worker: "w-9", Progress: 0.6, Evictions: 2}
	at := func(seconds int) time.Time { return testTime.Add(time.Duration(seconds) * time.Second) }
	f.entries[id] = []audit.Entry{
		{At: at(40), Instance: "i-1", Subject: id, Event: "job.started", Attempt: 3, Worker: "w-9", Durable: true, Reason: "least interference"},
		{At: at(0), Instance: "i-dead", Subject: id, Event: "job.submitted", Durable: true},
		{At: at(1), Instance: "i-dead", Subject: id, Event: "job.started", Attempt: 1, Worker: "w-1", Durable: true},
		{At: at(20), Instance: "i-dead", Subject: id, Event: "job.evicting", Attempt: 1, Worker: "w-1", Durable: true, Reason: "levy-desk is slow on w-1"},
		{At: at(24), Instance: "i-dead", Subject: id, Event: "job.ended", Attempt: 1, Worker: "w-1", Durable: true, After: "checkpointed"},
		{At: at(25), Instance: "i-dead", Subject: id, Event: "job.started", Attempt: 2, Worker: "w-2", Durable: true},
		{At: at(30), Instance: "i-1", Subject: id, Event: "job.evicting", Attempt: 2, Worker: "w-2", Durable: true, Reason: "data centre cairo-b is out"},
		{At: at(33), Instance: "i-1", Subject: id, Event: "job.ended", Attempt: 2, Worker: "w-2", Durable: true, After: "lost", Reason: "the worker's lease lapsed"},
		{At: at(31), Instance: "i-1", Subject: id, Event: audit.EventDropped, Reason: "7 entries of this instance before this time are no longer kept"},
	}
	f.unreachable = []model.InstanceID{"i-2"}
}

func TestAccessSession(t *testing.T) {
	_, address := startSystem(t, operatorToken)
	s := newSession(t, address)
	// The document holds the hash of levyToken.
	s.example("nilewave/operators.yaml", "operators.yaml", "partitions: 16", "partitions: 16\nteams:\n  - team: levy\n    tokenSHA256: "+hashOf(levyToken))
	s.example("nilewave/levy.yaml", "levy.yaml")
	s.example("nilewave/archive.yaml", "archive.yaml")
	s.run("config", "apply", "DIR/operators.yaml")
	s.run("--token", "wrong-token-of-some-length", "status")
	s.run("--token", operatorToken, "config", "apply", "DIR/operators.yaml")
	s.run("--token", levyToken, "--actor", "ann", "config", "apply", "DIR/levy.yaml")
	s.run("--token", levyToken, "config", "apply", "DIR/archive.yaml")
	s.run("--token", "wrong-token-of-some-length", "status")
	s.run("--token", levyToken, "datacentre", "out", "cairo-a")
	s.run("--token", levyToken, "job", "submit", "archive/check-1", "--class", "yearly-check")
	s.run("--token", operatorToken, "config", "history", "levy")
	s.compare("access")
}

func TestFailureSession(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/datacentres/lost/out":
			hijacked, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				hijacked.Close()
			}
		case "/v1/status":
			fmt.Fprint(w, `{"instance": "i-1", "revi`)
		default:
			http.Error(w, "proxy error", http.StatusBadGateway)
		}
	}))
	defer broken.Close()
	s := newSession(t, broken.URL)
	s.run("datacentre", "out", "lost")
	s.run("datacentre", "out", "proxied")
	s.run("status")
	s.run("--address", "http://127.0.0.1:1", "datacentre", "out", "a")
	s.run("--address", "http://127.0.0.1:1", "--output", "json", "status")
	s.run("--address", "127.0.0.1", "status")
	s.run("--timeout", "0s", "status")
	s.run("status", "--nosuch")
	s.run("nosuch")
	s.run("config", "history", "--limit", "0")
	s.run("job", "submit", "a/b", "--urgent", "--service")
	s.run("job", "submit", "--file", "DIR/missing.json")
	s.run("help", "datacentre", "out")
	s.run("--help")
	s.compare("failures")
}

func TestNextAddressIsUsedIfOneCannotBeConnectedTo(t *testing.T) {
	_, address := startSystem(t, "")
	var out, err bytes.Buffer
	code := runToEnd(t, []string{"--address", "http://127.0.0.1:1," + address, "status"}, streams{out: &out, err: &err})
	if code != exitDone {
		t.Fatalf("exit code %d: %s", code, err.String())
	}
}
