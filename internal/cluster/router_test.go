package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/membership"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// fakePool is a Pool whose calls return the given errors in order and then succeed.
type fakePool struct {
	failures []error
	calls    int
}

func (p *fakePool) Call(context.Context, string, peer.Kind, any, any) error {
	p.calls++
	if p.calls <= len(p.failures) {
		return p.failures[p.calls-1]
	}
	return nil
}

// fakeMembers lists two instances, "self" and "other", and assigns all partitions to "other".
type fakeMembers struct{}

func (fakeMembers) Members() []membership.Member {
	return []membership.Member{{ID: "self"}, {ID: "other", PeerAddr: "other:1"}}
}

func (m fakeMembers) Assigned(model.Partition) (membership.Member, bool) { return m.Members()[1], true }

// fakeDocuments is a ConfigSource with a fixed configuration.
type fakeDocuments struct{ doc *config.Document }

func (d fakeDocuments) Current() (*config.Document, bool) { return d.doc, true }

func (d fakeDocuments) Confirm(context.Context) (*config.Document, error) { return d.doc, nil }

// newTestRouter returns a Router that owns no partition and makes all calls through p.
func newTestRouter(p *fakePool) *Router {
	return NewRouter(Config{
		Self:      "self",
		Manager:   partition.NewManager(partition.ManagerConfig{}),
		Members:   fakeMembers{},
		Documents: fakeDocuments{&config.Document{Operators: config.Operators{Partitions: 4}}},
		Pool:      p,
		Clock:     platform.SystemClock{},
		Log:       zerolog.Nop(),
	})
}

func TestRetriesReturnTheWeakestVerdict(t *testing.T) {
	moved := verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "moved")
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "no response")
	refused := verdict.New(verdict.NotRun, verdict.ReasonQuota, "no")
	cases := []struct {
		name       string
		failures   []error
		atMostOnce bool
		want       verdict.Verdict
		calls      int
	}{
		{"a call whose partition moved is retried", []error{moved, moved}, false, verdict.Ran, 3},
		{"an idempotent call is retried after a lost response", []error{lost}, false, verdict.Ran, 2},
		{"a refusal is final", []error{refused}, false, verdict.NotRun, 1},
		{"a refusal after a lost response proves nothing about the first attempt", []error{lost, refused}, false, verdict.MayHaveRun, 2},
		{"an at-most-once call is not retried after a lost response", []error{lost}, true, verdict.MayHaveRun, 1},
		{"an at-most-once call is retried if it did not run", []error{moved}, true, verdict.Ran, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				p := &fakePool{failures: c.failures}
				e := endpoint[listJobsMessage, empty]{atMostOnce: c.atMostOnce}
				_, err := e.invoke(t.Context(), newTestRouter(p), listJobsMessage{})
				is.Equal(verdict.Of(err), c.want)
				is.Equal(p.calls, c.calls)
			})
		})
	}
}

func TestCallEndsAtItsDeadline(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		failures := make([]error, 1000)
		for i := range failures {
			failures[i] = verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "moved")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := listJobs.invoke(ctx, newTestRouter(&fakePool{failures: failures}), listJobsMessage{})
		is.Equal(verdict.Of(err), verdict.NotRun) // every attempt was refused without execution
	})
}

func TestSummariesOfDeposedOwnersAreIgnored(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newSummaries(platform.SystemClock{}, 1)
		s.add([]partition.Summary{{Partition: 1, Owner: "new", Epoch: 2}})
		s.add([]partition.Summary{{Partition: 1, Owner: "old", Epoch: 1}})
		owner, ok := s.owner(1)
		is.True(ok)
		is.Equal(owner, model.InstanceID("new"))
		time.Sleep(summaryTTL + time.Second)
		_, ok = s.owner(1)
		is.True(!ok) // a summary past its TTL names no owner
	})
}

func TestDestination(t *testing.T) {
	doc := &config.Document{Operators: config.Operators{
		Partitions:  4,
		DataCentres: []config.DataCentre{{Name: "kochi"}, {Name: "kollam", Out: true}, {Name: "thrissur"}},
	}}
	small := model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	large := model.Resources{MilliCPU: 8000, MemoryMB: 8000}
	free := func(p model.Partition, dc model.DataCentre, r model.Resources) partition.Summary {
		return partition.Summary{Partition: p, Epoch: 1, Free: []partition.FreeCapacity{{DataCentre: dc, Total: r, Largest: r}}}
	}
	cases := []struct {
		name    string
		known   []partition.Summary
		allowed []model.DataCentre
		want    model.Partition
		found   bool
	}{
		{"a partition with enough capacity is chosen", []partition.Summary{free(0, "kochi", small), free(1, "kochi", small), free(2, "kochi", large)}, nil, 2, true},
		{"a data centre out of service has no capacity", []partition.Summary{free(0, "kochi", small), free(1, "kollam", large)}, nil, 0, false},
		{"only allowed data centres count", []partition.Summary{free(0, "kochi", small), free(1, "kochi", large), free(2, "thrissur", large)}, []model.DataCentre{"thrissur"}, 2, true},
		{"without capacity anywhere the job stays in a partition that can run it", []partition.Summary{free(0, "kochi", small), free(1, "kochi", small)}, nil, 0, false},
		{"a job whose partition has no workers moves even to a partition without capacity", []partition.Summary{{Partition: 0, Epoch: 1}, free(1, "kochi", small)}, nil, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSummaries(platform.SystemClock{}, 1)
			s.add(c.known)
			got, found := s.destination(model.JobSpec{Declared: large, DataCentres: c.allowed}, 0, doc)
			is.Equal(found, c.found)
			is.Equal(got, c.want)
		})
	}
}
