package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform/etcdwire"
)

// watchStream is one open watch.
type watchStream struct {
	server *Server
	call   *call
	keys   etcdwire.RangeRequest
}

// run sends the changes after the revision, or after the current one if it is negative, and a
// progress message after each progressInterval without a change.
func (w *watchStream) run(after int64) {
	head := w.server.state.get(etcdwire.RangeRequest{Key: []byte{0}}).Header
	if after < 0 {
		after = head.Revision
	}
	w.send(etcdwire.WatchResult{Header: head, Created: true})
	ctx := w.call.r.Context()
	stopWaking := context.AfterFunc(ctx, w.server.state.wakeWatches)
	defer stopWaking()
	for {
		deadline := time.Now().Add(progressInterval)
		timer := time.AfterFunc(progressInterval, w.server.state.wakeWatches)
		events, revision, compacted := w.server.state.changesAfter(w.keys, after, func() bool {
			return ctx.Err() != nil || w.interrupted() || !time.Now().Before(deadline)
		})
		timer.Stop()
		switch {
		case ctx.Err() != nil:
			return
		case w.server.fault(w.call.listener).Down:
			w.call.dropConnection()
		case w.server.fault(w.call.listener).SilentWatches:
			<-ctx.Done()
			return
		case compacted > 0:
			w.send(etcdwire.WatchResult{Canceled: true, CompactRevision: compacted, CancelReason: "required revision has been compacted"})
			return
		}
		w.send(etcdwire.WatchResult{Header: etcdwire.Header{Revision: revision}, Events: events})
		after = revision
	}
}

// interrupted reports whether a fault of the listener ends the watch or stops its messages.
func (w *watchStream) interrupted() bool {
	f := w.server.fault(w.call.listener)
	return f.Down || f.SilentWatches
}

// send writes one message and flushes it.
func (w *watchStream) send(r etcdwire.WatchResult) {
	_ = json.NewEncoder(w.call.w).Encode(etcdwire.WatchResponse{Result: &r})
	_ = http.NewResponseController(w.call.w).Flush()
}
