package peer

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// kindEcho is a call that returns its argument.
const kindEcho Kind = 200

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// listen serves s over TCP until the test ends and returns its address.
func listen(t *testing.T, s *Server) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("/peer", s)
	h := httptest.NewServer(mux)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Drain(ctx)
		h.Close()
	})
	return strings.TrimPrefix(h.URL, "http://")
}

// newPool returns a pool that is closed when the test ends.
func newPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool("caller")
	t.Cleanup(p.Close)
	return p
}

func TestResponsesAreMatchedToCallsByID(t *testing.T) {
	is := is.New(t)
	s := NewServer("server", zerolog.Nop())
	release := make(chan struct{})
	s.Handle(kindEcho, func(_ context.Context, from model.InstanceID, body []byte) (any, error) {
		var in echo
		if err := Decode(body, &in); err != nil {
			return nil, err
		}
		if in.Text == "first" {
			<-release // the response to the first call is sent last
		}
		return echo{Text: string(from) + ":" + in.Text}, nil
	})
	addr, pool := listen(t, s), newPool(t)
	var first echo
	var firstErr error
	var calls sync.WaitGroup
	calls.Go(func() { firstErr = pool.Call(context.Background(), addr, kindEcho, echo{"first"}, &first) })
	for range 100 {
		calls.Go(func() {
			var out echo
			if err := pool.Call(context.Background(), addr, kindEcho, echo{"second"}, &out); err != nil || out.Text != "caller:second" {
				t.Errorf("got %q, %v", out.Text, err)
			}
		})
	}
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	calls.Wait()
	is.NoErr(firstErr)
	is.Equal(first.Text, "caller:first")
	is.Equal(len(pool.links), 1) // all calls shared one connection
}

// TestTerminationOfAPeerIsDetected closes the connections and the listener of a peer, as the end
// of its process does. OnDisconnect is called, and ConnectionRefused then reports true.
func TestTerminationOfAPeerIsDetected(t *testing.T) {
	is := is.New(t)
	s := NewServer("server", zerolog.Nop())
	s.Handle(kindEcho, func(_ context.Context, _ model.InstanceID, _ []byte) (any, error) { return echo{}, nil })
	mux := http.NewServeMux()
	mux.Handle("/peer", s)
	h := httptest.NewServer(mux)
	addr := strings.TrimPrefix(h.URL, "http://")
	p := newPool(t)
	disconnected := make(chan string, 1)
	p.OnDisconnect = func(addr string) { disconnected <- addr }
	is.NoErr(p.Call(t.Context(), addr, kindEcho, echo{}, nil))
	is.True(!ConnectionRefused(t.Context(), addr))
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, ws := range conns {
		_ = ws.CloseNow()
	}
	h.Close()
	is.Equal(<-disconnected, addr)
	is.True(ConnectionRefused(t.Context(), addr))
}

func TestErrorsReachTheCaller(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"an error with a verdict is returned unchanged", verdict.New(verdict.NotRun, verdict.ReasonQuota, "full"), verdict.NotRun, verdict.ReasonQuota},
		{"an error without a verdict may have run", errors.New("broken"), verdict.MayHaveRun, verdict.ReasonPeerUnreachable},
		{"a call whose handler panics may have run", nil, verdict.MayHaveRun, verdict.ReasonPeerUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewServer("server", zerolog.Nop())
			s.Handle(kindEcho, func(context.Context, model.InstanceID, []byte) (any, error) {
				if c.err == nil {
					panic("broken handler")
				}
				return nil, c.err
			})
			err := newPool(t).Call(context.Background(), listen(t, s), kindEcho, echo{}, nil)
			is.Equal(verdict.Of(err), c.verdict)
			is.Equal(verdict.From(err, "").Reason, c.reason)
		})
	}
}

func TestRefusalsThatProveNotRun(t *testing.T) {
	is := is.New(t)
	s := NewServer("server", zerolog.Nop())
	var executed atomic.Int32
	block := make(chan struct{})
	s.Handle(kindEcho, func(context.Context, model.InstanceID, []byte) (any, error) {
		executed.Add(1)
		<-block
		return nil, nil
	})
	addr, pool := listen(t, s), newPool(t)
	call := func(addr string, k Kind, in any) *verdict.Error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return verdict.From(pool.Call(ctx, addr, k, in, nil), "none")
	}
	refused := call("127.0.0.1:1", kindEcho, echo{})
	is.Equal(refused.Verdict, verdict.NotRun) // nothing listens
	is.Equal(refused.Reason, verdict.ReasonPeerUnreachable)
	refused = call(addr, 201, echo{})
	is.Equal(refused.Verdict, verdict.NotRun) // no handler
	refused = call(addr, kindEcho, echo{strings.Repeat("x", MaxMessageBytes)})
	is.Equal(refused.Verdict, verdict.NotRun) // too large
	is.Equal(refused.Reason, verdict.ReasonInvalid)

	var running sync.WaitGroup
	for range MaxCallsPerKind {
		running.Go(func() { _ = pool.Call(context.Background(), addr, kindEcho, echo{}, nil) })
	}
	for executed.Load() < MaxCallsPerKind {
		time.Sleep(time.Millisecond)
	}
	refused = call(addr, kindEcho, echo{})
	is.Equal(refused.Verdict, verdict.NotRun) // all slots of the handler are taken
	is.Equal(refused.Reason, verdict.ReasonOverload)
	close(block)
	running.Wait()
	is.Equal(executed.Load(), int32(MaxCallsPerKind))
}

func TestServerRefusesUnknownVersion(t *testing.T) {
	is := is.New(t)
	addr := listen(t, NewServer("server", zerolog.Nop()))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+"/peer", nil)
	is.NoErr(err)
	defer ws.CloseNow()
	message, err := encMode.Marshal(hello{Version: Version + 1, Sender: "future"})
	is.NoErr(err)
	is.NoErr(ws.Write(ctx, websocket.MessageBinary, message))
	_, _, err = ws.Read(ctx)
	is.Equal(websocket.CloseStatus(err), websocket.StatusPolicyViolation)
}
