package fleet

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// maxWorkerCall is the largest body of a call to a worker, in bytes.
const maxWorkerCall = 8 << 20

// workerHandler serves the platform's worker protocol for one worker.
func (f *Fleet) workerHandler(w *Worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.WorkerLeasePath, func(rw http.ResponseWriter, r *http.Request) {
		f.log.updateCounts(func(c *Counts) { c.LeaseCalls++ })
		handle(w, rw, r, w.Lease)
	})
	mux.HandleFunc("POST "+platform.WorkerStartPath, func(rw http.ResponseWriter, r *http.Request) {
		f.log.updateCounts(func(c *Counts) { c.StartCalls++ })
		handle(w, rw, r, w.Start)
	})
	mux.HandleFunc("POST "+platform.WorkerSignalPath, func(rw http.ResponseWriter, r *http.Request) {
		f.log.updateCounts(func(c *Counts) { c.SignalCalls++ })
		handle(w, rw, r, func(now time.Time, in platform.SignalRequest) (struct{}, error) {
			return struct{}{}, w.Signal(now, in)
		})
	})
	return mux
}

// handle performs one call to a worker and injects the faults of the worker's mode.
func handle[In, Out any](w *Worker, rw http.ResponseWriter, r *http.Request, do func(time.Time, In) (Out, error)) {
	var in In
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxWorkerCall)).Decode(&in); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	mode := w.waitWhileFrozen()
	if mode == WorkerDead {
		panic(http.ErrAbortHandler)
	}
	out, err := do(time.Now(), in)
	if _, isStart := any(in).(platform.StartRequest); isStart && mode == WorkerLoseAnswers {
		panic(http.ErrAbortHandler)
	}
	var stale *platform.StaleEpochError
	if errors.As(err, &stale) {
		reply(rw, http.StatusConflict, platform.StaleEpoch{Seen: stale.Seen})
		return
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	reply(rw, http.StatusOK, out)
}

// reply writes an answer as JSON.
func reply(rw http.ResponseWriter, status int, out any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(out)
}

// InventoryHandler serves the platform's inventory of workers and targets.
func (f *Fleet) InventoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.InventoryWorkersPath, func(rw http.ResponseWriter, r *http.Request) {
		replyTagged(rw, r, platform.WorkerList{Workers: f.Workers(time.Now())})
	})
	mux.HandleFunc("GET "+platform.InventoryTargetsPath, func(rw http.ResponseWriter, r *http.Request) {
		replyTagged(rw, r, platform.TargetList{Targets: f.Targets(time.Now())})
	})
	return mux
}

// replyTagged writes an answer as JSON with its entity tag, or status 304 without a body if the
// caller already has this version.
func replyTagged(rw http.ResponseWriter, r *http.Request, out any) {
	data, err := json.Marshal(out)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%x"`, sha256.Sum256(data))
	rw.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data)
}

// WorkerFault changes the mode of workers.
type WorkerFault struct {
	// Worker selects one worker; if empty, all workers of DataCentre are selected, or all workers
	// if that is empty, too.
	Worker     model.WorkerID   `json:"worker,omitempty"`
	DataCentre model.DataCentre `json:"dataCentre,omitempty"`
	Mode       WorkerMode       `json:"mode"`
}

// TargetFault changes the mode of targets.
type TargetFault struct {
	// Target selects one target; if empty, all targets of DataCentre are selected, or all targets
	// if that is empty, too.
	Target     model.TargetID   `json:"target,omitempty"`
	DataCentre model.DataCentre `json:"dataCentre,omitempty"`
	Mode       TargetMode       `json:"mode"`
	// Leaving marks the targets as leaving in the inventory.
	Leaving bool `json:"leaving,omitempty"`
}

// Interval asks for what started in a data centre between two times; an empty name means all.
type Interval struct {
	DataCentre model.DataCentre `json:"dataCentre"`
	From       time.Time        `json:"from"`
	To         time.Time        `json:"to"`
}

// IntervalReply holds the starts of attempts and the number of requests started in an Interval.
type IntervalReply struct {
	Starts   []Start `json:"starts"`
	Requests int     `json:"requests"`
}

// ControlHandler serves the API by which tests inject faults and read the execution log.
func (f *Fleet) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/worker", control(func(in WorkerFault) struct{} {
		f.setWorkers(time.Now(), in)
		return struct{}{}
	}))
	mux.HandleFunc("POST /control/target", control(func(in TargetFault) struct{} {
		f.setTargets(time.Now(), in)
		return struct{}{}
	}))
	mux.HandleFunc("POST /control/interval", control(func(in Interval) IntervalReply {
		return IntervalReply{
			Starts:   f.log.Starts(in.DataCentre, in.From, in.To),
			Requests: f.log.Requests(in.DataCentre, in.From, in.To),
		}
	}))
	mux.HandleFunc("GET /control/counts", func(rw http.ResponseWriter, _ *http.Request) {
		out := f.log.Counts()
		out.BytesIn, out.BytesOut = f.counters.in.Load(), f.counters.out.Load()
		reply(rw, http.StatusOK, out)
	})
	mux.HandleFunc("GET /control/violations", func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusOK, f.log.Violations())
	})
	mux.HandleFunc("GET /control/executions", func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusOK, f.log.Executions())
	})
	return mux
}

// control wraps a function as a handler that decodes its argument and encodes its result as JSON.
func control[In, Out any](do func(In) Out) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		reply(rw, http.StatusOK, do(in))
	}
}

// setWorkers applies a fault to the workers that it selects.
func (f *Fleet) setWorkers(now time.Time, in WorkerFault) {
	for _, w := range f.workers {
		if in.Worker != "" && in.Worker != w.Model.ID || in.DataCentre != "" && in.DataCentre != w.Model.DataCentre {
			continue
		}
		w.SetMode(now, in.Mode)
		d := departure{}
		if in.Mode == WorkerDead {
			d = departure{since: now, gone: true}
		}
		f.setDeparture(string(w.Model.ID), d)
	}
}

// setTargets applies a fault to the targets that it selects.
func (f *Fleet) setTargets(now time.Time, in TargetFault) {
	for _, t := range f.targets {
		if in.Target != "" && in.Target != t.Model.ID || in.DataCentre != "" && in.DataCentre != t.Model.DataCentre {
			continue
		}
		t.SetMode(in.Mode)
		d := departure{}
		if in.Leaving {
			d.since = now
		}
		t.mu.Lock()
		t.leaving = d.since
		t.mu.Unlock()
		f.setDeparture(string(t.Model.ID), d)
	}
}
