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

// Times and limits of the store.
const (
	// progressInterval is the interval of progress messages on a watch without changes.
	progressInterval = 1 * time.Second
	// expiryInterval is the interval at which leases are checked for expiry.
	expiryInterval = 50 * time.Millisecond
	// maxRequest is the largest request, in bytes: a value of 1 MB in base64 fits with its key
	// and the JSON around it.
	maxRequest = 2 << 20
	// maxValue is the largest value, in bytes.
	maxValue = 1 << 20
)

// Server is the store with its faults and counters. All listeners serve the same state, but each
// may have faults of its own, so that a single instance can be cut off from the store.
type Server struct {
	state *state

	mu         sync.Mutex
	faults     map[int]*Fault
	lastBackup backup
	counters   counters
}

// NewServer returns an empty store.
func NewServer() *Server {
	return &Server{state: newState(), faults: map[int]*Fault{}}
}

// Run expires leases until ctx ends. No lease expires while the whole store is down, and each has
// its full duration again when the store is back.
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

// Serve answers the clients of l, with the faults set for the listener number, until l is closed.
func (s *Server) Serve(l net.Listener, listener int) error {
	server := &http.Server{Handler: s.handler(listener), ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(l)
}

// handler returns the API of the store with the faults of a listener.
func (s *Server) handler(listener int) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+etcdwire.RangePath, s.withFaults(listener, &s.counters.reads, s.handleRange))
	mux.Handle("POST "+etcdwire.TxnPath, s.withFaults(listener, &s.counters.writes, s.handleTxn))
	mux.Handle("POST "+etcdwire.GrantPath, s.withFaults(listener, &s.counters.leaseCalls, s.handleGrant))
	mux.Handle("POST "+etcdwire.KeepAlivePath, s.withFaults(listener, &s.counters.leaseCalls, s.handleKeepAlive))
	mux.Handle("POST "+etcdwire.RevokePath, s.withFaults(listener, &s.counters.leaseCalls, s.handleRevoke))
	mux.Handle("POST "+etcdwire.WatchPath, s.withFaults(listener, &s.counters.watches, s.handleWatch))
	return mux
}

// call is one call of a client through a listener.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	body     []byte
	listener int
}

// decode parses the request; if that fails, it answers with an error and returns false.
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

// dropConnection closes the connection without an answer.
func (c *call) dropConnection() {
	panic(http.ErrAbortHandler)
}

// handleRange reads keys.
func (s *Server) handleRange(c *call) {
	var in etcdwire.RangeRequest
	if !c.decode(&in) {
		return
	}
	if s.consumeStaleRead(c.listener, string(in.Key)) {
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
	s.counters.countWrite(put)
	key := string(put.Key)
	if delay := s.consumeDelayedWrite(c.listener, key); delay > 0 {
		time.AfterFunc(delay, func() { s.state.compareAndSwap(expected, put) })
		c.dropConnection()
	}
	out, status := s.state.compareAndSwap(expected, put)
	if s.consumeLostAnswer(c.listener, key) {
		c.dropConnection()
	}
	if status != nil {
		c.fail(*status)
		return
	}
	c.reply(out)
}

// checkTxn returns an error for any transaction but a compare-and-swap of one key.
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
	s.counters.openWatches.Add(1)
	defer s.counters.openWatches.Add(-1)
	w := &watchStream{server: s, call: c, keys: etcdwire.RangeRequest{Key: in.Create.Key, RangeEnd: in.Create.RangeEnd}}
	w.run(in.Create.StartRevision - 1)
}

// readBody reads the body of a request of at most maxRequest bytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
}

// firstSegment returns the first path segment of a key, under which writes are counted.
func firstSegment(key string) string {
	first, _, _ := strings.Cut(key, "/")
	return first
}
