package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

type routeBody struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	TargetMS    int     `json:"target-duration-ms"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
	Advice      any     `json:"advice,omitempty"`
}

type configBody struct {
	Version int64       `json:"version"`
	Routes  []routeBody `json:"routes"`
	// Tenants is empty if callers need no key.
	Tenants []tenantBody `json:"tenants,omitempty"`
}

// config returns the configuration of the last of some versions. Beside the route of all jobs it has one that was added
// with each of them.
func config(versions ...int64) configBody {
	route := routeBody{Name: "q", Host: routeHost, Prefix: routePrefix, Service: service, TargetMS: 1000, MaxAttempts: maxAttempts, Stretch: 2}
	advised := route
	advised.Name, advised.Prefix, advised.Advice = "advised", advisedPrefix, map[string]int{"decide-ms": 5, "each-ms": 1, "valid-ms": int(ticketTime.Milliseconds())}
	body := configBody{Routes: []routeBody{route, advised}}
	for _, version := range versions {
		added := route
		added.Name, added.Prefix = fmt.Sprintf("q%d", version), addedPrefix(version)
		body.Version, body.Routes = version, append(body.Routes, added)
	}
	return body
}

// addedPrefix is the prefix of the route that is added with a version.
func addedPrefix(version int64) string { return fmt.Sprintf("/since-%d/", version) }

// operators write the configuration.
type operators struct {
	store *Store

	mu       sync.Mutex
	versions []int64     // of the routes in the configuration, the newest last
	ackedAt  []time.Time // when each was acknowledged
	keys     []*apiKey   // in the order in which they were added; none if callers need no key
	quota    int64       // of the only tenant, in milliCPU; 0 for none
}

// maxAddedRoutes is the number of versions whose routes the configuration keeps.
const maxAddedRoutes = 100

// changeVersion writes the next version of the configuration.
func (o *operators) changeVersion() {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := int64(1)
	if n := len(o.versions); n > 0 {
		version = o.versions[n-1] + 1
	}
	o.versions = append(o.versions, version)
	if n := len(o.versions) - maxAddedRoutes; n > 0 {
		o.versions, o.ackedAt = o.versions[n:], o.ackedAt[n:]
	}
	body := config(o.versions...)
	body.Tenants = o.tenants()
	o.store.Put("op/config", body)
	o.ackedAt = append(o.ackedAt, time.Now())
}

// newest returns the newest version, and the newest one that was acknowledged before a time.
func (o *operators) newest(before time.Time) (newest, older int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, version := range o.versions {
		newest = version
		if o.ackedAt[n].Before(before) {
			older = version
		}
	}
	return newest, older
}

const (
	// maxConfigDelay is how long after its acknowledgement a change of the configuration must be in force.
	maxConfigDelay = 2 * time.Second
	// configSeriesTime is how long the configuration changes after a disturbance.
	configSeriesTime = 7 * time.Second
	// configProbeTimeout bounds a request that shows which version is in force.
	configProbeTimeout = 500 * time.Millisecond
)

// checkConfigSeries disturbs the paths to the store and changes the configuration again and again. CONFIG is violated if
// an instance does not know the route of a version that it knew before, or, contactTime after the end of the
// disturbance or later, that of one that was acknowledged over maxConfigDelay before.
func (tb *testbed) checkConfigSeries(ctx context.Context, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, configSeriesTime)
	defer cancel()
	changeRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
	var group sync.WaitGroup
	group.Go(func() {
		for ; ctx.Err() == nil; pause.For(ctx, time.Duration(100+changeRNG.IntN(400))*time.Millisecond) {
			tb.operators.changeVersion()
		}
	})
	tb.useStore(ctx)
	tb.disturb(rng)
	calmFrom := time.Now().Add(contactTime)
	for _, i := range tb.instances {
		group.Go(func() { tb.checkConfigOf(ctx, i, calmFrom) })
	}
	group.Wait()
}

// useStore lets each instance make many calls to the store at once, which leaves it with unused connections.
func (tb *testbed) useStore(ctx context.Context) {
	const callsAtOnce = 12
	var group sync.WaitGroup
	for _, i := range tb.instances {
		for n := range callsAtOnce {
			group.Go(func() {
				// The job is unknown, so its state is looked up in the store. What is answered is of no interest here.
				_, _ = routeIsKnown(ctx, i, fmt.Sprintf("%sffff%012x", routePrefix, n))
			})
		}
	}
	group.Wait()
}

// disturb disturbs the paths of all instances to the store, and returns when the disturbance is over.
func (tb *testbed) disturb(rng *rand.Rand) {
	const mutedTime = time.Second
	description := "open connections to the store silent"
	if rng.IntN(4) > 0 {
		silenceConnections(tb, rng)
	} else {
		description = "history dropped after a second in which watches heard nothing"
		tb.store.SetMuted(true)
		time.Sleep(mutedTime)
		tb.store.SetMuted(false)
		tb.store.Compact()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faults = append(tb.faults, fmt.Sprintf("%.2f s: %s, then changes of the configuration", time.Since(tb.startedAt).Seconds(), description))
}

// checkConfigOf checks the routes that an instance knows until ctx ends.
func (tb *testbed) checkConfigOf(ctx context.Context, i *instance, calmFrom time.Time) {
	const interval = 50 * time.Millisecond
	var seen int64 // the newest version whose route the instance has known
	for ; ctx.Err() == nil; pause.For(ctx, interval) {
		sentAt := time.Now()
		newest, due := tb.operators.newest(sentAt.Add(-maxConfigDelay))
		if known, ok := routeIsKnown(ctx, i, addedPrefix(newest)); known && ok {
			seen = newest
			continue
		}
		if sentAt.Before(calmFrom) {
			due = 0
		}
		if due = max(due, seen); due == 0 {
			continue
		}
		if known, ok := routeIsKnown(ctx, i, addedPrefix(due)); ok && !known {
			tb.checker.RecordViolation("CONFIG", "%s does not know the route of version %d (it has known that of %d); see %s", i.name, due, seen, i.proc.LogFile)
			return
		}
	}
}

// routeIsKnown asks an instance for the waiting jobs of a route, and reports whether it knows the route. ok is false
// if there was no answer.
func routeIsKnown(ctx context.Context, i *instance, prefix string) (known, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, configProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.callerAddress()+prefix, nil)
	if err != nil {
		return false, false
	}
	req.Host = routeHost
	req.Header.Set("X-Deadline", "300")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return resp.StatusCode != http.StatusNotFound, true
}
