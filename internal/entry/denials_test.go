package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// Guards against refused calls of which an operator sees neither the reason nor the number, and against callers who fill the log.
func TestDeniedCallsAreLoggedAndCounted(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		scope := tally.NewTestScope("", nil)
		i := newInstance(&fakeStore{})
		i.denials = newDenials(scope, zerolog.New(&log))
		i.watcher.freshness.confirm(i.watcher.clock())
		config := &Config{Keys: keysOf("acme", "valid"), Revision: 41}
		config.Batch.Version = 7
		config.Keys.Replace(keysOf("acme", "old"))
		i.watcher.inForce.Store(config)
		for range 100 {
			i.Authorize(Route{Queue: "q"}, "old")
		}
		i.Authorize(Route{Queue: "q"}, "unknown")
		i.Authorize(Route{Queue: "q"}, "valid")
		time.Sleep(deniedLogInterval)
		i.Authorize(Route{Queue: "q"}, "old")
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		is.Equal(len(lines), 3)
		is.True(strings.Contains(lines[0], `"event":"call.denied","reason":"key-revoked","queue":"q","tenant":"acme","version":7,"revision":41`))
		is.True(strings.Contains(lines[1], `"reason":"key-unknown"`))
		is.True(strings.Contains(lines[2], `"left-out":99`))
		counters := scope.Snapshot().Counters()
		is.Equal(counters["calls_denied+reason=key-revoked"].Value(), int64(101))
		is.Equal(counters["calls_denied+reason=key-unknown"].Value(), int64(1))
	})
}

// Guards against a line for each call while keys are suspended, and against a suspension whose end is not told.
func TestASuspensionOfKeysIsLoggedOnceEachWay(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	now := time.Minute
	i := newInstance(&fakeStore{})
	i.denials = newDenials(nil, zerolog.New(&log))
	i.watcher.clock = func() time.Duration { return now }
	i.watcher.setRevocationBound(5 * time.Second)
	i.watcher.inForce.Store(&Config{Keys: keysOf("acme", "valid")})
	for _, age := range []time.Duration{0, 3 * time.Second, 5 * time.Second, 6 * time.Second, time.Second} {
		i.watcher.freshness = freshness{}
		i.watcher.freshness.confirm(now - age)
		for _, key := range []string{"valid", "unknown", ""} {
			i.Authorize(Route{}, key)
		}
		i.Authorize(Route{Public: true}, "")
	}
	is.Equal(strings.Count(log.String(), `"event":"keys.suspended","suspended":true`), 1)
	is.Equal(strings.Count(log.String(), `"event":"keys.suspended","suspended":false`), 1)
}
