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

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// counted serves kindEcho and counts its executions.
func counted(executed *atomic.Int32, execution time.Duration) *Server {
	s := NewServer("server", zerolog.Nop())
	s.Handle(kindEcho, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		executed.Add(1)
		time.Sleep(execution)
		var in echo
		err := Decode(body, &in)
		return in, err
	})
	return s
}

// cutOutcome is what the caller was told and what the server saw.
type cutOutcome struct {
	verdict  verdict.Verdict
	executed int32
	answer   string
}

// callWithCut makes one call over a connection that is cut after the given bytes.
func callWithCut(t *testing.T, up, down int) (o cutOutcome) {
	synctest.Test(t, func(t *testing.T) {
		var executed atomic.Int32
		n := newNetwork(t, counted(&executed, time.Millisecond))
		n.cutUp, n.cutDown = up, down
		p := n.pool(t)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var out echo
		err := p.Call(ctx, "server", kindEcho, echo{"volume"}, &out)
		time.Sleep(time.Minute) // whatever is on its way arrives
		o = cutOutcome{verdict: verdict.Of(err), executed: executed.Load(), answer: out.Text}
	})
	return o
}

// TestCutAtEveryByteGivesTrueVerdict cuts the connection after each byte of a call in each
// direction: during the upgrade, the hellos, the call, the handler and the answer.
func TestCutAtEveryByteGivesTrueVerdict(t *testing.T) {
	is := is.New(t)
	seen := map[string]int{}
	for _, direction := range []string{"up", "down"} {
		for at := 0; ; at++ {
			up, down := at, -1
			if direction == "down" {
				up, down = -1, at
			}
			o := callWithCut(t, up, down)
			seen[fmt.Sprintf("%s executed=%d", o.verdict, o.executed)]++
			if o.verdict == verdict.NotRun && o.executed != 0 {
				t.Errorf("cut %s after %d bytes: told not run, executed %d times", direction, at, o.executed)
			}
			if o.verdict == verdict.Ran && (o.executed != 1 || o.answer != "volume") {
				t.Errorf("cut %s after %d bytes: told ran, executed %d times, answer %q", direction, at, o.executed, o.answer)
			}
			if o.executed > 1 {
				t.Errorf("cut %s after %d bytes: executed %d times", direction, at, o.executed)
			}
			if o.verdict == verdict.Ran {
				break
			}
		}
	}
	t.Logf("outcomes: %v", seen)
	is.True(seen["not-run executed=0"] > 0)      // cuts before the call
	is.True(seen["may-have-run executed=0"] > 0) // cuts within the call
	is.True(seen["may-have-run executed=1"] > 0) // cuts after the call
	is.Equal(seen["ran executed=1"], 2)          // cuts after the answer
}

// TestWithdrawnCallIsNeverExecuted lets calls time out behind a frozen connection. Those
// that were not written are told so and do not reach the server after the thaw.
func TestWithdrawnCallIsNeverExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var executed atomic.Int32
		n := newNetwork(t, counted(&executed, 0))
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
		n.thaw()
		time.Sleep(time.Minute)
		is.Equal(verdicts[verdict.MayHaveRun].Load(), int32(1)) // the one that was being written
		is.Equal(verdicts[verdict.NotRun].Load(), int32(9))
		is.True(executed.Load() <= 2) // the warm call and the one being written
	})
}

// TestFrozenPeerIsNoticed checks that calls to a peer that stops answering, without closing
// its connection, end before their own deadline, and that the next call dials again.
func TestFrozenPeerIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var executed atomic.Int32
		n := newNetwork(t, counted(&executed, 0))
		p := n.pool(t)
		is.NoErr(p.Call(context.Background(), "server", kindEcho, echo{"warm"}, nil))
		n.freeze()
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		err := p.Call(ctx, "server", kindEcho, echo{"lost"}, nil)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		is.True(time.Since(started) <= pingInterval+pingTimeout)
		n.thaw()
		time.Sleep(maxBackoff)
		is.NoErr(p.Call(ctx, "server", kindEcho, echo{"again"}, nil))
	})
}

// TestDrainAnswersCallsInFlight checks that a planned stop of the server waits for the
// handlers, sends their answers and refuses later calls with proof.
func TestDrainAnswersCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var executed atomic.Int32
		s := counted(&executed, time.Second)
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
		pause := backoff(failures)
		is.True(pause >= minBackoff/2)
		is.True(pause <= maxBackoff)
	}
	is.True(backoff(20) >= maxBackoff/2)
}
