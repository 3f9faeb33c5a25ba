package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/platform"
)

const settingsFile = `node-name: "n"
ip: "10.0.0.1"
zone: "z"
listen: {front: "10.0.0.1:1", ready: "10.0.0.1:2"}
internal-ports: [7720, 7735]
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4100}
bounds: {hold-max-ms: 6000, grace-s: 6, status_s: 120}
orders: "invoke"
advice: "10.0.0.8:1"
platform: {address: "10.0.0.9:1", ttl-min-ms: 1000, value-bytes: 1000000}
`

// watched is a settings file with its watcher.
type watched struct {
	*settingsWatcher
	t       *testing.T
	log     bytes.Buffer
	applied []platform.Settings
	writes  int
}

// watch begins to watch a file with settingsFile.
func watch(t *testing.T) *watched {
	w := &watched{t: t}
	path := filepath.Join(t.TempDir(), "local.yaml")
	is := is.New(t)
	is.NoErr(os.WriteFile(path, []byte(settingsFile), 0o600))
	s, odd, err := platform.ReadSettings(path)
	is.NoErr(odd)
	is.NoErr(err)
	w.settingsWatcher = newSettingsWatcher(path, s, zerolog.New(&w.log), func(s platform.Settings) { w.applied = append(w.applied, s) })
	w.poll()
	w.poll()
	is.Equal(len(w.applied), 0) // nothing has changed
	w.log.Reset()
	return w
}

// write writes the file, with a time of its own, and polls it.
func (w *watched) write(text string, polls int) {
	is := is.New(w.t)
	is.NoErr(os.WriteFile(w.path, []byte(text), 0o600))
	w.writes++
	is.NoErr(os.Chtimes(w.path, time.Time{}, time.Unix(int64(1_000_000+w.writes), 0)))
	for range polls {
		w.poll()
	}
}

// lines returns the number of log lines with an event.
func (w *watched) lines(event string) int {
	return strings.Count(w.log.String(), fmt.Sprintf(`"event":%q`, event))
}

// Guards against settings that change while an instance runs and are never used (review case 10, LOST: the address of the advice service),
// and against others of which the log does not say that they wait for the next start.
func TestChangedSettingsTakeEffectOrAreNamed(t *testing.T) {
	for _, c := range []struct {
		from, to, field string
		atOnce          bool
	}{
		{`advice: "10.0.0.8:1"`, `advice: "10.0.0.8:2"`, "advice", true},
		{`address: "10.0.0.9:1"`, `address: "10.0.0.9:2"`, "platform.address", true},
		{"value-bytes: 1000000", "value-bytes: 500000", "platform.value-bytes", true},
		{"status_s: 120", "status_s: 60", "bounds.status_s", true},
		{"grace-s: 6", "grace-s: 8", "bounds.grace-s", true},
		{"bounds: {", "bounds: {revoke-ms: 5000, ", "bounds.revoke-ms", true},
		{"memory-mb: 284", "memory-mb: 500", "limits.memory-mb", true},
		{"hold-max-ms: 6000", "hold-max-ms: 10000", "bounds.hold-max-ms", false},
		{"cpu-share: 0.4", "cpu-share: 0.8", "limits.cpu-share", false},
		{"max-fds: 4100", "max-fds: 8192", "limits.max-fds", false},
		{"ttl-min-ms: 1000", "ttl-min-ms: 2000", "platform.ttl-min-ms", false},
		{`front: "10.0.0.1:1"`, `front: "10.0.0.1:3"`, "listen.front", false},
		{"[7720, 7735]", "[7721, 7735]", "internal-ports", false},
		{`zone: "z"`, `zone: "y"`, "zone", false},
	} {
		t.Run(c.field, func(t *testing.T) {
			is := is.New(t)
			w := watch(t)
			w.write(strings.Replace(settingsFile, c.from, c.to, 1), 3)
			var line struct {
				Event       string   `json:"event"`
				Changed     []string `json:"changed"`
				AtNextStart []string `json:"at-next-start"`
			}
			is.NoErr(json.Unmarshal(w.log.Bytes(), &line)) // one line
			is.Equal(line.Event, "settings.read")
			if c.atOnce {
				is.Equal(line.Changed, []string{c.field})
				is.Equal(len(line.AtNextStart), 0)
				is.Equal(len(w.applied), 1)
				return
			}
			is.Equal(len(line.Changed), 0)
			is.Equal(line.AtNextStart, []string{c.field})
			is.Equal(len(w.applied), 0)
		})
	}
}

// Guards against settings that are taken from a file that is being written, is wrong or cannot be read, and against a line in the log at
// each look at it.
func TestAFileThatIsWrongLeavesWhatIsInForce(t *testing.T) {
	moved := strings.Replace(settingsFile, "10.0.0.8:1", "10.0.0.8:2", 1)
	for name, text := range map[string]string{
		"empty":                    "",
		"cut off in a value":       moved[:strings.Index(moved, "status_s")],
		"cut off between fields":   moved[:strings.Index(moved, "bounds:")],
		"no YAML":                  "\x00\xff{{{",
		"a field of another type":  strings.Replace(settingsFile, "status_s: 120", "status_s: [long]", 1),
		"a value out of range":     strings.Replace(moved, "hold-max-ms: 6000", "hold-max-ms: -1", 1),
		"an address without port":  strings.Replace(settingsFile, "10.0.0.8:1", "10.0.0.8", 1),
		"no address of the store":  strings.Replace(moved, `address: "10.0.0.9:1"`, `address: ""`, 1),
		"the field is not there":   strings.Replace(settingsFile, "advice: \"10.0.0.8:1\"\n", "", 1),
		"another form of delivery": strings.Replace(moved, "invoke", "heartbeat", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := watch(t)
			w.write(text, 3)
			w.write(text, 3)
			is.Equal(w.settings().Advice, "10.0.0.8:1")
			is.Equal(w.settings().Platform.Address, "10.0.0.9:1")
			is.Equal(w.settings().StatusRetention(), 2*time.Minute)
			is.True(w.lines("settings.unreadable") <= 1)
			w.write(moved, 3) // the next good one counts
			is.Equal(w.settings().Advice, "10.0.0.8:2")
			is.Equal(w.applied[len(w.applied)-1].Advice, "10.0.0.8:2")
		})
	}
}

// Guards against a file that is read while it is being written.
func TestAFileIsReadOnceItStaysAsItIs(t *testing.T) {
	is := is.New(t)
	w := watch(t)
	moved := strings.Replace(settingsFile, "10.0.0.8:1", "10.0.0.8:22", 1)
	for n := strings.Index(moved, "22") + 1; n < len(moved); n++ {
		w.write(moved[:n], 1)
		is.Equal(len(w.applied), 0)
	}
	w.write(moved, 2)
	is.Equal(w.settings().Advice, "10.0.0.8:22")
}

// Guards against a file that is away for a moment, and against a line at each look.
func TestAMissingFileIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	w := watch(t)
	is.NoErr(os.Remove(w.path))
	for range 5 {
		w.poll()
	}
	is.Equal(w.lines("settings.unreadable"), 1)
	is.Equal(w.settings().Advice, "10.0.0.8:1")
	w.write(strings.Replace(settingsFile, "10.0.0.8:1", "10.0.0.8:2", 1), 2)
	is.Equal(w.settings().Advice, "10.0.0.8:2")
}
