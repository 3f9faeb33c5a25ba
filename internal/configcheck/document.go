// Package configcheck checks a configuration before operators send it to the store, and compares it with the one in
// force. It is pure: it reads no file and no store.
package configcheck

import "time"

// Document is a configuration as its authors wrote it: with entries that are doubled, unnamed or contradictory, which
// the instances skip or merge.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Tenants  []Tenant
}

// Route is a queue with the host and path prefix of its calls.
type Route struct {
	// Name is the name of the queue.
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders the queues; 0 is the most urgent.
	Priority    int
	MaxAttempts int
	// Stretch and Slack give the time within which a job should complete: Stretch times the length of its critical
	// path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// CallTimeout is the time for one call; 0 if it is not stated.
	CallTimeout time.Duration
	// Public routes need no API key. PublicStated is set if the document says whether the route is public.
	Public, PublicStated bool
	// Advice is the policy of the advice service; nil if there is none.
	Advice *Advice
	// Values are all fields, for the comparison.
	Values []Value
}

// Advice says how long the advice service takes to decide, by request and by worker, and how long its tickets last.
type Advice struct {
	Decide, Each, Valid time.Duration
}

// Service is a group of workers.
type Service struct {
	Name     string
	MaxConns int64
	Values   []Value
}

// Limits bound the calls. A limit of 0 is not stated.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	Values         []Value
}

// Tenant is a tenant with its API keys.
type Tenant struct {
	Name   string
	Keys   []Key
	Weight float64
	Cap    Resources
	Values []Value
}

// Resources are the bounds of a tenant. A resource whose bound is 0 is not bounded.
type Resources struct {
	CPU      int64 // thousandths of a core
	MemoryMB int64
	GPU      int64
}

// Value is a field with its name and value as they stand in the document.
type Value struct {
	Name string
	Text string
	// Hidden values are compared, but never shown.
	Hidden bool
}

// Key is an API key. Neither its text form nor its JSON form shows it.
type Key struct{ value string }

// NewKey returns a key.
func NewKey(value string) Key { return Key{value} }

// String implements fmt.Stringer.
func (Key) String() string { return "(hidden)" }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return "(hidden)" }
