package batch

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Steps that are put back come in their new order among the others, and the best-effort steps to come are those that follow.
func TestTurnsComeInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []openStepEntry // as a list that is sorted anew whenever a step is put back
		for i := range rapid.IntRange(0, 12).Draw(t, "steps") {
			st := &step{job: &Job{}, occ: &occurrence{}, number: i, spec: &Step{BestEffort: rapid.Bool().Draw(t, "best-effort")}}
			want = append(want, openStepEntry{step: st, priority: rapid.IntRange(0, 1).Draw(t, "priority"), level: rapid.IntRange(0, 2).Draw(t, "level")})
		}
		slices.SortFunc(want, openStepEntry.compare)
		given := slices.Clone(want)
		coming := turns{rest: given}
		before := slices.Clone(given)
		for len(want) > 0 {
			entry, ok := coming.next()
			if !ok || entry != want[0] {
				t.Fatalf("the next step is %v, want %v", entry, want[0])
			}
			if got := coming.bestEffortFrom(entry); entry.step.spec.BestEffort && !slices.Equal(got, firstBestEffort(want)) {
				t.Fatalf("the best-effort steps are %v, want %v", got, firstBestEffort(want))
			}
			want = want[1:]
			if rise := rapid.IntRange(0, 2).Draw(t, "rise"); rise > 0 && entry.level < 5 {
				entry.level += rise
				coming.yield(entry)
				want = append(want, entry)
				slices.SortFunc(want, openStepEntry.compare)
			}
		}
		if _, ok := coming.next(); ok {
			t.Fatal("a step comes twice")
		}
		if !slices.Equal(given, before) {
			t.Fatal("the steps were reordered")
		}
	})
}

// firstBestEffort returns the best-effort steps at the beginning of the list, up to one that is not.
func firstBestEffort(steps []openStepEntry) []openStepEntry {
	for i, e := range steps {
		if !e.step.spec.BestEffort {
			return steps[:i]
		}
	}
	return steps
}
