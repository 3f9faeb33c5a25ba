package config

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// startWatcher starts a watcher that runs until the test ends.
func startWatcher(t *testing.T, store platform.Store) (*Watcher, *fakeRecorder) {
	t.Helper()
	recorder := &fakeRecorder{}
	w := NewWatcher(store, platform.SystemClock{}, WatcherOptions{Instance: "i-1", Recorder: recorder})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
	return w, recorder
}

// revisionInForce returns the revision of the document in force, or zero.
func revisionInForce(w *Watcher) model.Revision {
	doc, ok := w.Current()
	if !ok {
		return 0
	}
	return doc.Revision
}

func TestAcceptedEditIsInForce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeStore)
		// within is the longest time until the edit is in force.
		within time.Duration
	}{
		{"the watch delivers the edit at once", func(*fakeStore) {}, time.Millisecond},
		{"the poll finds the edit if the watch has stopped without an error", func(s *fakeStore) { s.dropEvents = true }, 2 * defaultPollInterval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store, _, _ := storeWithDocument(t)
				w, _ := startWatcher(t, store)
				store.withLock(func() { c.fault(store) })
				accepted := accept(t, store, "t", []byte(strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 2000", 1)))
				time.Sleep(c.within)
				synctest.Wait()
				is.Equal(revisionInForce(w), accepted.Revision)
			})
		})
	}
}

func TestConfirmSeesADataCentreTakenOutWithoutAnyWatch(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, _ := storeWithDocument(t)
		w, _ := startWatcher(t, store)
		store.withLock(func() { store.dropEvents = true })
		_, err := newTestEditor(store, "one").SetDataCentre(t.Context(), "a", true, "ann")
		is.NoErr(err)
		doc, err := w.Confirm(t.Context())
		is.NoErr(err)
		is.True(doc.DataCentreOut("a"))
	})
}

func TestConfirmIsOneReadWhileNothingChanges(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, _ := storeWithDocument(t)
		w, _ := startWatcher(t, store)
		var gets, lists int
		store.withLock(func() { gets, lists = store.calls["get"], store.calls["list"] })
		_, err := w.Confirm(t.Context())
		is.NoErr(err)
		store.withLock(func() {
			is.Equal(store.calls["get"], gets+1)
			is.Equal(store.calls["list"], lists)
		})
		is.Equal(w.Confirmed(), time.Now())
	})
}

func TestConcurrentConfirmationsShareReads(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, _ := storeWithDocument(t)
		w := NewWatcher(store, platform.SystemClock{}, WatcherOptions{})
		_, err := w.Confirm(t.Context())
		is.NoErr(err)
		before := 0
		gate := make(chan struct{})
		store.withLock(func() { before, store.gate = store.calls["get"], gate })
		const callers = 200
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				if _, err := w.Confirm(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		close(gate)
		wg.Wait()
		// Callers that come before the first read begins share it; those that come later share the second.
		store.withLock(func() {
			reads := store.calls["get"] - before
			is.True(reads == 1 || reads == 2)
		})
	})
}

func TestConfirmationBeginsAfterTheCall(t *testing.T) {
	is := is.New(t)
	var c coalescer
	started := make(chan int, 3)
	release := make(chan struct{})
	n := 0
	c.run = func() (*Document, error) {
		n++
		started <- n
		<-release
		return &Document{Revision: model.Revision(n)}, nil
	}
	first := c.join()
	is.Equal(<-started, 1)
	second := c.join() // joins while the first confirmation is running
	third := c.join()
	is.True(second == third)
	close(release)
	<-first.done
	<-second.done
	is.Equal(second.doc.Revision, model.Revision(2))
}

func TestOlderStoreIsRefused(t *testing.T) {
	cases := []struct {
		name string
		// restore changes the store to an older or incomplete state.
		restore func(s *fakeStore, old map[string]platform.KeyValue, oldRevision int64)
	}{
		{"the whole store is older", func(s *fakeStore, old map[string]platform.KeyValue, oldRevision int64) {
			s.entries = old
			s.revision = oldRevision
		}},
		{"the sections are older at a higher store revision", func(s *fakeStore, old map[string]platform.KeyValue, _ int64) {
			s.entries = old
			s.revision += 100
			s.write(HeadKey, []byte(`{"revision":1000}`))
		}},
		{"the head is older than one that was read", func(s *fakeStore, _ map[string]platform.KeyValue, _ int64) {
			s.write(HeadKey, []byte(`{"revision":1}`))
		}},
		{"the head is missing", func(s *fakeStore, _ map[string]platform.KeyValue, _ int64) {
			delete(s.entries, HeadKey)
		}},
		{"a section is missing", func(s *fakeStore, _ map[string]platform.KeyValue, _ int64) {
			delete(s.entries, SectionPrefix+OperatorsSection)
			s.write(HeadKey, []byte(`{"revision":1000}`))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store, _, _ := storeWithDocument(t)
				old := map[string]platform.KeyValue{}
				for key, kv := range store.entries {
					old[key] = kv
				}
				oldRevision := store.revision
				_, err := newTestEditor(store, "one").SetDataCentre(t.Context(), "a", true, "ann")
				is.NoErr(err)
				w, recorder := startWatcher(t, store)
				inForce := revisionInForce(w)
				confirmed := w.Confirmed()

				store.withLock(func() { c.restore(store, old, oldRevision) })
				time.Sleep(time.Minute)
				synctest.Wait()

				doc, _ := w.Current()
				is.Equal(doc.Revision, inForce)
				is.True(doc.DataCentreOut("a"))
				is.True(recorder.count(audit.EventConfigOlder) > 0)
				is.True(w.Confirmed().Sub(confirmed) < 2*defaultPollInterval)
				_, err = w.Confirm(t.Context())
				var unconfirmed *UnconfirmedError
				is.True(errors.As(err, &unconfirmed))
			})
		})
	}
}

