package refusals

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

// Guards against a log that a crowd of refused clients fills, and against refusals that no line counts.
func TestRefusalsAreCountedAndLoggedAtABoundedRate(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		scope := tally.NewTestScope("", nil)
		r := New("callers", scope, zerolog.New(&log))
		for range 1000 {
			r.Record(BytesHeld)
		}
		r.Record(TooSlow)
		is.Equal(strings.Count(log.String(), "\n"), 1)
		time.Sleep(logInterval)
		r.Record(BytesHeld)
		is.Equal(strings.Count(log.String(), "\n"), 2)
		is.True(strings.Contains(log.String(), `"bytes-held":1000`))
		is.True(strings.Contains(log.String(), `"too-slow":1`))
		counted := scope.Snapshot().Counters()["listener_refused+listener=callers,reason=bytes-held"].Value()
		is.Equal(counted, int64(1001))
	})
}
