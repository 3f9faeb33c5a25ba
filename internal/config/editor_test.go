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

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// storeWithDocument returns a store with the accepted sections goodOperators and goodTeam.
func storeWithDocument(t *testing.T) (store *fakeStore, operators, team EditResult) {
	t.Helper()
	store = newFakeStore()
	operators = accept(t, store, OperatorsSection, []byte(goodOperators))
	team = accept(t, store, "t", []byte(goodTeam))
	return store, operators, team
}

// storedText returns the stored text of a section.
func storedText(t *testing.T, store *fakeStore, name string) string {
	t.Helper()
	kv, _, err := store.Get(t.Context(), SectionPrefix+name)
	if err != nil {
		t.Fatal(err)
	}
	return decodeEnvelope(kv.Value).Text
}

func TestSecondEditOfOneRevisionReturnsConflict(t *testing.T) {
	is := is.New(t)
	store, _, base := storeWithDocument(t)
	first := strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 2000", 1)
	second := strings.Replace(goodTeam, "memoryMB: 1000", "memoryMB: 3000", 1)

	winner, err := newTestEditor(store, "one").Put(t.Context(), "t", []byte(first), base.Revision, "ann")
	is.NoErr(err)
	_, err = newTestEditor(store, "two").Put(t.Context(), "t", []byte(second), base.Revision, "bob")

	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, winner.Revision)
	is.Equal(conflict.Text, first)
	is.Equal(len(conflict.Changes), 1)
	is.Equal(conflict.Changes[0].Actor, "ann")
	is.Equal(conflict.Changes[0].Before, "quota: {milliCPU: 1000, memoryMB: 1000, accelerators: 0}\n")
	is.Equal(storedText(t, store, "t"), first)
	is.Equal(EditFailure(err).Verdict, verdict.NotRun)
}

func TestRepeatedEditChangesNothing(t *testing.T) {
	is := is.New(t)
	store, _, base := storeWithDocument(t)
	text := []byte(strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 2000", 1))
	first, err := newTestEditor(store, "one").Put(t.Context(), "t", text, base.Revision, "ann")
	is.NoErr(err)
	second, err := newTestEditor(store, "two").Put(t.Context(), "t", text, base.Revision, "ann")
	is.NoErr(err)
	is.True(second.Unchanged)
	is.Equal(second.Revision, first.Revision)
}

func TestEditsOfDifferentSectionsBothSucceed(t *testing.T) {
	is := is.New(t)
	store, operators, team := storeWithDocument(t)
	text := strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 2000", 1)
	store.beforeSwap = func() {
		_, err := newTestEditor(store, "one").SetDataCentre(t.Context(), "a", true, "ann")
		is.NoErr(err)
	}
	accepted, err := newTestEditor(store, "two").Put(t.Context(), "t", []byte(text), team.Revision, "bob")
	is.NoErr(err)
	is.True(accepted.Revision > operators.Revision)
	is.Equal(storedText(t, store, "t"), text)
	is.True(strings.Contains(storedText(t, store, OperatorsSection), "out: true"))
	h, err := readHead(t.Context(), store)
	is.NoErr(err)
	is.Equal(h.AcceptedRevision, accepted.Revision)
}

func TestLostResponseIsResolvedByTheIDOfTheEdit(t *testing.T) {
	cases := []struct {
		name      string
		overwrite bool
	}{
		{"the section still has the edit", false},
		{"another edit has replaced it before the retry", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store, _, base := storeWithDocument(t)
				store.responsesToLose = 1
				if c.overwrite {
					overwriteDuringRetryDelay(t, store)
				}
				text := strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 2000", 1)
				accepted, err := newTestEditor(store, "one").Put(t.Context(), "t", []byte(text), base.Revision, "ann")
				is.NoErr(err)
				synctest.Wait()
				changes, _, err := newTestEditor(store, "x").History(t.Context(), "t")
				is.NoErr(err)
				found := 0
				for _, change := range changes {
					if change.ID == "one-1" {
						found++
						is.Equal(change.Revision, accepted.Revision)
					}
				}
				is.Equal(found, 1) // the edit was made exactly once
			})
		})
	}
}

// overwriteDuringRetryDelay replaces the section while the editor waits before its second attempt.
func overwriteDuringRetryDelay(t *testing.T, store *fakeStore) {
	go func() {
		time.Sleep(defaultRetryDelay / 2)
		text := strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 7000", 1)
		accept(t, store, "t", []byte(text))
	}()
}

