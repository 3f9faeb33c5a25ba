package audit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1000, 0).UTC() }

func TestTrailKeepsTheNewestOfEachSubject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		trail := NewTrail("i-1", fixedClock{}, zerolog.Nop(), limit)
		var all []Entry
		for i := range rapid.IntRange(0, 40).Draw(t, "entries") {
			e := Entry{Subject: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "subject"), Event: fmt.Sprint(i)}
			trail.Record(e)
			all = append(all, e)
		}
		kept := all[max(0, len(all)-limit):]
		compareEvents(t, trail.Recent(100), kept)
		compareEvents(t, trail.Recent(3), kept[max(0, len(kept)-3):])
		compareEvents(t, trail.Recent(-1), nil)
		for _, subject := range []string{"a", "b", "c"} {
			var want []Entry
			for _, e := range kept {
				if e.Subject == subject {
					want = append(want, e)
				}
			}
			got := trail.Subject(subject)
			if len(all) > limit {
				if got[0].Event != EventDropped {
					t.Fatalf("the first entry does not say that older ones were dropped: %+v", got[0])
				}
				got = got[1:]
			}
			compareEvents(t, got, want)
		}
		if trail.Dropped() != uint64(len(all)-len(kept)) {
			t.Fatalf("dropped %d of %d with a limit of %d", trail.Dropped(), len(all), limit)
		}
	})
}

// compareEvents compares the subjects and events of two lists.
func compareEvents(t *rapid.T, got, want []Entry) {
	var a, b []string
	for _, e := range got {
		a = append(a, e.Subject+e.Event)
	}
	for _, e := range want {
		b = append(b, e.Subject+e.Event)
	}
	if strings.Join(a, " ") != strings.Join(b, " ") {
		t.Fatalf("got %v, want %v", a, b)
	}
}

func TestEntryIsLoggedAsOneLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	trail := NewTrail("i-1", fixedClock{}, zerolog.New(&out), 10)
	trail.Record(Entry{Subject: "t/1", Event: "job.started", Reason: "line\nbreak", Worker: "w", Attempt: 2, Verdict: "ran"})
	is.Equal(strings.Count(out.String(), "\n"), 1)
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["event"], "job.started")
	is.Equal(line["instance"], "i-1")
	is.Equal(line["attempt"], 2.0)
}

func TestLongTextsAreTruncated(t *testing.T) {
	is := is.New(t)
	trail := NewTrail("i-1", fixedClock{}, zerolog.Nop(), 10)
	long := strings.Repeat("é", 100_000)
	trail.Record(Entry{Subject: long, Actor: long, Reason: long, Before: long, After: long})
	e := trail.Recent(1)[0]
	is.True(len(e.Subject)+len(e.Actor)+len(e.Reason)+len(e.Before)+len(e.After) < 4_000)
	is.True(strings.HasSuffix(e.Reason, "é..."))
}

func TestConcurrentUse(t *testing.T) {
	trail := NewTrail("i-1", fixedClock{}, zerolog.Nop(), 50)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 100 {
				trail.Record(Entry{Subject: fmt.Sprint(i)})
				trail.Subject("1")
				trail.Recent(10)
			}
		})
	}
	wg.Wait()
	if trail.Dropped() != 750 {
		t.Fatalf("dropped %d entries, want 750", trail.Dropped())
	}
}