func TestStoreOutage(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, team := storeWithDocument(t)
		w, _ := startWatcher(t, store)
		store.withLock(func() { store.unavailable = true })
		time.Sleep(time.Minute)
		is.Equal(revisionInForce(w), team.Revision) // the accepted document stays in force
		is.True(time.Since(w.Confirmed()) >= time.Minute-defaultPollInterval)
		_, err := w.Confirm(t.Context())
		is.True(err != nil)
		store.withLock(func() { store.unavailable = false })
		time.Sleep(2 * defaultPollInterval)
		is.True(time.Since(w.Confirmed()) <= defaultPollInterval)
	})
}

func TestHeadIsRaisedForAnEditorThatEndedBetweenItsWrites(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, _ := storeWithDocument(t)
		w, _ := startWatcher(t, store)
		store.withLock(func() { store.write(SectionPrefix+"u", []byte("team: u\nquota: {}\n")) })
		time.Sleep(4 * defaultPollInterval)
		h, err := readHead(t.Context(), store)
		is.NoErr(err)
		is.Equal(h.AcceptedRevision, revisionInForce(w))
	})
}

func TestInvalidStoredSectionIsNotInForce(t *testing.T) {
	cases := []struct {
		name, section, text string
		// confirms says that Confirm still succeeds, so that attempts may still be started.
		confirms bool
	}{
		{"a team's section that is not valid", "t", "team: [", true},
		{"an operators' section that is not valid", OperatorsSection, "dataCentres: [", false},
		{"a rack that moves to another partition", OperatorsSection, strings.Replace(goodOperators, "partition: 0", "partition: 1", 1), false},
		{"another number of partitions", OperatorsSection, strings.Replace(goodOperators, "partitions: 2", "partitions: 3", 1), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store, _, team := storeWithDocument(t)
				w, recorder := startWatcher(t, store)
				store.withLock(func() { store.write(SectionPrefix+c.section, []byte(c.text)) })
				time.Sleep(5 * defaultPollInterval)
				is.Equal(revisionInForce(w), team.Revision)
				is.Equal(recorder.count(audit.EventConfigInvalid), 1)
				is.Equal(len(w.Refused()), 1)
				_, err := w.Confirm(t.Context())
				is.Equal(err == nil, c.confirms)

				editor := newTestEditor(store, "one")
				editor.SetWatcher(w)
				good := map[string]string{"t": goodTeam, OperatorsSection: goodOperators}[c.section]
				_, err = editor.Put(t.Context(), c.section, []byte(good), w.Refused()[0].Revision, "ann")
				is.NoErr(err)
				synctest.Wait()
				is.Equal(len(w.Refused()), 0)
				_, err = w.Confirm(t.Context())
				is.NoErr(err)
			})
		})
	}
}

func TestConflictBetweenSectionsIsInForceAndReported(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, _ := storeWithDocument(t)
		w, recorder := startWatcher(t, store)
		other := strings.Replace(goodTeam, "team: t", "team: u", 1)
		store.withLock(func() { store.write(SectionPrefix+"u", []byte(other)) })
		synctest.Wait()
		doc, _ := w.Current()
		owner, found := doc.TeamOf("s")
		is.True(found)
		is.Equal(owner, model.Team("t")) // the team whose name sorts first
		is.Equal(recorder.count(audit.EventConfigProblem), 1)
	})
}

func TestSubscribersAreNotified(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, _ := storeWithDocument(t)
		w, _ := startWatcher(t, store)
		subscription := w.Subscribe()
		<-w.Changed()
		accept(t, store, "u", []byte("team: u\nquota: {}\n"))
		<-w.Changed()
		<-subscription
		is.Equal(len(w.Changed()), 0)
	})
}

func TestWatchThatRepeatsAnOlderEditChangesNothing(t *testing.T) {
	is := is.New(t)
	store, _, _ := storeWithDocument(t)
	w := NewWatcher(store, platform.SystemClock{}, WatcherOptions{})
	before, _, err := store.Get(t.Context(), SectionPrefix+OperatorsSection)
	is.NoErr(err)
	_, err = newTestEditor(store, "one").SetDataCentre(t.Context(), "a", true, "ann")
	is.NoErr(err)
	_, err = w.Confirm(t.Context())
	is.NoErr(err)
	w.handleWatchEvent(platform.WatchEvent{Revision: before.ModRevision, Changed: []platform.KeyValue{before}})
	doc, _ := w.Current()
	is.True(doc.DataCentreOut("a"))
}
