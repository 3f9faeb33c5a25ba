package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/platform/etcdwire"
)

// emptyStore is a store without keys that counts the calls other than reads.
type emptyStore struct {
	*httptest.Server
	changes atomic.Int64
}

func newEmptyStore(t *testing.T) *emptyStore {
	s := &emptyStore{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != etcdwire.RangePath {
			s.changes.Add(1)
			http.Error(w, "unexpected call", http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, `{"header":{"revision":"1"}}`)
	}))
	t.Cleanup(s.Close)
	return s
}

// addressInUse returns an address that is being listened on.
func addressInUse(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func TestBadInputAtTheStart(t *testing.T) {
	store := newEmptyStore(t)
	usedAddress := addressInUse(t)
	cases := []struct {
		name  string
		flags []string
		code  int
		want  string
	}{
		{"an unknown flag is named", []string{"--nosuch"}, exitUsage, "unknown long flag '--nosuch'"},
		{"an argument that is not a flag is named", []string{"extra"}, exitUsage, "unexpected extra"},
		{"a bad address names its setting", []string{"--caller-listen=nowhere"}, exitUsage, "--caller-listen (GERANIUMWICK_CALLER_LISTEN): "},
		{"a missing setting is named", []string{"--data-centre="}, exitUsage, "--data-centre (GERANIUMWICK_DATA_CENTRE): is required"},
		{"two errors are on the same line", []string{"--data-centre=", "--log-level=loud"}, exitUsage, "is required; --log-level"},
		{"a store that cannot be reached names its setting", []string{"--store=http://" + closedAddress(t)}, exitFailed, "setting --store: no answer from "},
		{"the callers' address in use names its setting", []string{"--caller-listen=" + usedAddress}, exitFailed, "setting --caller-listen: "},
		{"the operators' address in use names its setting", []string{"--operator-listen=" + usedAddress}, exitFailed, "setting --operator-listen: "},
		{"the peers' address in use names its setting", []string{"--peer-listen=" + usedAddress}, exitFailed, "setting --peer-listen: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			args := withDefaults(c.flags, "--data-centre=a", "--store="+store.URL, "--inventory="+store.URL,
				"--caller-listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0")
			var stdout, stderr bytes.Buffer
			is.Equal(execute(args, nil, &stdout, &stderr), c.code)
			text := stderr.String()
			if !strings.HasPrefix(text, "geraniumwickd: ") || !strings.Contains(text, c.want) {
				t.Errorf("got %q, want %q", text, c.want)
			}
			is.Equal(strings.Count(text, "\n"), 1)
			is.True(strings.HasSuffix(text, "\n"))
			is.Equal(stdout.String(), "")
			is.Equal(store.changes.Load(), int64(0)) // no call other than reads reached the store
		})
	}
}

// withDefaults adds the defaults of the flags that are not given.
func withDefaults(given []string, defaults ...string) []string {
	args := append([]string{}, given...)
	for _, d := range defaults {
		name, _, _ := strings.Cut(d, "=")
		found := false
		for _, g := range given {
			found = found || strings.HasPrefix(g, name+"=")
		}
		if !found {
			args = append(args, d)
		}
	}
	return args
}

func TestRepeatedSignalsBeginOneStop(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		signals := make(chan os.Signal, signalBuffer)
		var log bytes.Buffer
		stops := 0
		go stopOnSignal(t.Context(), signals, func() { stops++ }, zerolog.New(&log))
		synctest.Wait()
		is.Equal(stops, 0)
		signals <- syscall.SIGTERM
		synctest.Wait()
		is.Equal(stops, 1)
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
		synctest.Wait()
		is.Equal(stops, 1)
		is.Equal(strings.Count(log.String(), "signal.received"), 1)
		is.Equal(strings.Count(log.String(), "signal.repeated"), 2)
		close(signals)
	})
}

func TestSignalsEndWithTheInstance(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			stopOnSignal(ctx, nil, func() { t.Error("stopped without a signal") }, zerolog.Nop())
			close(ended)
		}()
		cancel()
		<-ended
	})
}

func TestStopDuringTheStartIsNoFailure(t *testing.T) {
	is := is.New(t)
	signals := make(chan os.Signal, signalBuffer)
	release := make(chan struct{})
	stuckStore := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		signals <- syscall.SIGTERM // while the instance waits for the store
		<-release
	}))
	defer stuckStore.Close()
	defer close(release)
	var stdout, stderr bytes.Buffer
	args := []string{"--data-centre=a", "--store=" + stuckStore.URL, "--inventory=" + stuckStore.URL}
	is.Equal(execute(args, signals, &stdout, &stderr), exitDone)
	is.Equal(stderr.String(), "")
	is.True(strings.Contains(stdout.String(), `"event":"instance.stopped"`))
}
