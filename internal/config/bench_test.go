package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// storeOfSize returns a store with a document of the given number of teams. It has one rack for
// each ten workers and 7.5 workers for each team, which is the ratio of the target size of 160
// teams and 1,200 workers.
func storeOfSize(b *testing.B, teams int) *fakeStore {
	b.Helper()
	store := newFakeStore()
	operators := "dataCentres: [{name: a}, {name: b}]\npartitions: 64\nweights: {throughput: 1}\nracks:\n"
	for i := range teams * 3 / 4 {
		operators += fmt.Sprintf("  - {name: rack-%d, dataCentre: a, partition: %d}\n", i, i%64)
	}
	accept(b, store, OperatorsSection, []byte(operators))
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		text := strings.NewReplacer("team: t", "team: "+name, "name: s", fmt.Sprintf("name: s-%d", i)).Replace(goodTeam)
		store.write(SectionPrefix+name, []byte(text))
	}
	return store
}

// BenchmarkRelist reads and parses a whole document, as an instance does when it starts.
func BenchmarkRelist(b *testing.B) {
	for _, teams := range []int{40, 80, 160} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			store := storeOfSize(b, teams)
			for b.Loop() {
				w := NewWatcher(store, platform.SystemClock{}, WatcherOptions{})
				if err := w.relist(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEditInForce puts one changed section in force, as each instance does for each edit.
func BenchmarkEditInForce(b *testing.B) {
	for _, teams := range []int{40, 80, 160} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			store := storeOfSize(b, teams)
			w := NewWatcher(store, platform.SystemClock{}, WatcherOptions{})
			if err := w.relist(b.Context()); err != nil {
				b.Fatal(err)
			}
			kv := store.entries[SectionPrefix+"team-7"]
			for b.Loop() {
				kv.ModRevision++
				w.handleWatchEvent(platform.WatchEvent{Changed: []platform.KeyValue{kv}})
			}
		})
	}
}

// BenchmarkConfirm confirms an unchanged document, as an owner does before each batch of
// starts, and reports the bytes of the value that it reads.
func BenchmarkConfirm(b *testing.B) {
	for _, teams := range []int{40, 80, 160} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			store := storeOfSize(b, teams)
			if err := raiseHead(b.Context(), store, 1, defaultRetryDelay); err != nil {
				b.Fatal(err)
			}
			w := NewWatcher(store, platform.SystemClock{}, WatcherOptions{})
			if err := w.relist(b.Context()); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := w.Confirm(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(store.entries[HeadKey].Value)), "value-bytes/op")
			b.ReportMetric(float64(len(store.entries[SectionPrefix+OperatorsSection].Value)), "operators-section-bytes")
		})
	}
}

// BenchmarkHeap reports the heap size of a Watcher with a whole document.
func BenchmarkHeap(b *testing.B) {
	for _, teams := range []int{40, 80, 160} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			store := storeOfSize(b, teams)
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.GC() // the second collection frees objects that sync.Pool keeps during the first
				runtime.ReadMemStats(&before)
				w := NewWatcher(store, platform.SystemClock{}, WatcherOptions{})
				if err := w.relist(b.Context()); err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(w)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}
