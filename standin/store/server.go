package store

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform/etcdwire"
)

// Times of the store.
const (
	progressInterval = 1 * time.Second
	expiryInterval   = 50 * time.Millisecond
	// maxRequest bounds a request, in bytes: a value of 1 MB in base64, and some more.
	maxRequest = 2 << 20
	// maxValue is the largest value, in bytes.
	maxValue = 1 << 20
)

// Server is the store with its faults and counters. Every listener serves the same state
// and may have faults of its own, so that one instance can be cut off alone.
type Server struct {
	state *state

	mu       sync.Mutex
	faults   map[int]*Fault
	saved    backup
	counters counters
}

// NewServer returns an empty store.
func NewServer() *Server {
	return &Server{state: newState(), faults: map[int]*Fault{}}
}

// Run ends leases whose time has come, until ctx ends. Leases stand still while the whole
// store is down and start anew when it is back.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if s.fault(allListeners).Down {
				s.state.extendAll(now)
			}
			s.state.expire(now)
		}
	}
}

// Serve answers clients of the listener with the number until the listener is closed.
func (s *Server) Serve(l net.Listener, number int) error {
	server := &http.Server{Handler: s.handler(number), ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(l)
}

// handler returns the API as seen through the listener with the number.
func (s *Server) handler(number int) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+etcdwire.RangePath, s.guard(number, &s.counters.reads, s.handleRange))
	mux.Handle("POST "+etcdwire.TxnPath, s.guard(number, &s.counters.writes, s.handleTxn))
	mux.Handle("POST "+etcdwire.GrantPath, s.guard(number, &s.counters.leaseCalls, s.handleGrant))
	mux.Handle("POST "+etcdwire.KeepAlivePath, s.guard(number, &s.counters.leaseCalls, s.handleKeepAlive))
	mux.Handle("POST "+etcdwire.RevokePath, s.guard(number, &s.counters.leaseCalls, s.handleRevoke))
	mux.Handle("POST "+etcdwire.WatchPath, s.guard(number, &s.counters.watches, s.handleWatch))
	return mux
}

// call is one call with its faults.
type call struct {
	w      http.ResponseWriter
	r      *http.Request
	body   []byte
	number int
}

// decode reads the request, or answers with an error.
func (c *call) decode(in any) bool {
	if err := json.Unmarshal(c.body, in); err != nil {
		c.fail(etcdwire.Status{Code: etcdwire.CodeInvalidArgument, Message: err.Error()})
		return false
	}
	return true
}

// reply answers the call.
func (c *call) reply(out any) {
	c.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(c.w).Encode(out)
}

// fail answers the call with an error.
func (c *call) fail(status etcdwire.Status) {
	httpStatus := http.StatusBadRequest
	switch status.Code {
	case etcdwire.CodeNotFound:
		httpStatus = http.StatusNotFound
	case etcdwire.CodeUnavailable:
		httpStatus = http.StatusServiceUnavailable
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(httpStatus)
	_ = json.NewEncoder(c.w).Encode(status)
}

// drop closes the connection without an answer.
func (c *call) drop() {
	panic(http.ErrAbortHandler)
}

// handleRange reads keys.
func (s *Server) handleRange(c *call) {
	var in etcdwire.RangeRequest
	if !c.decode(&in) {
		return
	}
	if s.takeStale(c.number, string(in.Key)) {
		c.reply(s.state.getPrevious(in))
		return
	}
	c.reply(s.state.get(in))
}

// handleTxn performs a single-key compare-and-swap, the only form of transaction.
func (s *Server) handleTxn(c *call) {
	var in etcdwire.TxnRequest
	if !c.decode(&in) {
		return
	}
	if status := checkTxn(in); status != nil {
		c.fail(*status)
		return
	}
	put := *in.Success[0].Put
	expected := in.Compare[0].ModRevision
	s.counters.written(put)
	key := string(put.Key)
	if delay := s.takeDelay(c.number, key); delay > 0 {
		time.AfterFunc(delay, func() { s.state.swap(expected, put) })
		c.drop()
	}
	out, status := s.state.swap(expected, put)
	if s.takeLost(c.number, key) {
		c.drop()
	}
	if status != nil {
		c.fail(*status)
		return
	}
	c.reply(out)
}

// checkTxn refuses all but a compare-and-swap of one key.
func checkTxn(in etcdwire.TxnRequest) *etcdwire.Status {
	invalid := func(message string) *etcdwire.Status {
		return &etcdwire.Status{Code: etcdwire.CodeInvalidArgument, Message: message}
	}
	if len(in.Compare) != 1 || len(in.Success) != 1 || in.Success[0].Put == nil {
		return invalid("only a compare-and-swap of a single key is served")
	}
	compare, put := in.Compare[0], in.Success[0].Put
	if compare.Target != etcdwire.TargetMod || compare.Result != etcdwire.ResultEqual {
		return invalid("only MOD EQUAL is served")
	}
	if string(compare.Key) != string(put.Key) {
		return invalid("the compared key is not the written key")
	}
	if len(put.Value) > maxValue {
		return invalid("the value is larger than 1 MB")
	}
	return nil
}

// handleGrant creates a lease.
func (s *Server) handleGrant(c *call) {
	var in etcdwire.GrantRequest
	if !c.decode(&in) {
		return
	}
	id := s.state.grant(time.Now(), time.Duration(in.TTL)*time.Second)
	c.reply(etcdwire.GrantResponse{ID: id, TTL: in.TTL})
}

// handleKeepAlive renews a lease.
func (s *Server) handleKeepAlive(c *call) {
	var in etcdwire.LeaseRequest
	if !c.decode(&in) {
		return
	}
	ttl := s.state.renew(time.Now(), in.ID)
	c.reply(etcdwire.KeepAliveResponse{Result: etcdwire.GrantResponse{ID: in.ID, TTL: int64(ttl / time.Second)}})
}

// handleRevoke ends a lease.
func (s *Server) handleRevoke(c *call) {
	var in etcdwire.LeaseRequest
	if !c.decode(&in) {
		return
	}
	if !s.state.revoke(in.ID) {
		c.fail(errLeaseNotFound)
		return
	}
	c.reply(etcdwire.RevokeResponse{})
}

// handleWatch streams changes until the client or a fault ends it.
func (s *Server) handleWatch(c *call) {
	var in etcdwire.WatchRequest
	if !c.decode(&in) {
		return
	}
	s.counters.waiting.Add(1)
	defer s.counters.waiting.Add(-1)
	w := &watchStream{server: s, call: c, keys: etcdwire.RangeRequest{Key: in.Create.Key, RangeEnd: in.Create.RangeEnd}}
	w.run(in.Create.StartRevision - 1)
}

// readBody reads a bounded request.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
}

// bucket returns the first path segment of a key, under which writes are counted.
func bucket(key string) string {
	first, _, _ := strings.Cut(key, "/")
	return first
}
