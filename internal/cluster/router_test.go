package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/membership"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// peers is a transport that answers each call with the next error of a list, then succeeds.
type peers struct {
	failures []error
	calls    int
}

func (p *peers) Call(context.Context, string, peer.Kind, any, any) error {
	p.calls++
	if p.calls <= len(p.failures) {
		return p.failures[p.calls-1]
	}
	return nil
}

// members is a list of two instances of which the other one owns everything.
type members struct{}

func (members) Members() []membership.Member {
	return []membership.Member{{ID: "self"}, {ID: "other", PeerAddr: "other:1"}}
}

func (m members) Assigned(model.Partition) (membership.Member, bool) { return m.Members()[1], true }

// documents holds one configuration.
type documents struct{ doc *config.Document }

func (d documents) Current() (*config.Document, bool) { return d.doc, true }

func (d documents) Confirm(context.Context) (*config.Document, error) { return d.doc, nil }

// newTestRouter returns a router whose calls all go to another instance.
func newTestRouter(p *peers) *Router {
	return NewRouter(Config{
		Self:      "self",
		Manager:   partition.NewManager(partition.ManagerConfig{}),
		Members:   members{},
		Documents: documents{&config.Document{Operators: config.Operators{Partitions: 4}}},
		Pool:      p,
		Clock:     platform.SystemClock{},
		Log:       zerolog.Nop(),
	})
}

func TestCallKeepsTheWeakestVerdict(t *testing.T) {
	moved := verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "moved")
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonPeerUnreachable, "no answer")
	refused := verdict.New(verdict.NotRun, verdict.ReasonQuota, "no")
	cases := []struct {
		sentence string
		failures []error
		once     bool
		want     verdict.Verdict
		calls    int
	}{
		{"a call that moved is made again", []error{moved, moved}, false, verdict.Ran, 3},
		{"a lost answer of an idempotent call is made good", []error{lost}, false, verdict.Ran, 2},
		{"a refusal is final", []error{refused}, false, verdict.NotRun, 1},
		{"a refusal after a lost answer proves nothing about the first try", []error{lost, refused}, false, verdict.MayHaveRun, 2},
		{"a call that must not be repeated ends with a lost answer", []error{lost}, true, verdict.MayHaveRun, 1},
		{"a call that must not be repeated goes on while it surely did not run", []error{moved}, true, verdict.Ran, 2},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &peers{failures: c.failures}
				e := endpoint[jobsMessage, empty]{once: c.once}
				_, err := e.invoke(t.Context(), newTestRouter(p), jobsMessage{})
				is.Equal(verdict.Of(err), c.want)
				is.Equal(p.calls, c.calls)
			})
		})
	}
}

func TestCallEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failures := make([]error, 1000)
		for i := range failures {
			failures[i] = verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "moved")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := listJobs.invoke(ctx, newTestRouter(&peers{failures: failures}), jobsMessage{})
		is.Equal(verdict.Of(err), verdict.NotRun) // every try was refused unexecuted
	})
}

func TestSummariesOfDeposedOwnersAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSummaries(platform.SystemClock{}, 1)
		s.add([]partition.Summary{{Partition: 1, Owner: "new", Epoch: 2}})
		s.add([]partition.Summary{{Partition: 1, Owner: "old", Epoch: 1}})
		owner, ok := s.owner(1)
		is.True(ok)
		is.Equal(owner, model.InstanceID("new"))
		time.Sleep(summaryLife + time.Second)
		_, ok = s.owner(1)
		is.True(!ok) // an old summary says nothing
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
		sentence string
		known    []partition.Summary
		allowed  []model.DataCentre
		want     model.Partition
		found    bool
	}{
		{"a partition with room is chosen", []partition.Summary{free(0, "kochi", small), free(1, "kochi", small), free(2, "kochi", large)}, nil, 2, true},
		{"a data centre out of service has no room", []partition.Summary{free(0, "kochi", small), free(1, "kollam", large)}, nil, 0, false},
		{"only allowed data centres count", []partition.Summary{free(0, "kochi", small), free(1, "kochi", large), free(2, "thrissur", large)}, []model.DataCentre{"thrissur"}, 2, true},
		{"a full system leaves the job where it can run", []partition.Summary{free(0, "kochi", small), free(1, "kochi", small)}, nil, 0, false},
		{"a job whose partition has no workers moves even to a full one", []partition.Summary{{Partition: 0, Epoch: 1}, free(1, "kochi", small)}, nil, 1, true},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			s := newSummaries(platform.SystemClock{}, 1)
			s.add(c.known)
			got, found := s.destination(model.JobSpec{Declared: large, DataCentres: c.allowed}, 0, doc)
			is.Equal(found, c.found)
			is.Equal(got, c.want)
		})
	}
}
