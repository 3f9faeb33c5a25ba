package store

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform/etcdwire"
)

// allListeners is the listener number for faults of all listeners.
const allListeners = -1

// Fault describes the faults to inject. The counted ones, LostAnswers, DelayedWrites and
// StaleReads, apply to that number of next calls whose key has the prefix.
type Fault struct {
	// Down closes every connection without performing the call.
	Down bool `json:"down,omitempty"`
	// Hang keeps the connection of every call open without performing the call or answering.
	Hang bool `json:"hang,omitempty"`
	// Delay is the time to wait before each call is performed.
	Delay time.Duration `json:"delay,omitempty"`
	// SilentWatches keeps watches open but sends nothing on them.
	SilentWatches bool `json:"silentWatches,omitempty"`
	// Prefix limits the counted faults to keys that begin with it.
	Prefix string `json:"prefix,omitempty"`
	// LostAnswers is the number of next writes that take effect but are not answered.
	LostAnswers int `json:"lostAnswers,omitempty"`
	// DelayedWrites is the number of next writes that are not answered and take effect
	// after DelayedBy.
	DelayedWrites int           `json:"delayedWrites,omitempty"`
	DelayedBy     time.Duration `json:"delayedBy,omitempty"`
	// StaleReads is the number of next reads that return the version before the last write.
	StaleReads int `json:"staleReads,omitempty"`
}

// FaultRequest replaces the faults of a listener.
type FaultRequest struct {
	// Listener is the number of the listener from 0; -1 stands for all.
	Listener int   `json:"listener"`
	Fault    Fault `json:"fault"`
}

// RestoreRequest replaces all keys that have the prefix by those of the last backup.
type RestoreRequest struct {
	Prefix string `json:"prefix"`
}

// ExpireLeasesRequest ends the leases of all keys with the prefix, as if no renewal had arrived.
type ExpireLeasesRequest struct {
	Prefix string `json:"prefix"`
}

// Counts are the numbers of calls since the start, and of the bytes that they wrote.
type Counts struct {
	Reads      int64 `json:"reads"`
	Writes     int64 `json:"writes"`
	LeaseCalls int64 `json:"leaseCalls"`
	Watches    int64 `json:"watches"`
	// OpenWatches is the number of watches that are open now.
	OpenWatches  int64 `json:"waiting"`
	BytesWritten int64 `json:"bytesWritten"`
	// WritesBySegment counts writes by the first path segment of the key.
	WritesBySegment map[string]WriteCount `json:"buckets"`
}

// WriteCount counts the writes to a group of keys.
type WriteCount struct {
	Writes int64 `json:"writes"`
	Bytes  int64 `json:"bytes"`
}

// counters holds the numbers behind Counts.
type counters struct {
	reads, writes, leaseCalls, watches, openWatches, bytes atomic.Int64

	mu              sync.Mutex
	writesBySegment map[string]WriteCount
}

// countWrite counts a write and its bytes.
func (c *counters) countWrite(put etcdwire.PutRequest) {
	size := int64(len(put.Value))
	c.bytes.Add(size)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesBySegment == nil {
		c.writesBySegment = map[string]WriteCount{}
	}
	b := c.writesBySegment[firstSegment(string(put.Key))]
	b.Writes++
	b.Bytes += size
	c.writesBySegment[firstSegment(string(put.Key))] = b
}

// counts returns the current values.
func (c *counters) counts() Counts {
	out := Counts{
		Reads:           c.reads.Load(),
		Writes:          c.writes.Load(),
		LeaseCalls:      c.leaseCalls.Load(),
		Watches:         c.watches.Load(),
		OpenWatches:     c.openWatches.Load(),
		BytesWritten:    c.bytes.Load(),
		WritesBySegment: map[string]WriteCount{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, b := range c.writesBySegment {
		out.WritesBySegment[name] = b
	}
	return out
}

// withFaults returns a handler that counts a call and applies the faults of the listener that
// concern every call, before it passes the call on.
func (s *Server) withFaults(listener int, counter *atomic.Int64, next func(*call)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r, listener: listener}
		fault := s.fault(listener)
		if fault.Down {
			c.dropConnection()
		}
		counter.Add(1)
		body, err := readBody(w, r)
		if err != nil {
			c.fail(etcdwire.Status{Code: etcdwire.CodeInvalidArgument, Message: err.Error()})
			return
		}
		c.body = body
		if fault.Hang {
			<-r.Context().Done()
			return
		}
		if fault.Delay > 0 {
			time.Sleep(fault.Delay)
		}
		next(c)
	})
}

// fault returns the uncounted faults of the listener combined with those of all listeners.
func (s *Server) fault(listener int) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Fault
	for _, n := range []int{allListeners, listener} {
		f := s.faults[n]
		if f == nil {
			continue
		}
		out.Down = out.Down || f.Down
		out.Hang = out.Hang || f.Hang
		out.SilentWatches = out.SilentWatches || f.SilentWatches
		out.Delay = max(out.Delay, f.Delay)
	}
	return out
}

// consumeFault uses up one of the counted faults and returns it, or nil if none applies to the key.
func (s *Server) consumeFault(listener int, key string, count func(*Fault) *int) *Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range []int{allListeners, listener} {
		f := s.faults[n]
		if f == nil || *count(f) == 0 || !strings.HasPrefix(key, f.Prefix) {
			continue
		}
		*count(f)--
		return f
	}
	return nil
}

// consumeLostAnswer reports whether the answer to a write is to be lost.
func (s *Server) consumeLostAnswer(listener int, key string) bool {
	return s.consumeFault(listener, key, func(f *Fault) *int { return &f.LostAnswers }) != nil
}

// consumeStaleRead reports whether a read is to return the previous version.
func (s *Server) consumeStaleRead(listener int, key string) bool {
	return s.consumeFault(listener, key, func(f *Fault) *int { return &f.StaleReads }) != nil
}

// consumeDelayedWrite returns by how much a write is to be delayed, or zero.
func (s *Server) consumeDelayedWrite(listener int, key string) time.Duration {
	if f := s.consumeFault(listener, key, func(f *Fault) *int { return &f.DelayedWrites }); f != nil {
		return f.DelayedBy
	}
	return 0
}

// SetFault replaces the faults of a listener; -1 stands for all listeners.
func (s *Server) SetFault(listener int, f Fault) {
	s.mu.Lock()
	s.faults[listener] = &f
	s.mu.Unlock()
	s.state.wakeWatches()
}

// ServeControl serves the API by which tests inject faults, back up and restore the store, expire
// leases and read the counters, until the listener is closed.
func (s *Server) ServeControl(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var in FaultRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(in.Listener, in.Fault)
	})
	mux.HandleFunc("POST /control/backup", func(http.ResponseWriter, *http.Request) {
		saved := s.state.save()
		s.mu.Lock()
		s.lastBackup = saved
		s.mu.Unlock()
	})
	mux.HandleFunc("POST /control/restore", func(w http.ResponseWriter, r *http.Request) {
		var in RestoreRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		saved := s.lastBackup
		s.mu.Unlock()
		s.state.restore(saved, in.Prefix)
	})
	mux.HandleFunc("POST /control/lapse", func(w http.ResponseWriter, r *http.Request) {
		var in ExpireLeasesRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.state.expirePrefix(in.Prefix)
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.counters.counts())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(l)
}
