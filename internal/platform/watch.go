package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/platform/etcdwire"
)

// watchBuffer is the number of events that wait for a slow receiver before the store's
// connection is no longer read.
const watchBuffer = 64

// Watch implements Store. An event without changes is a progress message: all changes up
// to its revision were delivered. The channel is closed after the event that carries Err,
// or when ctx ends.
func (s *EtcdStore) Watch(ctx context.Context, prefix string, after int64) (<-chan WatchEvent, error) {
	ctx, cancel := context.WithCancel(ctx)
	at := s.current.Load()
	in := etcdwire.WatchRequest{Create: etcdwire.WatchCreate{
		Key:            []byte(prefix),
		RangeEnd:       etcdwire.PrefixEnd([]byte(prefix)),
		StartRevision:  after + 1,
		ProgressNotify: true,
	}}
	// The timer ends a watch whose connection stays open without any message.
	silence := time.AfterFunc(s.options.CallTimeout, cancel)
	resp, callErr := send(ctx, s.client, http.MethodPost, s.endpoint(at)+etcdwire.WatchPath, in)
	if callErr != nil {
		silence.Stop()
		cancel()
		s.current.CompareAndSwap(at, at+1)
		return nil, storeError("watch", callErr, false)
	}
	w := &watch{
		events:  make(chan WatchEvent, watchBuffer),
		body:    resp.Body,
		silence: silence,
		limit:   s.options.WatchIdleTimeout,
	}
	go func() {
		defer cancel()
		w.run(ctx)
		s.current.CompareAndSwap(at, at+1)
	}()
	return w.events, nil
}

// watch reads one stream of changes.
type watch struct {
	events  chan WatchEvent
	body    io.ReadCloser
	silence *time.Timer
	limit   time.Duration
}

// run delivers the messages until the stream or ctx ends.
func (w *watch) run(ctx context.Context) {
	defer close(w.events)
	defer w.body.Close()
	defer w.silence.Stop()
	decoder := json.NewDecoder(w.body)
	for {
		w.silence.Reset(w.limit)
		event, created, err := w.next(decoder)
		// The timer counts only the silence of the store, not the receiver's delay.
		w.silence.Stop()
		if err != nil {
			w.end(err)
			return
		}
		if created {
			continue
		}
		select {
		case w.events <- event:
		case <-ctx.Done():
			w.end(&StoreError{Op: "watch", Cause: ctx.Err()})
			return
		}
	}
}

// next reads one message. The message that confirms the creation is not an event: its
// revision may be ahead of changes that are still to be delivered.
func (w *watch) next(decoder *json.Decoder) (event WatchEvent, created bool, err *StoreError) {
	var message etcdwire.WatchResponse
	if err := decoder.Decode(&message); err != nil {
		return WatchEvent{}, false, &StoreError{Op: "watch", Cause: errors.Trace(err)}
	}
	if message.Error != nil {
		return WatchEvent{}, false, &StoreError{Op: "watch", Cause: errors.New(message.Error.Message)}
	}
	result := message.Result
	if result == nil {
		return WatchEvent{}, false, &StoreError{Op: "watch", Cause: errors.New("a message without a result")}
	}
	if result.Canceled {
		return WatchEvent{}, false, &StoreError{
			Op:        "watch",
			Compacted: result.CompactRevision > 0,
			Cause:     errors.Errorf("the store cancelled the watch: %s", result.CancelReason),
		}
	}
	event = WatchEvent{Revision: result.Header.Revision}
	for _, e := range result.Events {
		kv := fromWire(e.KV)
		if e.Type == etcdwire.EventDelete {
			kv = KeyValue{Key: kv.Key}
		}
		event.Changed = append(event.Changed, kv)
	}
	return event, result.Created && len(result.Events) == 0, nil
}

// end delivers the last event if the receiver has room for it; else the closed channel
// tells the end.
func (w *watch) end(err *StoreError) {
	select {
	case w.events <- WatchEvent{Err: err}:
	default:
	}
}
