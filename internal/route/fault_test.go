package route

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// sendText returns a reply function that writes a fixed response and closes the connection.
func sendText(text string) func(net.Conn, *http.Request, string) bool {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, text)
		return false
	}
}

func TestBrokenAnswersAreNeverPassedOn(t *testing.T) {
	cases := []struct {
		name   string
		reply  func(net.Conn, *http.Request, string) bool
		reason verdict.Reason
	}{
		{"the connection closes without an answer", sendText(""), verdict.ReasonTargetFailed},
		{"the status line is cut", sendText("HTTP/1.1 20"), verdict.ReasonTargetFailed},
		{"the header is cut", sendText("HTTP/1.1 200 OK\r\nContent-Le"), verdict.ReasonTargetFailed},
		{"the body is shorter than its Content-Length", sendText("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"), verdict.ReasonTruncated},
		{"the body is absent", sendText("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"), verdict.ReasonTruncated},
		{"a chunk is cut", sendText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho"), verdict.ReasonTruncated},
		{"the last chunk is absent", sendText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"), verdict.ReasonTruncated},
		{"the body ends with the connection, without a stated length", sendText("HTTP/1.1 200 OK\r\n\r\nwhole or not"), verdict.ReasonTruncated},
		{"two lengths contradict each other", sendText("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nwhole"), verdict.ReasonTargetFailed},
		{"the answer is larger than the limit", sendText(completeResponse("", strings.Repeat("x", MaxResponseBodyBytes+1))), verdict.ReasonTruncated},
		{"the answer is that of another attempt", sendText(completeResponse("another", "whole")), verdict.ReasonTargetFailed},
		{"the answer is not HTTP", sendText("whole\r\n\r\n"), verdict.ReasonTargetFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			broken, good := newRawTarget(t, c.reply), newRawTarget(t, echoBody)
			claims := newClaims()
			d := newDispatcher(t, claims, broken.model("broken"))
			once := newRequest(model.AtMostOnce, "k1")
			_, err := d.Do(context.Background(), once)
			is.Equal(verdict.Of(err), verdict.MayHaveRun) // it was executed, but the response is not complete
			is.Equal(verdict.From(err, "").Reason, c.reason)
			d.SetTargets([]model.Target{broken.model("broken"), good.model("good")})
			_, err = d.Do(context.Background(), once)
			is.Equal(verdict.From(err, "").Reason, verdict.ReasonDuplicate)
			is.Equal(broken.total()+good.total(), 1) // it is not sent again
			for i := range 5 {
				r := newRequest(model.Idempotent, fmt.Sprint("k", i))
				r.Body = []byte(r.Key)
				resp, err := d.Do(context.Background(), r)
				is.NoErr(err) // it is retried if necessary
				is.Equal(string(resp.Body), string(r.Key))
			}
		})
	}
}

// TestAnswersOutOfOrderReachTheirOwnRequestOrNone uses targets that respond to each request on a
// connection with the response to the previous request on it.
func TestAnswersOutOfOrderReachTheirOwnRequestOrNone(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprintf("the target echoes the attempt: %v", echoes), func(t *testing.T) {
			is := is.New(t)
			delayed := map[net.Conn]string{}
			target := newRawTarget(t, func(c net.Conn, r *http.Request, body string) bool {
				attempt := ""
				if echoes {
					attempt = r.Header.Get(HeaderAttempt)
				}
				answer := delayed[c]
				delayed[c] = completeResponse(attempt, body)
				if answer == "" {
					answer = delayed[c]
				}
				_, err := io.WriteString(c, answer)
				return err == nil
			})
			d := newDispatcher(t, newClaims(), target.model("runner-1"))
			answered := 0
			for i := range 20 {
				r := newRequest(model.Idempotent, fmt.Sprint("k", i))
				r.Body = []byte(r.Key)
				resp, err := d.Do(context.Background(), r)
				if err == nil {
					answered++
					is.Equal(string(resp.Body), string(r.Key)) // the response to this request
				}
			}
			is.True(answered > 0)
		})
	}
}

func TestLateAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	target := newRawTarget(t, func(c net.Conn, r *http.Request, body string) bool {
		if body == "slow" {
			cancel() // the caller cancels once the target has the request
			<-release
		}
		return echoBody(c, r, body)
	})
	d := newDispatcher(t, newClaims(), target.model("runner-1"))
	r := newRequest(model.Idempotent, "k0")
	r.Body = []byte("quick")
	_, err := d.Do(context.Background(), r) // the target returns the attempt header, so connections are reused
	is.NoErr(err)
	r.Body = []byte("slow")
	_, err = d.Do(ctx, r)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(verdict.From(err, "").Reason, verdict.ReasonCancelled)
	close(release)
	for i := range 20 {
		r := newRequest(model.Idempotent, fmt.Sprint("k", i))
		r.Body = []byte(r.Key)
		resp, err := d.Do(context.Background(), r)
		is.NoErr(err)
		is.Equal(string(resp.Body), string(r.Key))
	}
}

func TestRedirectIsPassedOnAndNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			other := newRawTarget(t, echoBody)
			target := newRawTarget(t, sendText(fmt.Sprintf("HTTP/1.1 %d Elsewhere\r\nLocation: http://%s/file\r\nContent-Length: 0\r\n\r\n",
				status, other.listener.Addr())))
			d := newDispatcher(t, newClaims(), target.model("runner-1"))
			resp, err := d.Do(context.Background(), newRequest(model.AtMostOnce, "k1"))
			is.NoErr(err)
			is.Equal(resp.Status, status)
			is.Equal(target.total(), 1)
			is.Equal(other.total(), 0)
		})
	}
}

