package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// maxForeignEntries bounds the entries that are kept for a service that may be named later. Workers write theirs again and again, so
// that one which is not kept costs little.
const maxForeignEntries = 4096

// services are those that this owner knows: configurations have named them since it leads, or jobs were accepted for them. An entry
// under a worker's key that is for any other service was written by another program, or comes before the configuration
// that names its service.
type services struct {
	named map[string]bool
	// foreign holds the entries for other services, by key.
	foreign map[string]batch.WorkerInfo
	// version is the configuration whose services are known.
	version int64
}

func newServices() services {
	return services{named: map[string]bool{}, foreign: map[string]batch.WorkerInfo{}}
}

// admit returns an error if an entry is for a service that is not known. The entry is kept until there is another one under its key.
func (s *services) admit(key string, info batch.WorkerInfo) error {
	delete(s.foreign, key)
	if s.named[info.Service] {
		return nil
	}
	if len(s.foreign) < maxForeignEntries {
		s.foreign[key] = info
	}
	return errors.Errorf("no configuration names the service %q", info.Service)
}

// takeNamed returns the kept entries whose services are known by now, and drops them.
func (s *services) takeNamed() map[string]batch.WorkerInfo {
	named := map[string]batch.WorkerInfo{}
	for key, info := range s.foreign {
		if s.named[info.Service] {
			named[key] = info
			delete(s.foreign, key)
		}
	}
	return named
}

// noteServices notes the services that the configuration in force names.
func (l *leader) noteServices(now time.Time) {
	if l.services.version == l.state.ConfigVersion() {
		return
	}
	l.services.version = l.state.ConfigVersion()
	for service := range l.state.Services() {
		l.noteService(service, now)
	}
}

// noteService notes a service, and applies the entries that came before it was known.
func (l *leader) noteService(service string, now time.Time) {
	if l.services.named[service] {
		return
	}
	l.services.named[service] = true
	waiting := l.services.takeNamed()
	for _, key := range slices.Sorted(maps.Keys(waiting)) {
		l.applyWorker(key, waiting[key], now)
	}
}
