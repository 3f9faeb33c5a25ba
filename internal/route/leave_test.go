package route

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// TestTargetThatLeavesDuringDialReceivesNothing makes a target unusable while the connection for a
// request is being opened. The request must be sent to another target.
func TestTargetThatLeavesDuringDialReceivesNothing(t *testing.T) {
	cases := []struct {
		name  string
		leave func(d *Dispatcher, leaving, other model.Target)
	}{
		{"the inventory says that it is leaving", func(d *Dispatcher, leaving, other model.Target) {
			leaving.Leaving = true
			d.SetTargets([]model.Target{leaving, other})
		}},
		{"the inventory does not list it any more", func(d *Dispatcher, _, other model.Target) {
			d.SetTargets([]model.Target{other})
		}},
		{"its data centre is taken out", func(d *Dispatcher, leaving, other model.Target) {
			d.SetTargets([]model.Target{leaving, other})
			doc := testDocument()
			doc.Operators.DataCentres[0].Out = true
			d.SetDocument(doc)
		}},
	}
	for _, c := range cases {
		for _, class := range []model.RequestClass{model.Idempotent, model.AtMostOnce} {
			t.Run(c.name+", class "+string(class), func(t *testing.T) {
				is := is.New(t)
				leaving, other := newRawTarget(t, echoBody), newRawTarget(t, echoBody)
				dialing, proceed := make(chan struct{}), make(chan struct{})
				var once sync.Once
				d := New(Config{Self: "instance-1", Claims: newClaims(), Log: zerolog.Nop(),
					Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
						if addr == leaving.listener.Addr().String() {
							once.Do(func() { close(dialing) })
							<-proceed
						}
						return (&net.Dialer{}).DialContext(ctx, network, addr)
					}})
				d.SetDocument(testDocument())
				d.SetTargets([]model.Target{leaving.model("leaving")})
				done := make(chan error, 1)
				go func() {
					_, err := d.Do(context.Background(), newRequest(class, "k1"))
					done <- err
				}()
				<-dialing
				remaining := other.model("other")
				remaining.DataCentre = "cairo-b"
				c.leave(d, leaving.model("leaving"), remaining)
				close(proceed)
				is.NoErr(<-done)
				is.Equal(leaving.total(), 0)
				is.Equal(other.total(), 1)
			})
		}
	}
}

// TestQueuedRequestsMoveFromLeavingTarget occupies all slots of a target, queues further requests,
// and marks the target as leaving. The queued requests must be sent to another target, even when
// slots of the leaving one become free.
func TestQueuedRequestsMoveFromLeavingTarget(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	leaving := newRawTarget(t, func(c net.Conn, r *http.Request, body string) bool {
		<-release
		return echoBody(c, r, body)
	})
	other := newRawTarget(t, echoBody)
	d := newDispatcher(t, newClaims(), leaving.model("leaving"))
	var running sync.WaitGroup
	var answered atomic.Int32
	for i := range 30 {
		running.Go(func() {
			if _, err := d.Do(context.Background(), newRequest(model.AtMostOnce, fmt.Sprint("k", i))); err == nil {
				answered.Add(1)
			}
		})
	}
	for leaving.total() < 24 || d.waiting("levy-desk") < 6 {
		time.Sleep(time.Millisecond)
	}
	withdrawn := leaving.model("leaving")
	withdrawn.Leaving = true
	d.SetTargets([]model.Target{withdrawn})
	close(release)
	for answered.Load() < 24 { // those in flight at the leaving target are answered
		time.Sleep(time.Millisecond)
	}
	is.Equal(d.waiting("levy-desk"), 6) // its free slots are not used
	d.SetTargets([]model.Target{withdrawn, other.model("other")})
	running.Wait()
	is.Equal(answered.Load(), int32(30))
	is.Equal(leaving.total(), 24) // it received no new requests
	is.Equal(other.total(), 6)
}

