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

// allListeners is the number under which faults of every listener are kept.
const allListeners = -1

// Fault says how the store misbehaves. The counted faults apply to the next calls whose key
// has the prefix.
type Fault struct {
	// Down closes every connection without performing the call.
	Down bool `json:"down,omitempty"`
	// Hang performs no call and gives no answer.
	Hang bool `json:"hang,omitempty"`
	// Delay is added before each call.
	Delay time.Duration `json:"delay,omitempty"`
	// SilentWatches keeps watches open but sends nothing on them.
	SilentWatches bool `json:"silentWatches,omitempty"`
	// Prefix limits the counted faults.
	Prefix string `json:"prefix,omitempty"`
	// LostAnswers is the number of next writes that take effect but are not answered.
	LostAnswers int `json:"lostAnswers,omitempty"`
	// DelayedWrites is the number of next writes that are not answered and take effect
	// after DelayedBy.
	DelayedWrites int           `json:"delayedWrites,omitempty"`
	DelayedBy     time.Duration `json:"delayedBy,omitempty"`
	// StaleReads is the number of next reads that see the version before the last write.
	StaleReads int `json:"staleReads,omitempty"`
}

// FaultRequest replaces the faults of a listener.
type FaultRequest struct {
	// Listener is the number of the listener from 0; -1 stands for all.
	Listener int   `json:"listener"`
	Fault    Fault `json:"fault"`
}

// RestoreRequest replaces all keys with the prefix by those of the last backup.
type RestoreRequest struct {
	Prefix string `json:"prefix"`
}

// ExpireLeasesRequest ends the leases of all keys with the prefix, as if no renewal had arrived.
type ExpireLeasesRequest struct {
	Prefix string `json:"prefix"`
}

// Counts are the calls since the start.
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

// WriteCount counts the writes of some keys.
type WriteCount struct {
	Writes int64 `json:"writes"`
	Bytes  int64 `json:"bytes"`
}

// counters count calls.
type counters struct {
	reads, writes, leaseCalls, watches, waiting, bytes atomic.Int64

	mu      sync.Mutex
	buckets map[string]WriteCount
}

// written counts a write.
func (c *counters) written(put etcdwire.PutRequest) {
	size := int64(len(put.Value))
	c.bytes.Add(size)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buckets == nil {
		c.buckets = map[string]WriteCount{}
	}
	b := c.buckets[bucket(string(put.Key))]
	b.Writes++
	b.Bytes += size
	c.buckets[bucket(string(put.Key))] = b
}

// counts returns the values.
func (c *counters) counts() Counts {
	out := Counts{
		Reads:           c.reads.Load(),
		Writes:          c.writes.Load(),
		LeaseCalls:      c.leaseCalls.Load(),
		Watches:         c.watches.Load(),
		OpenWatches:     c.waiting.Load(),
		BytesWritten:    c.bytes.Load(),
		WritesBySegment: map[string]WriteCount{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, b := range c.buckets {
		out.WritesBySegment[name] = b
	}
	return out
}

// guard applies the faults that hold for every call of the listener, and counts the call.
func (s *Server) guard(number int, counter *atomic.Int64, next func(*call)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r, number: number}
		fault := s.fault(number)
		if fault.Down {
			c.drop()
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

// fault returns the faults of the listener and of all listeners together.
func (s *Server) fault(number int) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Fault
	for _, n := range []int{allListeners, number} {
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

// take spends one of the counted faults, if there is one for the key.
func (s *Server) take(number int, key string, count func(*Fault) *int) *Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range []int{allListeners, number} {
		f := s.faults[n]
		if f == nil || *count(f) == 0 || !strings.HasPrefix(key, f.Prefix) {
			continue
		}
		*count(f)--
		return f
	}
	return nil
}

// takeLost reports whether the write's answer is lost.
func (s *Server) takeLost(number int, key string) bool {
	return s.take(number, key, func(f *Fault) *int { return &f.LostAnswers }) != nil
}

// takeStale reports whether the read sees the older version.
func (s *Server) takeStale(number int, key string) bool {
	return s.take(number, key, func(f *Fault) *int { return &f.StaleReads }) != nil
}

// takeDelay returns by how much the write is delayed, or zero.
func (s *Server) takeDelay(number int, key string) time.Duration {
	if f := s.take(number, key, func(f *Fault) *int { return &f.DelayedWrites }); f != nil {
		return f.DelayedBy
	}
	return 0
}

// SetFault replaces the faults of a listener; -1 stands for all.
func (s *Server) SetFault(number int, f Fault) {
	s.mu.Lock()
	s.faults[number] = &f
	s.mu.Unlock()
	s.state.wake()
}

// ServeControl answers the tests' calls until the listener is closed.
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
		s.saved = saved
		s.mu.Unlock()
	})
	mux.HandleFunc("POST /control/restore", func(w http.ResponseWriter, r *http.Request) {
		var in RestoreRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		saved := s.saved
		s.mu.Unlock()
		s.state.restore(saved, in.Prefix)
	})
	mux.HandleFunc("POST /control/lapse", func(w http.ResponseWriter, r *http.Request) {
		var in ExpireLeasesRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.state.lapse(in.Prefix)
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.counters.counts())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(l)
}
