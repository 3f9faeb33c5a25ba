package peer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// newCountingServer returns a server of kindEcho that counts the executions, each of which
// takes the given time.
func newCountingServer(executed *atomic.Int32, executionTime time.Duration) *Server {
	s := NewServer("server", zerolog.Nop())
	s.Handle(kindEcho, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		executed.Add(1)
		time.Sleep(executionTime)
		var in echo
		err := Decode(body, &in)
		return in, err
	})
	return s
}

// cutOutcome holds the result that the caller received and the executions on the server.
type cutOutcome struct {
	verdict  verdict.Verdict
	executed int32
	reply    string
}

// callWithCut makes one call over a connection that is cut after up bytes to the server or down
// bytes from it; -1 means no cut.
func callWithCut(t *testing.T, up, down int) (o cutOutcome) {
	bubbletest.Run(t, func(t *testing.T) {
		var executed atomic.Int32
		n := newNetwork(t, newCountingServer(&executed, time.Millisecond))
		n.cutUp, n.cutDown = up, down
		p := n.pool(t)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var out echo
		err := p.Call(ctx, "server", kindEcho, echo{"volume"}, &out)
		time.Sleep(time.Minute) // data in transit arrives
		o = cutOutcome{verdict: verdict.Of(err), executed: executed.Load(), reply: out.Text}
	})
	return o
}

// TestCutAtEveryByteGivesTrueVerdict cuts the connection after each byte in each direction:
// during the WebSocket upgrade, the handshake, the request, the handler and the response. The
// verdict must agree with what the server executed.
func TestCutAtEveryByteGivesTrueVerdict(t *testing.T) {
	is := is.New(t)
	seen := map[string]int{}
	for _, direction := range []string{"up", "down"} {
		for offset := 0; ; offset++ {
			up, down := offset, -1
			if direction == "down" {
				up, down = -1, offset
			}
			o := callWithCut(t, up, down)
			seen[fmt.Sprintf("%s executed=%d", o.verdict, o.executed)]++
			if o.verdict == verdict.NotRun && o.executed != 0 {
				t.Errorf("cut %s after %d bytes: verdict not-run, executed %d times", direction, offset, o.executed)
			}
			if o.verdict == verdict.Ran && (o.executed != 1 || o.reply != "volume") {
				t.Errorf("cut %s after %d bytes: verdict ran, executed %d times, reply %q", direction, offset, o.executed, o.reply)
			}
			if o.executed > 1 {
				t.Errorf("cut %s after %d bytes: executed %d times", direction, offset, o.executed)
			}
			if o.verdict == verdict.Ran {
				break
			}
		}
	}
	t.Logf("outcomes: %v", seen)
	is.True(seen["not-run executed=0"] > 0)      // cuts before the request was sent
	is.True(seen["may-have-run executed=0"] > 0) // cuts within the request
	is.True(seen["may-have-run executed=1"] > 0) // cuts after the request
	is.Equal(seen["ran executed=1"], 2)          // cuts after the response
}

// TestWithdrawnCallIsNeverExecuted lets calls time out on a frozen connection. Those that were
// not written fail with the verdict NotRun and never reach the server, even after the
// connection works again.
func TestWithdrawnCallIsNeverExecuted(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var executed atomic.Int32
		n := newNetwork(t, newCountingServer(&executed, 0))
		p := n.pool(t)
		is.NoErr(p.Call(context.Background(), "server", kindEcho, echo{"warm"}, nil))
		n.freeze()
		var verdicts [3]atomic.Int32
		for range 10 {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				defer cancel()
				verdicts[verdict.Of(p.Call(ctx, "server", kindEcho, echo{"late"}, nil))].Add(1)
			}()
		}
		time.Sleep(800 * time.Millisecond)
		n.unfreeze()
		time.Sleep(time.Minute)
		is.Equal(verdicts[verdict.MayHaveRun].Load(), int32(1)) // the call that was being written
		is.Equal(verdicts[verdict.NotRun].Load(), int32(9))
		is.True(executed.Load() <= 2) // the first call and the one being written
	})
}

// TestFrozenPeerIsNoticed checks that a call to a peer that stops responding without closing
// its connection fails when a ping is not answered, before its own deadline, and that a later
// call dials again.
func TestFrozenPeerIsNoticed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var executed atomic.Int32
		n := newNetwork(t, newCountingServer(&executed, 0))
		p := n.pool(t)
		is.NoErr(p.Call(context.Background(), "server", kindEcho, echo{"warm"}, nil))
		n.freeze()
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		err := p.Call(ctx, "server", kindEcho, echo{"lost"}, nil)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		is.True(time.Since(started) <= pingInterval+pingTimeout)
		n.unfreeze()
		time.Sleep(maxBackoff)
		is.NoErr(p.Call(ctx, "server", kindEcho, echo{"again"}, nil))
	})
}

// TestDrainAnswersCallsInFlight checks that a planned stop of the server waits for the running
// handlers, sends their responses and refuses later calls with the verdict NotRun.
func TestDrainAnswersCallsInFlight(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var executed atomic.Int32
		s := newCountingServer(&executed, time.Second)
		n := newNetwork(t, s)
		p := n.pool(t)
		var inFlight error
		go func() { inFlight = p.Call(context.Background(), "server", kindEcho, echo{"slow"}, nil) }()
		time.Sleep(100 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		synctest.Wait()
		err := p.Call(context.Background(), "server", kindEcho, echo{"late"}, nil)
		is.Equal(verdict.From(err, "").Reason, verdict.ReasonShutdown)
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.NoErr(<-drained)
		synctest.Wait()
		is.NoErr(inFlight)
		is.Equal(executed.Load(), int32(1))
	})
}

func TestBackoffGrowsAndIsBounded(t *testing.T) {
	is := is.New(t)
	for failures := range 100 {
		delay := backoff(failures)
		is.True(delay >= minBackoff/2)
		is.True(delay <= maxBackoff)
	}
	is.True(backoff(20) >= maxBackoff/2)
}