func TestNoUsableTargetIsRefused(t *testing.T) {
	out := testDocument()
	out.Operators.DataCentres[0].Out = true
	cases := []struct {
		name    string
		prepare func(d *Dispatcher, target model.Target)
		reason  verdict.Reason
	}{
		{"the only target is leaving", func(d *Dispatcher, t model.Target) {
			t.Leaving = true
			d.SetTargets([]model.Target{t})
		}, verdict.ReasonNoTarget},
		{"there is no target", func(d *Dispatcher, _ model.Target) { d.SetTargets(nil) }, verdict.ReasonNoTarget},
		{"its data centre is out", func(d *Dispatcher, t model.Target) {
			d.SetTargets([]model.Target{t})
			d.SetDocument(out)
		}, verdict.ReasonDataCentreOut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := newRawTarget(t, echoBody)
			d := newDispatcher(t, newClaims())
			c.prepare(d, target.model("runner-1"))
			_, err := d.Do(context.Background(), newRequest(model.Idempotent, "k1"))
			is.Equal(verdict.Of(err), verdict.NotRun)
			is.Equal(verdict.From(err, "").Reason, c.reason)
			is.Equal(target.total(), 0)
		})
	}
}

// TestDrainCutsOffNoRequest drains while requests are being executed and others are queued. All of
// them must be answered and settled before Drain returns.
func TestDrainCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	target := newRawTarget(t, func(c net.Conn, r *http.Request, body string) bool {
		<-release
		return echoBody(c, r, body)
	})
	claims := newClaims()
	d := newDispatcher(t, claims, target.model("runner-1"))
	var running sync.WaitGroup
	var answered atomic.Int32
	for i := range 30 {
		running.Go(func() {
			if _, err := d.Do(context.Background(), newRequest(model.AtMostOnce, fmt.Sprint("k", i))); err == nil {
				answered.Add(1)
			}
		})
	}
	for target.total() < 24 || d.waiting("levy-desk") < 6 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- d.Drain(context.Background()) }()
	for !d.isDraining() {
		time.Sleep(time.Millisecond)
	}
	_, err := d.Do(context.Background(), newRequest(model.AtMostOnce, "late"))
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.From(err, "").Reason, verdict.ReasonShutdown)
	is.Equal(len(drained), 0) // Drain waits for the requests
	close(release)
	is.NoErr(<-drained)
	is.Equal(claims.settledCount(), 30) // Drain has waited for the settlements too
	running.Wait()
	is.Equal(answered.Load(), int32(30))
	is.Equal(target.total(), 30)
}

// waiting returns the number of requests of the service that wait for a slot.
func (d *Dispatcher) waiting(s model.Service) int {
	d.mu.Lock()
	p := d.pools[s]
	d.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting.len()
}

func (d *Dispatcher) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (c *fakeClaims) settledCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled
}

// TestTargetsChangeDuringRequests replaces the list of targets continuously while requests run. Under
// the race detector it checks that the target descriptions that these requests read do not change.
func TestTargetsChangeDuringRequests(t *testing.T) {
	is := is.New(t)
	a, b := newRawTarget(t, echoBody), newRawTarget(t, echoBody)
	d := newDispatcher(t, newClaims(), a.model("a"), b.model("b"))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			first, second := a.model("a"), b.model("b")
			first.Leaving, second.Leaving = i%2 == 0, i%2 == 1
			d.SetTargets([]model.Target{first, second})
		}
	}()
	var running sync.WaitGroup
	var answered atomic.Int32
	for caller := range 4 {
		running.Go(func() {
			for i := range 100 {
				if _, err := d.Do(context.Background(), newRequest(model.AtMostOnce, fmt.Sprint(caller, "-", i))); err == nil {
					answered.Add(1)
				}
			}
		})
	}
	running.Wait()
	close(stop)
	<-stopped
	is.Equal(answered.Load(), int32(400))
	is.Equal(a.total()+b.total(), 400)
}
