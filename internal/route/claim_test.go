package route

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// errAnswerLost is a fault of the claim table whose outcome is unknown.
var errAnswerLost = errors.New("answer lost")

func TestClaimFaults(t *testing.T) {
	cases := []struct {
		sentence string
		fault    func(c *fakeClaims)
		verdict  verdict.Verdict
		reason   verdict.Reason
	}{
		{"the claim is refused with proof", func(c *fakeClaims) {
			c.claimFault = verdict.New(verdict.NotRun, verdict.ReasonQuota, "full")
		}, verdict.NotRun, verdict.ReasonQuota},
		{"the claim fails before it took effect", func(c *fakeClaims) { c.claimFault = errAnswerLost }, verdict.NotRun, verdict.ReasonStoreUnavailable},
		{"the claim takes effect and its answer is lost", func(c *fakeClaims) { c.lostAnswer = true }, verdict.NotRun, verdict.ReasonStoreUnavailable},
		{"another request with the key may have run", func(c *fakeClaims) {
			c.claimFault = verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicate, "open")
		}, verdict.MayHaveRun, verdict.ReasonDuplicate},
		{"a refusal of the claim as a duplicate proves nothing about the key", func(c *fakeClaims) {
			c.claimFault = verdict.New(verdict.NotRun, verdict.ReasonDuplicate, "held by another")
		}, verdict.MayHaveRun, verdict.ReasonDuplicate},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			target, claims := newRawTarget(t, answerBody), newClaims()
			d := newDispatcher(t, claims, target.model("runner-1"))
			c.fault(claims)
			r := newRequest(model.AtMostOnce, "k1")
			_, err := d.Do(context.Background(), r)
			is.Equal(verdict.Of(err), c.verdict)
			is.Equal(verdict.From(err, "").Reason, c.reason)
			is.Equal(target.total(), 0) // nothing is sent without a claim
			d.settler.wait()
			claims.claimFault, claims.lostAnswer = nil, false
			_, err = d.Do(context.Background(), r)
			is.NoErr(err) // the key is free again
			is.Equal(target.total(), 1)
		})
	}
}

func TestFailedSettlementKeepsAnswerAndClaim(t *testing.T) {
	is := is.New(t)
	target, claims := newRawTarget(t, answerBody), newClaims()
	claims.settleFault = errAnswerLost
	d := New(Config{Self: "instance-1", Claims: claims, Log: zerolog.Nop()})
	d.SetDocument(testDocument())
	d.SetTargets([]model.Target{target.model("runner-1")})
	r := newRequest(model.AtMostOnce, "k1")
	resp, err := d.Do(context.Background(), r)
	is.NoErr(err) // the caller's answer does not depend on the settlement
	is.Equal(string(resp.Body), string(r.Body))
	_, err = d.Do(context.Background(), r)
	is.Equal(verdict.Of(err), verdict.MayHaveRun) // the claim is open
	is.Equal(target.total(), 1)
	claims.mu.Lock()
	claims.settleFault = nil
	claims.mu.Unlock()
	d.settler.wait()
	_, err = d.Do(context.Background(), r)
	is.Equal(verdict.Of(err), verdict.Ran) // it was settled by a later try
	is.Equal(target.total(), 1)
}

// TestDelayedSettlementDoesNotReleaseLaterClaim replays the settlement of a request that was
// not run while a later request with the same key is being executed.
func TestDelayedSettlementDoesNotReleaseLaterClaim(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	target := newRawTarget(t, func(c net.Conn, r *http.Request, body string) bool {
		started <- struct{}{}
		<-release
		return answerBody(c, r, body)
	})
	claims := newClaims()
	d := newDispatcher(t, claims)
	gone := target.model("gone")
	gone.Addr = "127.0.0.1:1"
	d.SetTargets([]model.Target{gone})
	r := newRequest(model.AtMostOnce, "k1")
	_, err := d.Do(context.Background(), r)
	is.Equal(verdict.Of(err), verdict.NotRun)
	d.settler.wait()
	firstHolder := claims.claims[r.Key].Holder
	d.SetTargets([]model.Target{target.model("runner-1")})
	second := make(chan error, 1)
	go func() {
		_, err := d.Do(context.Background(), r)
		second <- err
	}()
	<-started
	is.NoErr(claims.Settle(context.Background(), r.Key, firstHolder, verdict.NotRun)) // arrives late
	third := make(chan error, 1)
	go func() {
		_, err := d.Do(context.Background(), r)
		third <- err
	}()
	select {
	case err := <-third:
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
	case <-started:
		t.Error("the key is executed a second time")
	}
	close(release)
	is.NoErr(<-second)
	is.Equal(target.total(), 1)
}

// stuckClaims answers no claim before its deadline, as during an outage of the store.
type stuckClaims struct{ fakeClaims }

func (c *stuckClaims) Claim(ctx context.Context, _ ledger.ClaimRequest) (ledger.Claim, error) {
	<-ctx.Done()
	return ledger.Claim{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "no answer")
}

