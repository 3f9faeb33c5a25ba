package route

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

func TestRequestsAreCountedByVerdictAndReason(t *testing.T) {
	is := is.New(t)
	target := newRawTarget(t, echoBody)
	scope := tally.NewTestScope("", nil)
	d := New(Config{Self: "instance-1", Claims: newClaims(), Scope: scope, Log: zerolog.Nop()})
	d.SetDocument(testDocument())
	d.SetTargets([]model.Target{target.model("runner-1")})
	for range 3 {
		_, err := d.Do(context.Background(), newRequest(model.Idempotent, "k1"))
		is.NoErr(err)
	}
	d.SetTargets(nil)
	_, err := d.Do(context.Background(), newRequest(model.AtMostOnce, "k2"))
	is.True(err != nil)
	counters := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counters[c.Name()+" "+c.Tags()["class"]+" "+c.Tags()["verdict"]+" "+c.Tags()["reason"]] = c.Value()
	}
	is.Equal(counters["route.requests idempotent ran "], int64(3))
	is.Equal(counters["route.requests once not-run no-target"], int64(1))
	recorded := int64(0)
	for _, h := range scope.Snapshot().Histograms() {
		for _, n := range h.Durations() {
			recorded += n
		}
	}
	is.Equal(recorded, int64(4))
}
