package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/owner"
)

var errLost = errors.New("answer lost")

// scripted is a store whose transactions fail as told, one after the other, and then work.
type scripted struct {
	kv.Store
	commits []error
	calls   int
	items   map[string]kv.Item
	gets    error
}

func (s *scripted) Commit(context.Context, kv.Txn) (int64, error) {
	s.calls++
	if len(s.commits) == 0 {
		return 7, nil
	}
	err := s.commits[0]
	if len(s.commits) > 1 {
		s.commits = s.commits[1:]
	}
	return 0, err
}

func (s *scripted) Get(_ context.Context, key string) (kv.Item, error) {
	if s.gets != nil {
		return kv.Item{}, s.gets
	}
	if i, ok := s.items[key]; ok {
		return i, nil
	}
	return kv.Item{}, kv.ErrNotFound
}

type fakeOperator struct{}

func (fakeOperator) Prefix() string { return "op/" }
func (fakeOperator) Decode(items []kv.Item) (*Config, error) {
	for _, i := range items {
		if i.Key == "op/config" {
			return &Config{Batch: batch.Config{Version: int64(i.Value[0])}}, nil
		}
	}
	return nil, nil
}

func newInstance(s kv.Store) *Instance {
	return New(Options{Name: "i", PeerAddress: "127.0.0.1:1"}, s, fakeOperator{}, nil, nil, zerolog.Nop())
}

// submit submits a job that may wait for three seconds, and tells how long it took.
func submit(t *testing.T, s *scripted) (result Result, took time.Duration) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		begun := time.Now()
		table := &Config{Batch: batch.Config{Queues: map[string]batch.Queue{"q": {Service: "s"}}}}
		result = newInstance(s).Submit(ctx, table, "id", "q", batch.Spec{})
		took = time.Since(begun)
	})
	return result, took
}

func TestSubmit(t *testing.T) {
	for name, c := range map[string]struct {
		commits []error
		want    Result
	}{
		"stored at once":            {nil, Done},
		"known id":                  {[]error{kv.ErrConflict}, Done},
		"refused for a moment":      {[]error{kv.ErrUnavailable, kv.ErrUnavailable, kv.ErrConflict}, Done},
		"answer lost, then found":   {[]error{errLost, kv.ErrConflict}, Done},
		"answer lost, then refused": {[]error{errLost, kv.ErrUnavailable}, Unknown},
		"no answer at all":          {[]error{errLost}, Unknown},
		"refused all the time":      {[]error{kv.ErrUnavailable}, NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, _ := submit(t, &scripted{commits: c.commits})
			is.Equal(got, c.want)
		})
	}
}

// Once one try has had an unknown outcome, no later refusal may say that the job never runs.
func TestRefusalIsNeverSaidAfterAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	got, took := submit(t, &scripted{commits: []error{kv.ErrUnavailable, errLost, kv.ErrUnavailable}})
	is.Equal(got, Unknown)
	is.True(took >= 2900*time.Millisecond) // it looks for the outcome as long as the caller waits
}

func TestRefusalComesAtOnce(t *testing.T) {
	is := is.New(t)
	_, took := submit(t, &scripted{commits: []error{kv.ErrUnavailable}})
	is.True(took < 500*time.Millisecond)
}

func TestStoredOutcomes(t *testing.T) {
	job := kv.Item{Key: owner.JobKey("id"), Value: owner.EncodeSubmission(owner.Submission{Queue: "q"})}
	cancelled := kv.Item{Key: owner.CancelKey("id")}
	for name, c := range map[string]struct {
		items  []kv.Item
		want   batch.JobStatus
		result Result
	}{
		"nobody submitted it": {nil, 0, NotFound},
		"accepted":            {[]kv.Item{job}, batch.Queued, Done},
		"cancelled":           {[]kv.Item{job, cancelled}, batch.Cancelled, Done},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scripted{items: map[string]kv.Item{}}
			for _, i := range c.items {
				s.items[i.Key] = i
			}
			got, result := newInstance(s).JobStatus(context.Background(), "id")
			is.Equal(got, c.want)
			is.Equal(result, c.result)
		})
	}
}

func TestUnreachableStoreDoesNotSayThatAJobIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, result := newInstance(&scripted{gets: kv.ErrUnavailable}).JobStatus(ctx, "id")
		is.Equal(result, NotRun)
		is.Equal(newInstance(&scripted{gets: kv.ErrUnavailable}).Cancel(ctx, "id"), NotRun)
	})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	f := &configFollower{operator: fakeOperator{}, log: zerolog.Nop()}
	is.Equal(f.table.Load(), nil)
	f.reset([]kv.Item{{Key: "op/config", Value: []byte{5}}})
	is.Equal(f.current().Version, int64(5))
	f.reset([]kv.Item{{Key: "op/config", Value: []byte{4}}}) // a stale listing
	is.Equal(f.current().Version, int64(5))
	f.change([]kv.Event{{Item: kv.Item{Key: "op/config", Value: []byte{6}}}})
	is.Equal(f.current().Version, int64(6))
	f.change([]kv.Event{{Item: kv.Item{Key: "op/config"}, Deleted: true}})
	is.Equal(f.current().Version, int64(6))
}

func TestReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := newInstance(&scripted{})
		is.True(!i.Ready()) // no configuration yet
		i.config.reset([]kv.Item{{Key: "op/config", Value: []byte{5}}})
		i.config.contact.Store(time.Now().UnixNano())
		is.True(i.Ready())
		time.Sleep(contactLimit + time.Second)
		is.True(!i.Ready()) // out of contact with the store
		i.config.contact.Store(time.Now().UnixNano())
		i.Drain()
		is.True(!i.Ready())
	})
}
