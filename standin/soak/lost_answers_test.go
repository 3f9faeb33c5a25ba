package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// testFence is the fencing token of the requests in tests of lost answers. A worker that has executed one knows it.
const testFence = 7

// loseOneAnswer sends a request whose answer is lost, and returns whether it was executed at once, and whether it was at
// last.
func loseOneAnswer(t *testing.T, path string, seed uint64) (atOnce, atLast bool) {
	is := is.New(t)
	_, w := newTestChecker()
	w.rng = rand.New(rand.NewPCG(seed, 1))
	w.SetLostAnswerShare(1)
	body, err := json.Marshal(requestBody{Task: taskName("a", 0, 0), Run: 1, Spec: "p", Until: 1000, Fence: testFence})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body))
	r.Header.Set("X-Target-Instance", w.ID)
	answer := httptest.NewRecorder()
	answer.Code = 0
	go func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }() // the connection is closed
		w.ServeHTTP(answer, r)
	}()
	synctest.Wait()
	executed := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.fencingToken == testFence
	}
	atOnce = executed()
	time.Sleep(minLateTime - time.Millisecond)
	is.Equal(executed(), atOnce)
	time.Sleep(maxLateTime)
	cancel()
	synctest.Wait()
	is.Equal(answer.Body.Len(), 0)
	return atOnce, executed()
}

// Guards against a soak in which only starts and stops lose their answers, and all of them are executed (issue 42).
func TestRequestsOfAllKindsLoseTheirAnswers(t *testing.T) {
	for _, path := range []string{"/api/run-start", "/api/run-stop", "/api/pace", holdPath} {
		t.Run(path, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				var atOnce, late, never int
				for seed := range uint64(30) {
					switch first, last := loseOneAnswer(t, path, seed); {
					case first:
						atOnce++
					case last:
						late++
					default:
						never++
					}
				}
				is.True(min(atOnce, late, never) >= 3)
			})
		})
	}
}
