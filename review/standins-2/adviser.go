package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	decideTime  = 20 * time.Millisecond
	eachTime    = time.Millisecond
	ticketValid = 4 * time.Second
)

// policy holds the tickets that were granted. Two addresses of the service share it.
type policy struct {
	mu      sync.Mutex
	tickets map[string]time.Time // by step, runner and ticket: until when it is valid
	granted int
}

// accepts reports whether a ticket allows a runner to start tasks of a step.
func (p *policy) accepts(step, runner, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.tickets[step+" "+runner+" "+ticket])
}

// adviser is one address of the advice service.
type adviser struct {
	policy  *policy
	rec     *recorder
	name    string
	address string
	server  *http.Server
	turn    sync.Mutex // one call at a time
}

func newAdviser(name, host string, p *policy, rec *recorder) (*adviser, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	a := &adviser{policy: p, rec: rec, name: name, address: l.Addr().String()}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/api/advise" || json.NewDecoder(r.Body).Decode(&b) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(b.Workers))*eachTime)
	a.turn.Unlock()
	granted := [][2]string{}
	a.policy.mu.Lock()
	for _, id := range b.Workers {
		a.policy.granted++
		ticket := fmt.Sprintf("c81e-%08x", a.policy.granted)
		a.policy.tickets[b.Step+" "+id+" "+ticket] = time.Now().Add(ticketValid)
		granted = append(granted, [2]string{id, ticket})
	}
	a.policy.mu.Unlock()
	a.rec.line("advice %s for %s: %d runners", a.name, b.Step, len(granted))
	writeJSON(w, http.StatusOK, map[string]any{"granted": granted, "valid-ms": ticketValid.Milliseconds()})
}
