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

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// heldClaims answers every claim without an error, with a claim of another holder.
type heldClaims struct {
	*fakeClaims
	claim ledger.Claim
}

func (c *heldClaims) Claim(context.Context, ledger.ClaimRequest) (ledger.Claim, error) {
	return c.claim, nil
}

// A claim is answered without an error, but belongs to another request. The caller is told the verdict of
// that request, and nothing is sent.
func TestClaimOfAnotherHolder(t *testing.T) {
	for name, c := range map[string]struct {
		claim ledger.Claim
		want  verdict.Verdict
	}{
		"open":           {ledger.Claim{State: ledger.ClaimOpen, Holder: "other"}, verdict.MayHaveRun},
		"settled, ran":   {ledger.Claim{State: ledger.ClaimSettled, Holder: "other", Verdict: verdict.Ran}, verdict.Ran},
		"settled, not":   {ledger.Claim{State: ledger.ClaimSettled, Holder: "other", Verdict: verdict.NotRun}, verdict.NotRun},
		"without a word": {ledger.Claim{}, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newRawTarget(t, echoBody)
			d := newDispatcher(t, &heldClaims{newClaims(), c.claim}, target.model("runner-1"))
			_, err := d.Do(context.Background(), newRequest(model.AtMostOnce, "k1"))
			is.Equal(verdict.Of(err), c.want)
			is.Equal(verdict.From(err, "").Reason, verdict.ReasonDuplicate)
			is.Equal(target.total(), 0)
		})
	}
}

// errResponseLost is an injected error of the claim table that does not tell whether the operation
// took effect.
var errResponseLost = errors.New("answer lost")

func TestClaimFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(c *fakeClaims)
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"the claim is refused as not run", func(c *fakeClaims) {
			c.claimFault = verdict.New(verdict.NotRun, verdict.ReasonQuota, "full")
		}, verdict.NotRun, verdict.ReasonQuota},
		{"the claim fails before it took effect", func(c *fakeClaims) { c.claimFault = errResponseLost }, verdict.NotRun, verdict.ReasonStoreUnavailable},
		{"the claim takes effect and its answer is lost", func(c *fakeClaims) { c.loseResponse = true }, verdict.NotRun, verdict.ReasonStoreUnavailable},
		{"another request with the key may have run", func(c *fakeClaims) {
			c.claimFault = verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicate, "open")
		}, verdict.MayHaveRun, verdict.ReasonDuplicate},
		{"a refusal of the claim as a duplicate proves nothing about the key", func(c *fakeClaims) {
			c.claimFault = verdict.New(verdict.NotRun, verdict.ReasonDuplicate, "held by another")
		}, verdict.MayHaveRun, verdict.ReasonDuplicate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target, claims := newRawTarget(t, echoBody), newClaims()
			d := newDispatcher(t, claims, target.model("runner-1"))
			c.fault(claims)
			r := newRequest(model.AtMostOnce, "k1")
			_, err := d.Do(context.Background(), r)
			is.Equal(verdict.Of(err), c.verdict)
			is.Equal(verdict.From(err, "").Reason, c.reason)
			is.Equal(target.total(), 0) // nothing is sent without a claim
			d.settler.wait()
			claims.claimFault, claims.loseResponse = nil, false
			_, err = d.Do(context.Background(), r)
			is.NoErr(err) // the key can be claimed again
			is.Equal(target.total(), 1)
		})
	}
}

func TestFailedSettlementKeepsAnswerAndClaim(t *testing.T) {
	is := is.New(t)
	target, claims := newRawTarget(t, echoBody), newClaims()
	claims.settleFault = errResponseLost
	d := New(Config{Self: "instance-1", Claims: claims, Log: zerolog.Nop()})
	d.SetDocument(testDocument())
	d.SetTargets([]model.Target{target.model("runner-1")})
	r := newRequest(model.AtMostOnce, "k1")
	resp, err := d.Do(context.Background(), r)
	is.NoErr(err) // the response to the caller does not depend on the settlement
	is.Equal(string(resp.Body), string(r.Body))
	_, err = d.Do(context.Background(), r)
	is.Equal(verdict.Of(err), verdict.MayHaveRun) // the claim is still open
	is.Equal(target.total(), 1)
	claims.mu.Lock()
	claims.settleFault = nil
	claims.mu.Unlock()
	d.settler.wait()
	_, err = d.Do(context.Background(), r)
	is.Equal(verdict.Of(err), verdict.Ran) // the claim was settled by a repeated call
	is.Equal(target.total(), 1)
}

