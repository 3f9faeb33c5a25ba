package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// advisedPrefix is the prefix of the route whose jobs need tickets, and advisedPayload that of the payloads of these jobs.
	advisedPrefix, advisedPayload = "/advised/", "advised "
	// ticketTime is how long a ticket is valid.
	ticketTime = 3 * time.Second
)

// adviser is a stand-in for the advice service. It lets every worker run every step.
type adviser struct {
	host    string
	server  *http.Server
	address string

	mu      sync.Mutex
	tickets map[string]time.Time // by ticket: until when it is valid
}

func newAdviser(host string) (*adviser, error) {
	a := &adviser{host: host, tickets: map[string]time.Time{}}
	_, err := a.move()
	return a, err
}

// move makes the service serve at another address. The returned function ends it at the former one.
func (a *adviser) move() (endFormer func(), err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(a.host, "0"))
	if err != nil {
		return nil, err
	}
	former := a.server
	a.server, a.address = &http.Server{Handler: a}, l.Addr().String()
	go func() { _ = a.server.Serve(l) }()
	return func() {
		if former != nil {
			_ = former.Close()
		}
	}, nil
}

func (a *adviser) close() { _ = a.server.Close() }

// ticketOf returns the ticket for a step on a worker.
func ticketOf(step, worker string) string { return step + " on " + worker }

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	granted := [][]string{}
	for _, worker := range b.Workers {
		ticket := ticketOf(b.Step, worker)
		a.tickets[ticket] = time.Now().Add(ticketTime)
		granted = append(granted, []string{worker, ticket})
	}
	writeJSON(w, http.StatusOK, map[string]any{"granted": granted, "valid-ms": ticketTime.Milliseconds()})
}

// accepts reports whether a ticket is valid for a task on a worker.
func (a *adviser) accepts(task, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return ticket == ticketOf(step, worker) && time.Now().Before(a.tickets[ticket])
}
