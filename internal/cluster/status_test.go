package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/query"
)

// currentContact is a StoreContact whose last response is always now.
type currentContact struct{}

func (currentContact) LastContact() time.Time { return time.Now() }

func TestStatusAddsUpTheWorkersOfAllPartitions(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(&fakePool{})
	r.summaries.add([]partition.Summary{
		{Partition: 0, Owner: "self", Reachable: 9, Quarantined: 1},
		{Partition: 3, Owner: "other", Reachable: 4, Quarantined: 2},
	})
	inventory := func() []model.Worker { return []model.Worker{{ID: "a"}, {ID: "b", Leaving: true}} }
	status, err := (&StatusReader{Router: r, Store: currentContact{}, Workers: inventory}).Status(t.Context())
	is.NoErr(err)
	is.Equal(status.Workers, query.WorkerCounts{Total: 2, Reachable: 13, Quarantined: 3, Leaving: 1})
}