// TestDelayedSettlementDoesNotReleaseLaterClaim delivers the settlement of a request that was not
// run a second time, while a later request with the same key is being executed. The settlement
// must not release the claim of the later request, or the key could be executed twice.
func TestDelayedSettlementDoesNotReleaseLaterClaim(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	target := newRawTarget(t, func(c net.Conn, r *http.Request, body string) bool {
		started <- struct{}{}
		<-release
		return echoBody(c, r, body)
	})
	claims := newClaims()
	d := newDispatcher(t, claims)
	unreachable := target.model("gone")
	unreachable.Addr = "127.0.0.1:1"
	d.SetTargets([]model.Target{unreachable})
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
	is.NoErr(claims.Settle(context.Background(), r.Key, firstHolder, verdict.NotRun)) // the delayed settlement
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

// blockedClaims fails each claim at its deadline, as during an outage of the store.
type blockedClaims struct{ fakeClaims }

func (c *blockedClaims) Claim(ctx context.Context, _ ledger.ClaimRequest) (ledger.Claim, error) {
	<-ctx.Done()
	return ledger.Claim{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "no answer")
}

// TestOutageHoldsBoundedRequests submits requests while no claim is answered. They wait until their
// deadline. Requests beyond the limits on their number and their bytes are refused at once.
func TestOutageHoldsBoundedRequests(t *testing.T) {
	cases := []struct {
		name string
		body int
		held int
	}{
		{"small requests are bounded by their number", 10, MaxPendingRequests},
		{"large requests are bounded by their bytes", MaxRequestBodyBytes, MaxPendingBytes / MaxRequestBodyBytes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				d := New(Config{Self: "instance-1", Claims: &blockedClaims{}, Log: zerolog.Nop()})
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
				is.Equal(refused.Load(), int32(10)) // refused at once
				time.Sleep(6 * time.Second)
				is.Equal(held.Load(), int32(c.held))
				is.Equal(d.requests+d.bytes, 0)
			})
		})
	}
}

// targetFaults are the behaviours of a target: a correct response, and failures of several kinds.
var targetFaults = []func(net.Conn, *http.Request, string) bool{
	echoBody,
	sendText(""),
	sendText("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"),
	sendText("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
	sendText(completeResponse("another", "whole")),
	func(c net.Conn, r *http.Request, body string) bool { // a refusal with the attempt header proves not run; the test counts it as not executed
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Late\r\n%s: %s\r\n%s: not-run\r\nContent-Length: 0\r\n\r\n", HeaderAttempt, r.Header.Get(HeaderAttempt), HeaderVerdict)
		return true
	},
}

// refusalFault is the index in targetFaults of the refusal, which executes nothing.
const refusalFault = 5

// TestHistoriesOfClaimedRequests submits requests with a few keys through two instances, with
// injected faults of the claims and of the targets. It compares the verdicts of the submissions with
// the executions that the targets counted.
func TestHistoriesOfClaimedRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := 0
		reply := func(c net.Conn, r *http.Request, body string) bool { return targetFaults[fault](c, r, body) }
		target, other := newRawTarget(t, reply), newRawTarget(t, reply)
		defer target.listener.Close()
		defer other.listener.Close()
		unreachable := target.model("gone")
		unreachable.Addr = "127.0.0.1:1"
		claims := newLedgerClaims()
		instances := []*Dispatcher{newDispatcher(t, claims), newDispatcher(t, claims)}
		executedByKey := map[string]int{}
		unresolved := map[string]bool{} // keys with an execution that may not have ended
		classes := map[string]model.RequestClass{
			"a": model.AtMostOnce,
			"b": model.AtMostOnce,
			"c": model.Exclusive,
		}
		for i := range rapid.IntRange(1, 20).Draw(rt, "submissions") {
			fault = rapid.IntRange(0, len(targetFaults)-1).Draw(rt, "target fault")
			claims.claimFault, claims.loseResponse = nil, false
			switch rapid.SampledFrom([]string{"none", "none", "before", "after"}).Draw(rt, "claim fault") {
			case "before":
				claims.claimFault = errResponseLost
			case "after":
				claims.loseResponse = true
			}
			targets := rapid.SampledFrom([][]model.Target{{unreachable}, {target.model("runner-1"), other.model("runner-2")}, {unreachable, target.model("runner-1")}}).Draw(rt, "targets")
			d := rapid.SampledFrom(instances).Draw(rt, "instance")
			d.SetTargets(targets)
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
			r := newRequest(classes[key], key)
			r.Body = fmt.Appendf(nil, "%s#%d", key, i)
			resp, err := d.Do(context.Background(), r)
			d.settler.wait()
			executed := target.count(string(r.Body)) + other.count(string(r.Body))
			if fault == refusalFault {
				executed = 0
			}
			executedByKey[key] += executed
			if verdict.Of(err) == verdict.NotRun && executed != 0 {
				rt.Fatalf("submission %s: reported as not run, executed %d times: %v", r.Body, executed, err)
			}
			if err == nil && (executed != 1 || resp.Status == http.StatusOK && string(resp.Body) != string(r.Body)) {
				rt.Fatalf("submission %s: reported as run, executed %d times, response %q", r.Body, executed, resp.Body)
			}
			if executed > 0 && unresolved[key] {
				rt.Fatalf("key %s executed although an earlier execution may not be over", key)
			}
			unresolved[key] = unresolved[key] || executed > 0 && err != nil
			if executedByKey[key] > 1 && classes[key] == model.AtMostOnce {
				rt.Fatalf("key %s executed %d times", key, executedByKey[key])
			}
		}
	})
}