func TestDelayedWriteAppliedAfterTheRetryChangesNothing(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store, _, base := storeWithDocument(t)
		store.writesToDelay = 1
		text := strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 2000", 1)
		accepted, err := newTestEditor(store, "one").Put(t.Context(), "t", []byte(text), base.Revision, "ann")
		is.NoErr(err)
		later := accept(t, store, "t", []byte(goodTeam))
		store.applyDelayedSwaps()
		is.Equal(storedText(t, store, "t"), goodTeam)
		is.True(later.Revision > accepted.Revision)
	})
}

func TestStoreFailureVerdict(t *testing.T) {
	text := []byte(strings.Replace(goodTeam, "milliCPU: 1000", "milliCPU: 2000", 1))
	cases := []struct {
		name  string
		fault func(*fakeStore)
		want  verdict.Verdict
	}{
		{"a refused connection proves that the edit was not made", func(s *fakeStore) { s.unavailable = true }, verdict.NotRun},
		{"a delayed write may still take effect", func(s *fakeStore) { s.writesToDelay = 1_000_000 }, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store, _, base := storeWithDocument(t)
				store.withLock(func() { c.fault(store) })
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := newTestEditor(store, "one").Put(ctx, "t", text, base.Revision, "ann")
				is.True(err != nil)
				is.Equal(EditFailure(err).Verdict, c.want)
				is.Equal(EditFailure(err).Reason, verdict.ReasonStoreUnavailable)
			})
		})
	}
}

func TestEditThatBreaksAnotherSectionIsRefused(t *testing.T) {
	is := is.New(t)
	store, base, _ := storeWithDocument(t)
	text := strings.NewReplacer("name: a", "name: z", "dataCentre: a", "dataCentre: z").Replace(goodOperators)
	_, err := newTestEditor(store, "one").Put(t.Context(), OperatorsSection, []byte(text), base.Revision, "ann")
	var check *CheckError
	is.True(errors.As(err, &check))
	is.Equal(check.Problems[0].Section, "t")
	is.Equal(storedText(t, store, OperatorsSection), goodOperators)
}

func TestFaultOfOneSectionDoesNotBlockAnother(t *testing.T) {
	is := is.New(t)
	store, _, _ := storeWithDocument(t)
	// The stored section refers to an unknown data centre, as after concurrent edits.
	bad := strings.Replace(goodTeam, "[a]", "[gone]", 1)
	store.withLock(func() { store.write(SectionPrefix+"t", []byte(bad)) })
	_, err := newTestEditor(store, "one").Put(t.Context(), "u", []byte("team: u\nquota: {}\n"), 0, "ann")
	is.NoErr(err)
}

func TestSetDataCentreKeepsConcurrentEdits(t *testing.T) {
	is := is.New(t)
	store, _, _ := storeWithDocument(t)
	store.beforeSwap = func() {
		_, err := newTestEditor(store, "two").SetDataCentre(t.Context(), "b", true, "bob")
		is.NoErr(err)
	}
	_, err := newTestEditor(store, "one").SetDataCentre(t.Context(), "a", true, "ann")
	is.NoErr(err)
	_, err = newTestEditor(store, "three").SetDataCentre(t.Context(), "a", false, "cid")
	is.NoErr(err)
	text := storedText(t, store, OperatorsSection)
	s, err := Parse(OperatorsSection, []byte(text))
	is.NoErr(err)
	is.Equal(s.Operators.DataCentres[0].Out, false)
	is.Equal(s.Operators.DataCentres[1].Out, true) // the other operator's edit is kept
	changes, _, err := newTestEditor(store, "x").History(t.Context(), OperatorsSection)
	is.NoErr(err)
	is.Equal(len(changes), 4)
	is.Equal([]string{changes[0].Actor, changes[1].Actor, changes[2].Actor}, []string{"cid", "ann", "bob"})
}

// staleStore is a store whose next staleReads reads return the entries in old.
type staleStore struct {
	*fakeStore
	old        []platform.KeyValue
	staleReads int
}

func (s *staleStore) Get(ctx context.Context, key string) (platform.KeyValue, int64, error) {
	if s.staleReads == 0 {
		return s.fakeStore.Get(ctx, key)
	}
	s.staleReads--
	kv := findEntry(s.old, key)
	kv.Key = key
	return kv, s.revision, nil
}

func (s *staleStore) List(ctx context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	if s.staleReads == 0 {
		return s.fakeStore.List(ctx, prefix)
	}
	s.staleReads--
	return s.old, s.revision, nil
}

