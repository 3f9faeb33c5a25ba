package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/settings"
)

// Addresses of the listeners in tests.
const (
	callerAddr   = "10.0.0.1:7400"
	operatorAddr = "10.0.0.1:7401"
	peerAddr     = "10.0.0.1:7402"
)

const operatorsText = `dataCentres: [{name: kochi, region: kerala}]
racks: [{name: r1, dataCentre: kochi, partition: 0}]
partitions: 2
weights: {tailLatency: 1, throughput: 1, evictions: 1}
`

const teamText = `team: reports
quota: {milliCPU: 100000, memoryMB: 100000}
jobs: [{class: monthly, declared: {milliCPU: 1000, memoryMB: 1000}, declaredRun: 1m}]
services: [{name: desk, requests: [{path: levy, class: idempotent, deadline: 100ms}]}]
`

const jobText = `{"id":"reports/a","team":"reports","class":"monthly","declared":{"milliCPU":1000,"memoryMB":1000}}`

// logBuffer collects the log lines.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

// has reports whether a single line contains all of the texts.
func (b *logBuffer) has(texts ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.bytes.String()) {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			return true
		}
	}
	return false
}

// harness runs one instance with an in-memory store and network. It must be created in a synctest
// bubble.
type harness struct {
	t       *testing.T
	store   *fakeStore
	network *memoryNetwork
	server  *Server
	log     *logBuffer
	client  *http.Client
	stop    context.CancelFunc
	done    chan error
}

// testSettings returns the settings of the instance.
func testSettings() settings.Settings {
	return settings.Settings{
		InstanceID:           "i1",
		DataCentre:           "kochi",
		CallerListen:         callerAddr,
		OperatorListen:       operatorAddr,
		PeerListen:           peerAddr,
		PeerAdvertise:        peerAddr,
		OperatorAdvertise:    operatorAddr,
		MemberLeaseTTL:       5 * time.Second,
		WorkerLeaseTTL:       10 * time.Second,
		CommitInterval:       20 * time.Millisecond,
		ConfigMaxAge:         3 * time.Second,
		StoreWritesPerSecond: 100,
		AuditEntries:         100,
		DrainTimeout:         10 * time.Second,
		Limits: settings.Limits{
			HeaderBytes:       2048,
			Connections:       3,
			BodyMemoryMB:      24,
			ReadHeaderTimeout: 5 * time.Second,
			IdleTimeout:       time.Minute,
		},
	}
}

// newHarness returns a harness whose store holds a configuration.
func newHarness(t *testing.T) *harness {
	t.Helper()
	s := &harness{t: t, store: newFakeStore(), network: newMemoryNetwork(), log: &logBuffer{}, done: make(chan error, 1)}
	editor := config.NewEditor(s.store, platform.SystemClock{}, "seed", nil)
	for _, section := range []struct{ name, text string }{{config.OperatorsSection, operatorsText}, {"reports", teamText}} {
		if _, err := editor.Put(t.Context(), section.name, []byte(section.text), 0, "test"); err != nil {
			t.Fatal(err)
		}
	}
	v, err := newServer(t.Context(), testSettings(), zerolog.New(s.log), s.dependencies())
	if err != nil {
		t.Fatal(err)
	}
	s.server = v
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.network.dial}}
	return s
}

// dependencies returns the dependencies of the instance.
func (s *harness) dependencies() dependencies {
	return dependencies{store: s.store, inventory: fakeInventory{}, listen: s.network.listen}
}

// start runs the instance and returns once it holds both partitions.
func (s *harness) start() {
	s.t.Helper()
	ctx, stop := context.WithCancel(s.t.Context())
	s.stop = stop
	s.t.Cleanup(func() { _ = s.end() })
	go func() { s.done <- s.server.Run(ctx) }()
	time.Sleep(5 * time.Second)
	if held := s.server.manager.Count(); held != 2 {
		s.t.Fatalf("%d partitions held, want 2", held)
	}
}

// end stops the instance and returns the error of Run.
func (s *harness) end() error {
	s.stop()
	err := <-s.done
	s.done <- err
	s.client.CloseIdleConnections()
	synctest.Wait()
	return err
}

// callResult is the response to a call, or its error.
type callResult struct {
	status int
	body   string
	err    error
}

// call makes one call on a new connection, with a timeout of a minute.
func (s *harness) call(method, addr, path, body string) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	r.Close = true
	response, err := s.client.Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, body: string(text), err: err}
}

// get makes a GET call.
func (s *harness) get(addr, path string) callResult { return s.call(http.MethodGet, addr, path, "") }
