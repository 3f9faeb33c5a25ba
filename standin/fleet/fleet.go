package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// Spec describes the simulated platform.
type Spec struct {
	Deployment string          `json:"deployment"`
	Racks      []Rack          `json:"racks"`
	Capacity   model.Resources `json:"capacity"`
	Slots      int             `json:"slots"`
	// Connections is the number of connections that a target accepts.
	Connections int `json:"connections"`
	// Lag is the delay after which the inventory shows that a worker or target is leaving or gone.
	Lag time.Duration `json:"lag"`
	// SampleWindow is the time that one sample of usage or latency covers; zero means the default.
	SampleWindow time.Duration `json:"sampleWindow,omitempty"`
	// Seed determines the random execution times of requests.
	Seed uint64 `json:"seed"`
}

// Rack describes a rack with its number of workers, and of targets that are spread over them.
type Rack struct {
	Name       model.Rack       `json:"name"`
	DataCentre model.DataCentre `json:"dataCentre"`
	Workers    int              `json:"workers"`
	Targets    int              `json:"targets"`
}

// stepInterval is the interval at which the workers' simulation advances.
const stepInterval = 20 * time.Millisecond

// Fleet simulates the workers, the targets and the inventory of a platform.
type Fleet struct {
	spec     Spec
	log      *ExecutionLog
	workers  []*Worker
	targets  []*Target
	counters byteCounters

	mu sync.Mutex
	// departures holds the workers and targets that are leaving or gone, by their IDs.
	departures map[string]departure
}

// departure says since when a worker or target has been leaving or, if gone is set, gone.
type departure struct {
	since time.Time
	gone  bool
}

// byteCounters counts bytes on the workers' connections.
type byteCounters struct {
	in, out atomic.Int64
}

// New returns a fleet whose workers and targets have no addresses until Listen is called.
func New(spec Spec) *Fleet {
	f := &Fleet{spec: spec, log: newExecutionLog(), departures: map[string]departure{}}
	kinds := workload.RequestKinds(spec.Deployment)
	for _, rack := range spec.Racks {
		first := len(f.workers)
		for i := range rack.Workers {
			w := newWorker(model.Worker{
				ID:         model.WorkerID(fmt.Sprintf("%s-w%02d", rack.Name, i+1)),
				DataCentre: rack.DataCentre,
				Rack:       rack.Name,
				Capacity:   spec.Capacity,
			}, f.log)
			if spec.SampleWindow > 0 {
				w.samples.windowLength = spec.SampleWindow
			}
			f.workers = append(f.workers, w)
		}
		for i := range rack.Targets {
			host := f.workers[first+i%rack.Workers]
			f.targets = append(f.targets, newTarget(model.Target{
				ID:          model.TargetID(fmt.Sprintf("%s-t%02d", rack.Name, i+1)),
				Service:     kinds[0].Service,
				DataCentre:  rack.DataCentre,
				Worker:      host.Model.ID,
				Slots:       spec.Slots,
				Connections: spec.Connections,
			}, host, f.log, kinds, spec.Seed+uint64(len(f.targets))))
		}
	}
	return f
}

// Listen gives every worker and target an address on the loopback interface and serves
// until ctx ends.
func (f *Fleet) Listen(ctx context.Context) error {
	for _, w := range f.workers {
		l, err := listen(ctx)
		if err != nil {
			return err
		}
		w.Model.Addr = l.Addr().String()
		serve(&countingListener{Listener: l, counters: &f.counters}, f.workerHandler(w))
	}
	for _, t := range f.targets {
		l, err := listen(ctx)
		if err != nil {
			return err
		}
		t.Model.Addr = l.Addr().String()
		mux := http.NewServeMux()
		mux.Handle("POST /{path...}", t)
		serve(newLimitListener(l, t.Model.Connections), mux)
	}
	go f.stepWorkers(ctx)
	return nil
}

// listen opens a listener that is closed when ctx ends.
func listen(ctx context.Context) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	return l, nil
}

// serve answers calls until the listener is closed.
func serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
}

// stepWorkers advances the simulation of all workers until ctx ends.
func (f *Fleet) stepWorkers(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, w := range f.workers {
				w.step(now)
			}
		}
	}
}

// setDeparture records that a worker or target is leaving or gone; a zero departure records that
// it is back.
func (f *Fleet) setDeparture(id string, d departure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.since.IsZero() {
		delete(f.departures, id)
		return
	}
	f.departures[id] = d
}

// departureStatus reports whether the inventory, which lags behind, shows a worker or target as
// leaving or as gone.
func (f *Fleet) departureStatus(id string, now time.Time) (leaving, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.departures[id]
	if !ok || now.Sub(d.since) < f.spec.Lag {
		return false, false
	}
	return !d.gone, d.gone
}

// Workers returns the inventory's list of workers.
func (f *Fleet) Workers(now time.Time) []model.Worker {
	out := make([]model.Worker, 0, len(f.workers))
	for _, w := range f.workers {
		leaving, gone := f.departureStatus(string(w.Model.ID), now)
		if gone {
			continue
		}
		m := w.Model
		m.Leaving = leaving
		out = append(out, m)
	}
	return out
}

// Targets returns the inventory's list of targets.
func (f *Fleet) Targets(now time.Time) []model.Target {
	out := make([]model.Target, 0, len(f.targets))
	for _, t := range f.targets {
		leaving, gone := f.departureStatus(string(t.Model.ID), now)
		if gone {
			continue
		}
		m := t.Model
		m.Leaving = leaving
		out = append(out, m)
	}
	return out
}