func TestEditOnAnOlderAnswerIsBasedOnTheNewest(t *testing.T) {
	cases := []struct {
		name    string
		stale   int
		verdict verdict.Verdict
	}{
		{"reads that return an older section are repeated", 3, verdict.Ran},
		{"the edit fails if all reads return an older section", 1000, verdict.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				base, _, _ := storeWithDocument(t)
				store := &staleStore{fakeStore: base}
				w, _ := startWatcher(t, base)
				editor := newTestEditor(store, "one")
				editor.SetWatcher(w)
				_, err := editor.SetDataCentre(t.Context(), "a", true, "ann")
				is.NoErr(err)
				store.old, _, err = base.List(t.Context(), SectionPrefix)
				is.NoErr(err)
				_, err = editor.SetDataCentre(t.Context(), "a", false, "ann")
				is.NoErr(err)
				synctest.Wait()
				// In the older section the data centre is out already, so an edit based on it would
				// change nothing.
				store.staleReads = c.stale
				_, err = editor.SetDataCentre(t.Context(), "a", true, "bob")
				is.Equal(verdict.Of(err), c.verdict)
				s, err := Parse(OperatorsSection, []byte(storedText(t, base, OperatorsSection)))
				is.NoErr(err)
				is.Equal(s.Operators.DataCentres[0].Out, c.verdict == verdict.Ran)
			})
		})
	}
}

func TestConcurrentSetDataCentre(t *testing.T) {
	is := is.New(t)
	store, _, _ := storeWithDocument(t)
	const operators = 8
	var wg sync.WaitGroup
	for i := range operators {
		name := model.DataCentre([]string{"a", "b"}[i%2])
		wg.Go(func() {
			if _, err := NewEditor(store, fixedClock{}, "i-1", nil).SetDataCentre(t.Context(), name, i < operators/2, "op"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	kv, _, err := store.Get(t.Context(), SectionPrefix+OperatorsSection)
	is.NoErr(err)
	h, err := readHead(t.Context(), store)
	is.NoErr(err)
	is.Equal(int64(h.AcceptedRevision), kv.ModRevision)
	_, err = parseStored(kv)
	is.NoErr(err)
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) }

func TestSetOutKeepsTheText(t *testing.T) {
	const rest = "partitions: 1\nweights: {throughput: 1}\n"
	cases := []struct {
		name, before, after string
		out                 bool
	}{
		{"the field is added to a block entry as a new line", "dataCentres:\n  # first\n  - name: a # one\n    region: x\n", "dataCentres:\n  # first\n  - name: a # one\n    out: true\n    region: x\n", true},
		{"the field is added to an entry in brackets as its first field", "dataCentres:\n  - {name: a, region: x} # one\n", "dataCentres:\n  - {out: true, name: a, region: x} # one\n", true},
		{"an existing field is replaced", "dataCentres:\n  - name: a\n    out: false  # since May\n", "dataCentres:\n  - name: a\n    out: true  # since May\n", true},
		{"a field in brackets is replaced", "dataCentres: [{name: a, out: true}]\n", "dataCentres: [{name: a, out: false}]\n", false},
		{"an entry with a quoted name is found", "dataCentres:\n  - name: \"a\"\n", "dataCentres:\n  - name: \"a\"\n    out: true\n", true},
		{"multi-byte characters before the field do not change its position", "dataCentres: [{region: é, name: a, out: true}]\n", "dataCentres: [{region: é, name: a, out: false}]\n", false},
		{"a text with the wanted value is unchanged", "dataCentres:\n  - name: a\n", "dataCentres:\n  - name: a\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse(OperatorsSection, []byte(c.before+rest))
			is.NoErr(err)
			text, _, err := setOut(s, "a", c.out)
			is.NoErr(err)
			is.Equal(text, c.after+rest)
		})
	}
}

func TestUnknownDataCentreIsRefused(t *testing.T) {
	is := is.New(t)
	store, _, _ := storeWithDocument(t)
	_, err := newTestEditor(store, "one").SetDataCentre(t.Context(), "nowhere", true, "ann")
	is.Equal(EditFailure(err).Reason, verdict.ReasonUnknownID)
	is.Equal(EditFailure(err).Verdict, verdict.NotRun)
}

func TestChangeHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	e := envelope{}
	for i := range 100 {
		text := strings.Repeat("x", i*200) + "\n"
		e = e.withChange(Change{ID: "c"}, text, model.Revision(i))
	}
	size := 0
	for _, c := range e.Changes {
		size += len(c.Before) + len(c.After)
	}
	is.True(len(e.Changes) <= maxChanges)
	is.True(size <= maxHistoryBytes)
	is.Equal(e.Dropped+len(e.Changes), 100)
	is.True(e.Changes[len(e.Changes)-1].Truncated)
}
