package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	longJobs  = 12
	longTasks = 4
	foreignID = 0 // number of the runner under whose key the other writer writes
)

// playEntry runs long tasks and lets another writer write one entry under the key of a runner that works.
func playEntry(w *world) (int, error) {
	w.configure(1, queue{name: "calc", prefix: routePrefix})
	if err := w.addRunners(6); err != nil {
		return 0, err
	}
	if err := w.startInstances(); err != nil {
		return 0, err
	}
	for n := range longJobs {
		w.submit(routePrefix, jobID(n), "ms=12000", []step{{"count": longTasks, "cpu": 2000, "mem-mb": 64, "estimate-ms": 12000}})
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		if err := w.writeForeignEntry(); err != nil {
			return 0, err
		}
	}
	time.Sleep(12 * time.Second)
	return w.runsAtOnce(), nil
}

// writeForeignEntry writes an entry of a service that the configuration does not name. A server of its own is at its address, which
// refuses what is meant for others.
func (w *world) writeForeignEntry() error {
	l, err := net.Listen("tcp", net.JoinHostPort(w.address(200), "0"))
	if err != nil {
		return err
	}
	var calls atomic.Int32
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				w.rec.note("the server of the other service is called: %s %s", r.Method, r.URL.Path)
			}
			writeJSON(rw, http.StatusMisdirectedRequest, struct{}{})
		}))
	}()
	r := w.runners[foreignID]
	w.store.put("servers/"+r.id, map[string]any{
		"service": "archive-desk", "address": l.Addr().String(), "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int64{"cpu": 16000, "mem-mb": 32000, "gpu": 0}, "labels": []string{"a"}, "clock-ms": 1000, "seq": 1, "born": time.Now().UnixMilli(),
	})
	w.rec.note("trouble: another writer has written servers/%s, for a service that the configuration does not name", r.id)
	return nil
}

// runsAtOnce counts the starts of tasks while another run of theirs goes on, on runners that are up (rule TWICE).
func (w *world) runsAtOnce() int {
	broken := 0
	active := map[string]map[run]runEvent{}
	for _, e := range w.history.all() {
		runs := active[e.run.task]
		if runs == nil {
			runs = map[run]runEvent{}
			active[e.run.task] = runs
		}
		if e.how != "" {
			delete(runs, e.run)
			continue
		}
		for _, other := range runs {
			broken++
			w.rec.note("TWICE: %s started on %s while run %d of it goes on, on %s", e.run, e.runner, other.run.number, other.runner)
		}
		runs[e.run] = e
	}
	return broken
}
