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

// watchBuffer is the number of events that are buffered for a slow receiver. While the buffer is full,
// the connection to the store is not read.
const watchBuffer = 64

// Watch implements Store. An event without changes is a progress message: all changes up
// to its revision were delivered. The channel is closed after the event that carries Err,
// or when ctx ends.
func (s *EtcdStore) Watch(ctx context.Context, prefix string, after int64) (<-chan WatchEvent, error) {
	ctx, cancel := context.WithCancel(ctx)
	index := s.current.Load()
	in := etcdwire.WatchRequest{Create: etcdwire.WatchCreate{
		Key:            []byte(prefix),
		RangeEnd:       etcdwire.PrefixEnd([]byte(prefix)),
		StartRevision:  after + 1,
		ProgressNotify: true,
	}}
	// The timer cancels a watch whose connection stays open but delivers no message.
	idleTimer := time.AfterFunc(s.options.CallTimeout, cancel)
	resp, callErr := send(ctx, s.client, http.MethodPost, s.endpoint(index)+etcdwire.WatchPath, in)
	if callErr != nil {
		idleTimer.Stop()
		cancel()
		s.failed(index)
		return nil, storeError("watch", callErr, false)
	}
	w := &watch{
		events:      make(chan WatchEvent, watchBuffer),
		body:        resp.Body,
		idleTimer:   idleTimer,
		idleTimeout: s.options.WatchIdleTimeout,
	}
	go func() {
		defer cancel()
		w.run(ctx)
		s.failed(index)
	}()
	return w.events, nil
}

// watch reads the stream of one watch.
type watch struct {
	events      chan WatchEvent
	body        io.ReadCloser
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

// run delivers the messages until the stream or ctx ends.
func (w *watch) run(ctx context.Context) {
	defer close(w.events)
	defer w.body.Close()
	defer w.idleTimer.Stop()
	decoder := json.NewDecoder(w.body)
	for {
		w.idleTimer.Reset(w.idleTimeout)
		event, created, err := w.next(decoder)
		// The timer covers only the wait for the store, not the wait for the receiver.
		w.idleTimer.Stop()
		if err != nil {
			w.sendError(err)
			return
		}
		if created {
			continue
		}
		select {
		case w.events <- event:
		case <-ctx.Done():
			w.sendError(&StoreError{Op: "watch", Cause: ctx.Err()})
			return
		}
	}
}

// next reads one message. The message that confirms the creation of the watch is not passed on as an
// event, because its revision may be higher than that of changes not delivered yet.
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

// sendError sends the error as the last event unless the buffer is full. In that case the receiver
// sees only that the channel is closed.
func (w *watch) sendError(err *StoreError) {
	select {
	case w.events <- WatchEvent{Err: err}:
	default:
	}
}