// TestOutageHoldsBoundedRequests submits requests while no claim is answered. They are held
// until their deadline, within bounds on their number and their bytes.
func TestOutageHoldsBoundedRequests(t *testing.T) {
	cases := []struct {
		sentence string
		body     int
		held     int
	}{
		{"small requests are bounded by their number", 10, MaxPendingRequests},
		{"large requests are bounded by their bytes", MaxRequestBodyBytes, MaxPendingBytes / MaxRequestBodyBytes},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := New(Config{Self: "instance-1", Claims: &stuckClaims{}, Log: zerolog.Nop()})
				d.SetDocument(testDocument())
				d.SetTargets([]model.Target{{ID: "runner-1", Service: "levy-desk", DataCentre: "cairo-a", Slots: 8}})
				var refused, held atomic.Int32
				body := make([]byte, c.body)
				started := time.Now()
				for i := range c.held + 10 {
					go func() {
						r := newRequest(model.AtMostOnce, fmt.Sprint("k", i))
						r.Body = body
						_, err := d.Do(context.Background(), r)
						is.Equal(verdict.Of(err), verdict.NotRun)
						switch verdict.From(err, "").Reason {
						case verdict.ReasonOverload:
							refused.Add(1)
						case verdict.ReasonStoreUnavailable:
							held.Add(1)
							is.Equal(time.Since(started), 5*time.Second)
						}
					}()
				}
				synctest.Wait()
				is.Equal(refused.Load(), int32(10)) // at once
				time.Sleep(6 * time.Second)
				is.Equal(held.Load(), int32(c.held))
				is.Equal(d.requests+d.bytes, 0)
			})
		})
	}
}

// targetFaults are the ways in which a target fails a request.
var targetFaults = []func(net.Conn, *http.Request, string) bool{
	answerBody,
	sendText(""),
	sendText("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"),
	sendText("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
	sendText(whole("another", "whole")),
	func(c net.Conn, r *http.Request, body string) bool { // a refusal with proof; the test counts it as not executed
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Late\r\n%s: %s\r\n%s: not-run\r\nContent-Length: 0\r\n\r\n", HeaderAttempt, r.Header.Get(HeaderAttempt), HeaderVerdict)
		return true
	},
}

// refusingFault is the index of the fault that executes nothing.
const refusingFault = 5

// TestHistoriesOfClaimedRequests submits a few keys through two instances with faults of the
// claims in a ledger and of the targets. The check sees only what the targets executed.
func TestHistoriesOfClaimedRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := 0
		reply := func(c net.Conn, r *http.Request, body string) bool { return targetFaults[fault](c, r, body) }
		target, other := newRawTarget(t, reply), newRawTarget(t, reply)
		defer target.listener.Close()
		defer other.listener.Close()
		gone := target.model("gone")
		gone.Addr = "127.0.0.1:1"
		claims := newLedgerClaims()
		instances := []*Dispatcher{newDispatcher(t, claims), newDispatcher(t, claims)}
		executedByKey := map[string]int{}
		unknown := map[string]bool{} // keys with an execution whose end is not known
		classes := map[string]model.RequestClass{
			"a": model.AtMostOnce,
			"b": model.AtMostOnce,
			"c": model.Exclusive,
		}
		for i := range rapid.IntRange(1, 20).Draw(rt, "submissions") {
			fault = rapid.IntRange(0, len(targetFaults)-1).Draw(rt, "target fault")
			claims.claimFault, claims.lostAnswer = nil, false
			switch rapid.SampledFrom([]string{"none", "none", "before", "after"}).Draw(rt, "claim fault") {
			case "before":
				claims.claimFault = errAnswerLost
			case "after":
				claims.lostAnswer = true
			}
			targets := rapid.SampledFrom([][]model.Target{{gone}, {target.model("runner-1"), other.model("runner-2")}, {gone, target.model("runner-1")}}).Draw(rt, "targets")
			d := rapid.SampledFrom(instances).Draw(rt, "instance")
			d.SetTargets(targets)
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
			r := newRequest(classes[key], key)
			r.Body = fmt.Appendf(nil, "%s#%d", key, i)
			resp, err := d.Do(context.Background(), r)
			d.settler.wait()
			executed := target.count(string(r.Body)) + other.count(string(r.Body))
			if fault == refusingFault {
				executed = 0
			}
			executedByKey[key] += executed
			if verdict.Of(err) == verdict.NotRun && executed != 0 {
				rt.Fatalf("submission %s: told not run, executed %d times: %v", r.Body, executed, err)
			}
			if err == nil && (executed != 1 || resp.Status == http.StatusOK && string(resp.Body) != string(r.Body)) {
				rt.Fatalf("submission %s: told ran, executed %d times, answer %q", r.Body, executed, resp.Body)
			}
			if executed > 0 && unknown[key] {
				rt.Fatalf("key %s executed although an earlier execution may not be over", key)
			}
			unknown[key] = unknown[key] || executed > 0 && err != nil
			if executedByKey[key] > 1 && classes[key] == model.AtMostOnce {
				rt.Fatalf("key %s executed %d times", key, executedByKey[key])
			}
		}
	})
}
