package main

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/logging"
	"github.com/geraniumwick/geraniumwick/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for changes. A change is read once the file has stayed as
// it is for that long, since it may be half written.
const settingsPollInterval = 250 * time.Millisecond

// settingsWatcher follows the settings file while an instance runs.
type settingsWatcher struct {
	path  string
	log   zerolog.Logger
	apply func(platform.Settings)
	// inForce are the settings that were last read. Some of them take effect at the next start only.
	inForce atomic.Pointer[platform.Settings]
	// seen is the file at the last poll, and read as it was last read.
	seen, read fileVersion
	failures   logging.Repeats
}

// fileVersion tells two contents of a file apart.
type fileVersion struct {
	modified time.Time
	size     int64
}

// newSettingsWatcher returns a watcher for an instance that was started with settings. It passes later ones to apply.
func newSettingsWatcher(path string, s platform.Settings, log zerolog.Logger, apply func(platform.Settings)) *settingsWatcher {
	w := &settingsWatcher{path: path, log: log, apply: apply}
	w.inForce.Store(&s)
	return w
}

// settings returns the settings in force.
func (w *settingsWatcher) settings() *platform.Settings { return w.inForce.Load() }

// run polls the file until ctx ends.
func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.poll()
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the file if it has changed since it was read, but not since the last poll.
func (w *settingsWatcher) poll() {
	info, err := os.Stat(w.path)
	if err != nil {
		w.noteFailure(err)
		return
	}
	version := fileVersion{modified: info.ModTime(), size: info.Size()}
	settled := version == w.seen
	w.seen = version
	if settled && version != w.read {
		w.read = version
		w.readFile()
	}
}

// readFile reads the file and puts in force what takes effect while an instance runs. A file that is wrong as a whole changes nothing but
// the address of the store, without which nothing works; a field that cannot be read stays as it was.
func (w *settingsWatcher) readFile() {
	before := *w.inForce.Load()
	s, odd, err := platform.ReadChangedSettings(w.path, before)
	if err != nil {
		w.noteFailure(err)
		if !s.HasStore() {
			return
		}
		address := s.Platform.Address
		s = before
		s.Platform.Address = address
	} else {
		w.noteFailure(odd)
	}
	atOnce, atNextStart := s.Changes(&before)
	w.inForce.Store(&s)
	if len(atOnce) > 0 {
		w.apply(s)
	}
	w.log.Info().Str("event", "settings.read").Str("store", s.Platform.Address).Strs("changed", atOnce).Strs("at-next-start", atNextStart).Send()
}

// noteFailure logs why the file, or a field of it, cannot be read, once as long as it is the same.
func (w *settingsWatcher) noteFailure(err error) {
	switch {
	case err == nil:
		w.failures.Clear(w.path)
	case w.failures.New(w.path, err.Error()):
		w.log.Error().Str("event", "settings.unreadable").Err(err).Send()
	}
}
