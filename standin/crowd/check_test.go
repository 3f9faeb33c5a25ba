package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/process"
)

// listener names a listener of an instance.
type listener string

const (
	callers   listener = "callers"
	ready     listener = "ready"
	peers     listener = "peers"
	metrics   listener = "metrics"
	operators listener = "operators"
)

// crowdCase is a crowd and the listener that it connects to.
type crowdCase struct {
	listener listener
	shape    Shape
}

func (c crowdCase) name() string { return string(c.listener) + ", " + c.shape.Name }

// system is one running instance with the limits of its machine.
type system struct {
	*process.Process
	memoryMB  float64
	fds       int
	addresses map[listener]string
	// ordinary returns a request that an instance within its limits answers with a 2xx status.
	ordinary func() (*http.Request, error)
}

// binaries are built once for all tests.
var binaries cluster.Binaries

// TestMain builds the daemon once, without the race detector, which multiplies its memory.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "crowd")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		if binaries, err = cluster.Build(context.Background(), dir, false); err != nil {
			panic(err)
		}
		return m.Run()
	}())
}

// clientTimeout bounds an ordinary request; nothing is judged by how long it takes.
const clientTimeout = time.Minute

// awaitStatus waits until a GET is answered with a status.
func awaitStatus(t *testing.T, url string, status int) {
	t.Helper()
	err := cluster.Await(t.Context(), url, clientTimeout, func() (bool, error) {
		resp, err := http.Get(url)
		if err != nil {
			return false, err
		}
		_ = resp.Body.Close()
		return resp.StatusCode == status, nil
	})
	is.New(t).NoErr(err)
}

// settle waits until the process has taken in what was sent to it: until its memory has stopped growing.
func settle(t *testing.T, s system) {
	const interval, steadyReadings, longest = 50 * time.Millisecond, 20, 2 * time.Minute
	last, steady := 0.0, 0
	for startedAt := time.Now(); steady < steadyReadings && time.Since(startedAt) < longest; pause.For(t.Context(), interval) {
		u, err := ReadUsage(s.PID())
		if err != nil {
			return // it has ended, which checkCrowd reports
		}
		if math.Abs(u.ResidentMB-last) < 1 {
			steady++
		} else {
			last, steady = u.ResidentMB, 0
		}
	}
}

// checkCrowd lets a crowd loose on a system. The process must live, stay within the limits of its machine, and answer an
// ordinary request on a new connection while the crowd is still there.
func checkCrowd(t *testing.T, s system, c crowdCase) {
	is := is.New(t)
	before, err := ReadUsage(s.PID())
	is.NoErr(err)
	crowd, err := Open(t.Context(), s.addresses[c.listener], c.shape)
	is.NoErr(err)
	defer crowd.Close()
	settle(t, s)
	after, err := ReadUsage(s.PID())
	is.NoErr(err) // the process lives
	t.Logf("at rest %.0f MB, %d descriptors; in the crowd at most %.0f MB, now %.0f MB, %d descriptors",
		before.ResidentMB, before.Descriptors, after.PeakMB, after.ResidentMB, after.Descriptors)
	if after.PeakMB > s.memoryMB {
		t.Errorf("%.1f MB of memory at most, the machine has %.0f MB", after.PeakMB, s.memoryMB)
	}
	if after.Descriptors > s.fds {
		t.Errorf("%d descriptors, the process may have %d", after.Descriptors, s.fds)
	}
	status, err := sendOrdinary(s)
	is.NoErr(err)
	is.Equal(status/100, 2)
}

// sendOrdinary sends an ordinary request on a new connection and returns its status.
func sendOrdinary(s system) (int, error) {
	r, err := s.ordinary()
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// sendSlowly sends one request in many small pieces with pauses between them and returns the status of the response.
func sendSlowly(address, head, body string) (int, error) {
	const pieces, interval = 64, 60 * time.Millisecond
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprint(conn, withLength(head, body)); err != nil {
		return 0, err
	}
	for size := len(body)/pieces + 1; len(body) > 0; pause.For(context.Background(), interval) {
		n := min(size, len(body))
		if _, err := fmt.Fprint(conn, body[:n]); err != nil {
			return 0, err
		}
		body = body[n:]
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
