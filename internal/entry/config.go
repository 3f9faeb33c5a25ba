// Package entry implements an instance, which serves callers: it writes their jobs to the store,
// notifies the owner (the instance that schedules all jobs), answers queries about jobs, and watches
// the operators' configuration.
package entry

import (
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/apikey"
	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// Route assigns requests with a host and a path prefix to a queue.
type Route struct {
	Queue  string
	Host   string
	Prefix string
	// Public routes serve callers without an API key.
	Public bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Batch  batch.Config
	Routes []Route
	// Keys are the API keys of the tenants; nil if the deployment has no tenants, which then needs no key on any route.
	Keys *apikey.Ring
	// MaxBody bounds the body of a request, in bytes; 0 or less stands for the default.
	MaxBody int64
	// Revision is the store's revision as of which it was read, and InForceSince when it was put in force here.
	Revision     int64
	InForceSince time.Time
}

// Match returns the route with the longest matching prefix, and the rest of the path.
func (c *Config) Match(host, path string) (route Route, rest string, ok bool) {
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, "", false
	}
	return c.Routes[best], path[len(c.Routes[best].Prefix):], true
}

// ConfigDecoder decodes the configuration that the operators write to the store.
type ConfigDecoder interface {
	// Prefix returns the prefix of all keys of the configuration.
	Prefix() string
	// Decode returns the configuration without evacuations, or nil if there is none, and the evacuated data
	// centres. The error is an UnreadableKeyError if the value of one key cannot be read.
	Decode(items []kv.Item) (config *Config, evacuated map[string]bool, err error)
}

// UnreadableKeyError says that the value of a key of the configuration cannot be read.
type UnreadableKeyError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *UnreadableKeyError) Error() string { return e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableKeyError) Unwrap() error { return e.Cause }
