package server

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/membership"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

func TestPlannedStopAnswersWhatIsInFlight(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		is.Equal(s.get(callerAddr, "/readyz").status, http.StatusOK)
		release := s.store.blockSwaps("journal/")
		submitted := make(chan callResult, 1)
		go func() { submitted <- s.call(http.MethodPost, callerAddr, "/v1/jobs", jobText) }()
		time.Sleep(time.Second)
		is.True(s.store.countBlocked() > 0) // the write of the job's record is blocked

		s.stop()
		synctest.Wait()
		ready := s.get(callerAddr, "/readyz")
		is.Equal(ready.status, http.StatusServiceUnavailable) // not ready before the partitions and the membership are released
		is.True(strings.Contains(ready.body, "stopping"))
		is.Equal(s.server.manager.Count(), 2)
		is.Equal(len(s.store.keys(membership.KeyPrefix)), 1)

		time.Sleep(balancerDelay + 500*time.Millisecond)
		is.Equal(s.get(callerAddr, "/healthz").status, http.StatusOK) // it serves until the last call is answered
		is.Equal(len(submitted), 0)
		release()
		got := <-submitted
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusAccepted)
		is.NoErr(s.end())
		is.Equal(s.server.manager.Count(), 0)
		is.True(s.log.has("partition.released", `"partition":0`))
		is.True(s.log.has("partition.released", `"partition":1`))
		is.Equal(len(s.store.keys(membership.KeyPrefix)), 0) // the membership lease is revoked
		is.Equal(s.network.countListeners(), 0)
		is.True(s.log.has("instance.stopped"))
		is.True(!s.log.has("drain.incomplete"))
		is.True(!s.log.has("listener.cut"))
	})
}

func TestStopThatExceedsItsTimeLogsWhatWasCut(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		defer s.store.blockSwaps("journal/")()
		submitted := make(chan callResult, 1)
		go func() { submitted <- s.call(http.MethodPost, callerAddr, "/v1/jobs", jobText) }()
		time.Sleep(time.Second)
		began := time.Now()
		is.NoErr(s.end())
		is.True(time.Since(began) <= testSettings().DrainTimeout+2*time.Second)
		is.True(s.log.has("drain.incomplete", `"part":"partitions"`, `"held":`))
		is.True(s.log.has("listener.cut", `"listener":"callers"`, `"calls":1`))
		result := <-submitted
		is.True(result.err != nil || strings.Contains(result.body, "may-have-run")) // the caller must not be told that the job did not run
	})
}

// hangingStore does not answer reads before their context ends.
type hangingStore struct{ platform.Store }

func (hangingStore) Get(ctx context.Context, _ string) (platform.KeyValue, int64, error) {
	<-ctx.Done()
	return platform.KeyValue{}, 0, &platform.StoreError{Op: "get", Cause: ctx.Err()}
}

func TestStartWithUnresponsiveStore(t *testing.T) {
	cases := []struct {
		name    string
		stopped bool
		want    string
	}{
		{"an unresponsive store fails the start and the error names it", false, "setting --store: no answer from [http://10.0.0.9:2379]"},
		{"a stop during the start is not reported as an error of the store", true, ErrStopped.Error()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				if c.stopped {
					time.AfterFunc(time.Second, stop)
				}
				config := testSettings()
				config.Stores = []string{"http://10.0.0.9:2379"}
				began := time.Now()
				_, err := newServer(ctx, config, zerolog.Nop(), dependencies{store: hangingStore{}})
				is.True(err != nil)
				is.Equal(errors.Is(err, ErrStopped), c.stopped)
				is.True(strings.HasPrefix(err.Error(), c.want))
				is.True(!strings.Contains(err.Error(), "\n"))
				is.True(time.Since(began) <= startTimeout)
			})
		})
	}
}

func TestStopRightAfterTheStart(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		is.NoErr(s.server.Run(ctx))
		is.Equal(len(s.store.keys(membership.KeyPrefix)), 0)
		is.Equal(s.network.countListeners(), 0)
		is.Equal(s.server.manager.Count(), 0)
	})
}

func TestAddressInUseEndsTheStart(t *testing.T) {
	cases := []struct{ name, addr, want string }{
		{"the callers' address names its setting", callerAddr, "setting --caller-listen: "},
		{"the operators' address names its setting", operatorAddr, "setting --operator-listen: "},
		{"the peers' address names its setting", peerAddr, "setting --peer-listen: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				s := newHarness(t)
				occupied, err := s.network.listen(c.addr)
				is.NoErr(err)
				defer occupied.Close()
				writes := s.store.writes
				err = s.server.Run(t.Context())
				is.True(err != nil)
				is.True(strings.HasPrefix(err.Error(), c.want))
				is.True(strings.Contains(err.Error(), "address already in use"))
				is.Equal(s.store.writes, writes)        // nothing was written
				is.Equal(s.network.countListeners(), 1) // only the listener that occupied the address
				is.True(!strings.Contains(err.Error(), "\n"))
			})
		})
	}
}
