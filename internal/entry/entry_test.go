package entry

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/owner"
)

var (
	errAnswerLost = errors.New("answer lost")
	errJobExists  = &kv.ConflictError{Items: []kv.Item{{Key: owner.JobKey("id"), Rev: 3}}}
)

// fakeStore is a store whose transactions return the errors in commitErrs one after the other; the last
// error repeats. Without any errors they succeed.
type fakeStore struct {
	kv.Store
	commitErrs []error
	calls      int
	items      map[string]kv.Item
	getErr     error
}

func (s *fakeStore) Commit(ctx context.Context, _ kv.Txn) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	s.calls++
	if len(s.commitErrs) == 0 {
		return 7, nil
	}
	err := s.commitErrs[0]
	if len(s.commitErrs) > 1 {
		s.commitErrs = s.commitErrs[1:]
	}
	return 0, err
}

func (s *fakeStore) Get(_ context.Context, key string) (kv.Item, error) {
	if s.getErr != nil {
		return kv.Item{}, s.getErr
	}
	if i, ok := s.items[key]; ok {
		return i, nil
	}
	return kv.Item{}, kv.ErrNotFound
}

type fakeDecoder struct{}

func (fakeDecoder) Prefix() string { return "op/" }
func (fakeDecoder) Decode(items []kv.Item) (*Config, map[string]bool, error) {
	for _, i := range items {
		if i.Key == "op/config" {
			if len(i.Value) != 1 {
				return nil, nil, &UnreadableKeyError{Key: i.Key, Cause: errors.New("not one byte")}
			}
			return &Config{Batch: batch.Config{Version: int64(i.Value[0])}}, nil, nil
		}
	}
	return nil, nil, nil
}

func newInstance(s kv.Store) *Instance {
	return New(Options{Name: "i", PeerAddress: "127.0.0.1:1"}, s, fakeDecoder{}, nil, nil, zerolog.Nop())
}

// submit submits a job with a deadline of three seconds. It returns the result and the time taken.
func submit(t *testing.T, s *fakeStore) (result Result, took time.Duration) {
	bubbletest.Run(t, func(*testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		startTime := time.Now()
		config := &Config{Batch: batch.Config{Queues: map[string]batch.Queue{"q": {Service: "s"}}}}
		result = newInstance(s).Submit(ctx, config, SubmittedJob{ID: "id", Queue: "q"})
		took = time.Since(startTime)
	})
	return result, took
}

func TestSubmit(t *testing.T) {
	for name, c := range map[string]struct {
		commitErrs []error
		want       Result
	}{
		"stored at once":            {nil, Done},
		"known id":                  {[]error{errJobExists}, Done},
		"refused for a while":       {[]error{kv.ErrUnavailable, kv.ErrUnavailable, errJobExists}, Done},
		"answer lost, then found":   {[]error{errAnswerLost, errJobExists}, Done},
		"answer lost, then refused": {[]error{errAnswerLost, kv.ErrUnavailable}, Unknown},
		"no answer at all":          {[]error{errAnswerLost}, Unknown},
		"refused all the time":      {[]error{kv.ErrUnavailable}, NotRun},
		"refused for its content":   {[]error{kv.ErrInvalid}, NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, _ := submit(t, &fakeStore{commitErrs: c.commitErrs})
			is.Equal(got, c.want)
		})
	}
}

// Once the outcome of one attempt is unknown, the job may be stored, so a later refusal must not lead to
// the result NotRun.
func TestRefusalIsNeverSaidAfterAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	got, took := submit(t, &fakeStore{commitErrs: []error{kv.ErrUnavailable, errAnswerLost, kv.ErrUnavailable}})
	is.Equal(got, Unknown)
	is.True(took >= 2900*time.Millisecond) // it retries as long as the caller waits
}

func TestRefusalComesAtOnce(t *testing.T) {
	is := is.New(t)
	_, took := submit(t, &fakeStore{commitErrs: []error{kv.ErrUnavailable}})
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
			s := &fakeStore{items: map[string]kv.Item{}}
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
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, result := newInstance(&fakeStore{getErr: kv.ErrUnavailable}).JobStatus(ctx, "id")
		is.Equal(result, NotRun)
		is.Equal(newInstance(&fakeStore{getErr: kv.ErrUnavailable}).Cancel(ctx, "id", ""), NotRun)
	})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := newConfigWatcher(fakeDecoder{}, nil, zerolog.Nop())
	is.Equal(w.inForce.Load(), nil)
	w.reset([]kv.Item{{Key: "op/config", Value: []byte{5}}}, 1)
	is.Equal(w.batchConfig().Version, int64(5))
	w.reset([]kv.Item{{Key: "op/config", Value: []byte{4}}}, 2) // a stale listing
	is.Equal(w.batchConfig().Version, int64(5))
	w.change([]kv.Event{{Item: kv.Item{Key: "op/config", Value: []byte{6}}}}, 3)
	is.Equal(w.batchConfig().Version, int64(6))
	w.change([]kv.Event{{Item: kv.Item{Key: "op/config"}, Deleted: true}}, 4)
	is.Equal(w.batchConfig().Version, int64(6))
}

