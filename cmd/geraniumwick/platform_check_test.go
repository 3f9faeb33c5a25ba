package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

const (
	soundPlatformConfig = `{"version":7,
 "routes":[{"name":"r1","host":"a.example","prefix":"/p/","target-duration-ms":250,"service":"s","max-attempts":3,"stretch":1.5}],
 "services":[{"name":"s","max-conns":64}],
 "limits":{"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t1","api-keys":["hush-1","hush-2"],"weight":2,"cap":{"cpu":4000}}]}`
	changedPlatformConfig = `{"version":8,
 "routes":[{"name":"r1","host":"a.example","prefix":"/p/","target-duration-ms":500,"service":"s","max-attempts":3,"stretch":1.5}],
 "services":[{"name":"s","max-conns":64}],
 "limits":{"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t1","api-keys":["hush-2","hush-3","hush-4"],"weight":2,"cap":{"cpu":3000}}]}`
	faultyPlatformConfig = `{"version":6,
 "routes":[{"name":"r1","host":"a.example:80","prefix":"p/","service":"x","max-attempts":3,"stretch":1.5}],
 "services":[{"name":"s","max-conns":64}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"t1","api-keys":["hush-1","hush-1"],"weight":-2}]}`
)

func TestPlatformCheckSession(t *testing.T) {
	s := newSession(t, "http://127.0.0.1:1") // no instance is called
	s.file("now.json", soundPlatformConfig)
	s.file("next.json", changedPlatformConfig)
	s.file("faulty.json", faultyPlatformConfig)
	s.file("broken.json", "{\"version\":7,\n  hush")
	s.run("platform", "check", "DIR/now.json")
	s.run("platform", "check", "DIR/now.json", "--in-force", "DIR/now.json")
	s.run("platform", "check", "DIR/next.json", "--in-force", "DIR/now.json")
	s.run("platform", "check", "DIR/next.json", "--in-force", "DIR/now.json", "--output", "json")
	s.run("platform", "check", "DIR/faulty.json", "--in-force", "DIR/now.json")
	s.run("platform", "check", "DIR/broken.json", "--in-force", "DIR/now.json")
	s.run("platform", "check", "DIR/broken.json", "--output", "json")
	s.run("platform", "check", "DIR/next.json", "--in-force", "DIR/broken.json")
	s.run("platform", "check", "DIR/missing.json")
	s.run("platform", "check", "DIR/next.json", "--in-force", "DIR/now.json", "--store", "127.0.0.1:1")
	if strings.Contains(s.transcript.String(), "hush") {
		t.Error("a key is shown")
	}
	s.compare("platform-check")
}

func TestPlatformCheckReadsTheStore(t *testing.T) {
	for _, c := range []struct {
		sentence string
		err      error
		code     int
	}{
		{"the store has a configuration", nil, exitDone},
		{"the store has no configuration", errors.Trace(kv.ErrNotFound), exitNotFound},
		{"the store does not answer", kv.ErrUnavailable, exitUnreachable},
	} {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			cli := &cli{opts: options{timeout: time.Minute}}
			data, err := cli.readPlatformStore(t.Context(), platformStore{err: c.err})
			if c.err == nil {
				is.NoErr(err)
				is.Equal(string(data), soundPlatformConfig)
				return
			}
			var failed *failure
			is.True(errors.As(err, &failed))
			is.Equal(failed.code, c.code)
		})
	}
}

// platformStore answers each read with the sound configuration, or with an error.
type platformStore struct {
	kv.Store
	err error
}

func (s platformStore) Get(_ context.Context, key string) (kv.Item, error) {
	return kv.Item{Key: key, Value: []byte(soundPlatformConfig)}, s.err
}
