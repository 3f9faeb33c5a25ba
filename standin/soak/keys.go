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

const (
	// revocationBound is the time after the acknowledgement of its revocation from which on no instance may accept a key.
	revocationBound = 2500 * time.Millisecond
	// maxKeyDelay is the time after the acknowledgement of a key from which on no instance may say that it does not exist. An
	// instance may say at any time that it does not know.
	maxKeyDelay = 2500 * time.Millisecond
	// validKeys is how many keys are valid at a time.
	validKeys = 3
	// keyProbeTimeout bounds a call that shows whether an instance accepts a key. Suspended instances answer when they go on.
	keyProbeTimeout = 6 * time.Second
)

// apiKey is a key of the only tenant. Of the times, those that have not come are zero.
type apiKey struct {
	text      string
	addedAt   time.Time // when the store had acknowledged it
	removing  bool      // whether a configuration without it may be in the store
	removedAt time.Time // when the store had acknowledged such a configuration
}

type tenantBody struct {
	Name   string   `json:"name"`
	Keys   []string `json:"api-keys"`
	Weight float64  `json:"weight"`
	Cap    capacity `json:"cap"`
}

// tenants returns the tenants of the configuration; none if the soak has no keys. The caller must hold o.mu.
func (o *operators) tenants() []tenantBody {
	if len(o.keys) == 0 {
		return nil
	}
	t := tenantBody{Name: "t", Weight: 1, Cap: capacity{CPU: o.quota}}
	for _, k := range o.keys {
		if !k.removing {
			t.Keys = append(t.Keys, k.text)
		}
	}
	return []tenantBody{t}
}

// rotateKeys adds a key and revokes the oldest one of more than validKeys.
func (o *operators) rotateKeys() {
	o.mu.Lock()
	o.keys = append(o.keys, &apiKey{text: fmt.Sprintf("key-%d", len(o.keys))})
	if oldest := len(o.keys) - 1 - validKeys; oldest >= 0 {
		o.keys[oldest].removing = true
	}
	o.mu.Unlock()
	o.changeVersion()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, k := range o.keys {
		if k.addedAt.IsZero() {
			k.addedAt = now
		}
		if k.removing && k.removedAt.IsZero() {
			k.removedAt = now
		}
	}
}

// callerKey returns the key that callers use, which is neither the newest nor the next one to be revoked; empty without keys.
func (o *operators) callerKey() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.keys) == 0 {
		return ""
	}
	return o.keys[max(0, len(o.keys)-2)].text
}

// randomKey returns one of the valid keys and the last ones that were revoked.
func (o *operators) randomKey(rng *rand.Rand) *apiKey {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := min(len(o.keys), 2*validKeys)
	return o.keys[len(o.keys)-last+rng.IntN(last)]
}

// state returns what is known of a key now.
func (o *operators) state(k *apiKey) apiKey {
	o.mu.Lock()
	defer o.mu.Unlock()
	return *k
}

// checkKeys rotates the keys and checks which ones the instances accept, until ctx ends.
func (tb *testbed) checkKeys(ctx context.Context) {
	const probeInterval = 20 * time.Millisecond
	var group sync.WaitGroup
	group.Go(func() {
		for rng := tb.newRand(14); ctx.Err() == nil; pause.For(ctx, time.Duration(300+rng.IntN(1700))*time.Millisecond) {
			tb.operators.rotateKeys()
		}
	})
	client := &http.Client{Timeout: keyProbeTimeout}
	for n, i := range tb.instances {
		group.Go(func() {
			for rng := tb.newRand(300 + uint64(n)); ctx.Err() == nil; pause.For(ctx, probeInterval) {
				tb.checkKey(ctx, client, i, tb.operators.randomKey(rng))
			}
		})
	}
	group.Wait()
}

// checkKey checks whether an instance rightly accepts or refuses a key. KEY is violated if it accepts one that was revoked over
// revocationBound before, or says that one which was added over maxKeyDelay before does not exist.
func (tb *testbed) checkKey(ctx context.Context, client *http.Client, i *instance, k *apiKey) {
	before, sentAt := tb.operators.state(k), time.Now()
	status := probeKey(ctx, client, i, k.text)
	accepted := status == http.StatusNotFound
	tb.checker.RecordKeyAnswer(accepted, status == http.StatusUnauthorized)
	switch {
	case accepted && !before.removedAt.IsZero() && sentAt.Sub(before.removedAt) > revocationBound:
		tb.checker.RecordViolation("KEY", "%s accepts %s %s after its revocation; see %s", i.name, k.text, sentAt.Sub(before.removedAt), i.proc.LogFile)
	case status == http.StatusUnauthorized && !before.addedAt.IsZero() && sentAt.Sub(before.addedAt) > maxKeyDelay && !tb.operators.state(k).removing:
		tb.checker.RecordViolation("KEY", "%s does not know %s %s after it was added; see %s", i.name, k.text, sentAt.Sub(before.addedAt), i.proc.LogFile)
	}
}

// probeKey asks an instance with a key for a job whose id is malformed, and returns the status; 0 if there was no answer. The
// status is 404 if the key is accepted, whether the store answers or not.
func probeKey(ctx context.Context, client *http.Client, i *instance, key string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.callerAddress()+routePrefix+"malformed", nil)
	if err != nil {
		return 0
	}
	req.Host = routeHost
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