// evacuationDecoder is a fakeDecoder that also decodes evacuations.
type evacuationDecoder struct{ fakeDecoder }

func (d evacuationDecoder) Decode(items []kv.Item) (*Config, map[string]bool, error) {
	config, _, err := d.fakeDecoder.Decode(items)
	evacuated := map[string]bool{}
	for _, i := range items {
		if zone, ok := strings.CutPrefix(i.Key, "op/evacuate/"); ok {
			evacuated[zone] = true
		}
	}
	return config, evacuated, err
}

// Guards against a configuration that cannot be read and costs the evacuations, or is logged with each change.
func TestAnUnreadableConfigurationCostsOnlyItself(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	w := newConfigWatcher(evacuationDecoder{}, nil, zerolog.New(&log))
	w.reset([]kv.Item{{Key: "op/config", Value: []byte("odd")}}, 5)
	is.Equal(w.inForce.Load(), nil)
	w.change([]kv.Event{{Item: kv.Item{Key: "op/config", Value: []byte{5}}}}, 6)
	is.Equal(w.batchConfig().Version, int64(5))
	w.change([]kv.Event{{Item: kv.Item{Key: "op/config", Value: []byte("odd")}}}, 7)
	w.change([]kv.Event{{Item: kv.Item{Key: "op/evacuate/a"}}}, 8)
	is.Equal(w.batchConfig().Version, int64(5))
	is.True(w.batchConfig().Evacuated["a"])
	w.reset([]kv.Item{{Key: "op/config", Value: []byte("odd")}}, 9)
	is.True(!w.batchConfig().Evacuated["a"])
	is.Equal(strings.Count(log.String(), "config.unreadable"), 1)
	w.change([]kv.Event{{Item: kv.Item{Key: "op/config", Value: []byte{6}}}}, 10)
	is.Equal(w.batchConfig().Version, int64(6)) // the next good one counts
}

// Guards against an odd message of another instance that ends this process.
func TestOddSubmissionsOfPeersAreRefused(t *testing.T) {
	is := is.New(t)
	for _, step := range []batch.Step{{Count: -1}, {Count: math.MaxInt}, {Count: 1, After: []int{7}}, {Count: 1, Resources: batch.Resources{MemoryMB: math.MaxInt64}}} {
		body, err := cbor.Marshal(submittedMessage{ID: "j", Submission: owner.Submission{Queue: "q", Spec: batch.Spec{Steps: []batch.Step{step}}}})
		is.NoErr(err)
		_, err = decodeSubmitted(body)
		is.True(err != nil)
	}
	for _, body := range [][]byte{nil, {0xff}, []byte("text"), bytes.Repeat([]byte{0x81}, 100_000), {0xa1, 0x01, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		_, err := decodeSubmitted(body)
		is.True(err != nil)
	}
	body, err := cbor.Marshal(submittedMessage{ID: "j", Submission: owner.Submission{Queue: "q", Spec: batch.Spec{Steps: []batch.Step{{Count: 1}}}}})
	is.NoErr(err)
	_, err = decodeSubmitted(body)
	is.NoErr(err)
}

func TestReadiness(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		i := newInstance(&fakeStore{})
		is.True(!i.Ready()) // no configuration yet
		i.watcher.reset([]kv.Item{{Key: "op/config", Value: []byte{5}}}, 11)
		i.watcher.noteContact()
		is.True(i.Ready())
		time.Sleep(maxContactAge + time.Second)
		is.True(!i.Ready()) // out of contact with the store
		i.watcher.noteContact()
		i.Drain()
		is.True(!i.Ready())
	})
}

// Guards against a job that is tried to be stored until its caller gives up, although the store does not take a value of its size.
func TestAJobThatIsTooLargeToStoreIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	i := New(Options{Name: "i", MaxValueBytes: 1000}, s, fakeDecoder{}, nil, nil, zerolog.Nop())
	config := &Config{Batch: batch.Config{Queues: map[string]batch.Queue{"q": {Service: "s"}}}}
	job := SubmittedJob{ID: "id", Queue: "q", Spec: batch.Spec{Payload: strings.Repeat("x", 900)}}
	is.Equal(i.Submit(context.Background(), config, job), Done)
	job.Spec.Steps = []batch.Step{{Image: strings.Repeat("x", 200)}}
	is.Equal(i.Submit(context.Background(), config, job), TooLarge)
	is.Equal(s.calls, 1)
}