// TestCutAtEveryByteGivesTrueVerdict closes the connection to the target after each number of bytes
// in each direction, and submits the key again over a connection without faults.
func TestCutAtEveryByteGivesTrueVerdict(t *testing.T) {
	seen := map[verdict.Verdict]int{}
	for _, direction := range []string{"up", "down"} {
		for at := 0; ; at++ {
			up, down := at, -1
			if direction == "down" {
				up, down = -1, at
			}
			v := submitWithTruncation(t, direction, at, truncatingDialer(up, down))
			seen[v]++
			if v == verdict.Ran {
				break
			}
		}
	}
	t.Logf("outcomes: %v", seen)
	is.New(t).True(seen[verdict.MayHaveRun] > 100)
}

// submitWithTruncation submits a request over a faulty connection and again over one without faults.
// It compares the executions of the target with the verdicts that were returned to the caller.
func submitWithTruncation(t *testing.T, direction string, at int, dial func(context.Context, string, string) (net.Conn, error)) verdict.Verdict {
	t.Helper()
	target, claims := newRawTarget(t, echoBody), newClaims()
	faulty := New(Config{Self: "faulty", Claims: claims, Log: zerolog.Nop(), Dial: dial})
	faulty.SetDocument(testDocument())
	faulty.SetTargets([]model.Target{target.model("runner-1")})
	r := newRequest(model.AtMostOnce, "k1")
	r.Body = []byte("first")
	resp, err := faulty.Do(context.Background(), r)
	faulty.settler.wait()
	first := verdict.Of(err)
	r.Body = []byte("second")
	_, err = newDispatcher(t, claims, target.model("runner-1")).Do(context.Background(), r)
	second := verdict.Of(err)
	switch {
	case first == verdict.NotRun && target.count("first") != 0:
		t.Errorf("cut %s after %d bytes: reported as not run, but executed", direction, at)
	case first == verdict.NotRun && second != verdict.Ran:
		t.Errorf("cut %s after %d bytes: reported as not run, but the key is refused: %v", direction, at, err)
	case first == verdict.Ran && (target.count("first") != 1 || string(resp.Body) != "first"):
		t.Errorf("cut %s after %d bytes: reported as run, executed %d times, response %q", direction, at, target.count("first"), resp.Body)
	}
	if target.total() > 1 {
		t.Errorf("cut %s after %d bytes: executed %d times", direction, at, target.total())
	}
	return first
}

func TestRefusedDialProvesNotRunAndMovesOn(t *testing.T) {
	for _, class := range []model.RequestClass{model.Idempotent, model.Exclusive, model.AtMostOnce} {
		t.Run("class "+string(class), func(t *testing.T) {
			is := is.New(t)
			unreachable, good := newRawTarget(t, echoBody), newRawTarget(t, echoBody)
			is.NoErr(unreachable.listener.Close())
			d := newDispatcher(t, newClaims(), unreachable.model("gone"))
			_, err := d.Do(context.Background(), newRequest(class, "k1"))
			is.Equal(verdict.Of(err), verdict.NotRun)
			d.settler.wait()
			d.SetTargets([]model.Target{unreachable.model("gone"), good.model("good")})
			for i := range 5 {
				_, err = d.Do(context.Background(), newRequest(class, fmt.Sprint("k", i)))
				is.NoErr(err)
			}
			is.Equal(good.total(), 5)
		})
	}
}

// TestEarlierAttemptIsNotForgotten checks that the verdict is not NotRun if only the last attempt is
// proved not to have run and an earlier one may have.
func TestEarlierAttemptIsNotForgotten(t *testing.T) {
	is := is.New(t)
	lossy, unreachable := newRawTarget(t, sendText("")), newRawTarget(t, echoBody)
	is.NoErr(unreachable.listener.Close())
	for range 20 { // either target may be the first
		d := newDispatcher(t, newClaims(), lossy.model("lossy"), unreachable.model("gone"))
		before := lossy.total()
		_, err := d.Do(context.Background(), newRequest(model.Idempotent, "k1"))
		is.True(err != nil)
		if verdict.Of(err) == verdict.NotRun {
			is.Equal(lossy.total(), before)
		}
	}
}

func TestRetryBudgetBoundsTheLoadOfAFailingService(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	a, b := newRawTarget(t, sendText("")), newRawTarget(t, sendText(""))
	d := newDispatcher(t, newClaims(), a.model("a"), b.model("b"))
	for i := range requests {
		_, err := d.Do(context.Background(), newRequest(model.Idempotent, fmt.Sprint("k", i)))
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
	}
	sends := a.total() + b.total()
	t.Logf("%d sends for %d requests", sends, requests)
	is.True(sends >= requests)
	is.True(float64(sends) <= requests*(1+retriesPerRequest)+maxSavedRetries)
}

// TestCancelledAttemptToldNotRunIsNeverWritten cancels attempts at the moment at which they get
// their connection. The transport may then report the cancellation and write the request later.
func TestCancelledAttemptToldNotRunIsNeverWritten(t *testing.T) {
	is := is.New(t)
	target := newRawTarget(t, echoBody)
	d := newDispatcher(t, newClaims(), target.model("runner-1"))
	var notRun []string
	for i := range 500 {
		ctx, cancel := context.WithCancel(context.Background())
		r := newRequest(model.AtMostOnce, "k1")
		r.Body = fmt.Append(nil, i)
		_, err := d.sender.send(ctx, d.pools["levy-desk"].targets[0], r, func() bool {
			cancel()
			return true
		})
		if err != nil && err.Verdict == verdict.NotRun {
			notRun = append(notRun, string(r.Body))
		}
	}
	time.Sleep(50 * time.Millisecond) // time for an erroneous write to arrive
	t.Logf("%d of 500 attempts returned the verdict not-run", len(notRun))
	for _, body := range notRun {
		is.Equal(target.count(body), 0)
	}
}
