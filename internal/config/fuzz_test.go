package config

import (
	"errors"
	"testing"
)

// FuzzParse checks that any text is either refused with a *CheckError or parsed into a section.
// An in-place change of the out field of a data centre must change nothing else.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"nilewave/operators", "nilewave/levy", "pallikkara/operators", "pallikkara/filterkeep"} {
		f.Add(OperatorsSection, string(example(f, name)))
		f.Add("levy", string(example(f, name)))
	}
	f.Add(OperatorsSection, goodOperators)
	f.Add("t", goodTeam)
	f.Add("t", "a: &x [*x]")
	f.Add("t", "? [")
	f.Fuzz(func(t *testing.T, name, text string) {
		s, err := Parse(name, []byte(text))
		if err != nil {
			var check *CheckError
			if !errors.As(err, &check) || len(check.Problems) == 0 {
				t.Fatalf("not a check error: %v", err)
			}
			return
		}
		if s.Operators == nil {
			return
		}
		for _, dc := range s.Operators.DataCentres {
			checkSetOut(t, s, dc)
		}
	})
}

// checkSetOut inverts the out field of one data centre and checks that the other fields of the
// data centres keep their values. An entry that cannot be edited in place is skipped.
func checkSetOut(t *testing.T, s *Section, dc DataCentre) {
	text, changed, err := setOut(s, dc.Name, !dc.Out)
	if err != nil {
		return
	}
	edited, err := Parse(s.Name, []byte(text))
	if err != nil || !changed {
		t.Fatalf("changed=%v: %v\n%s", changed, err, text)
	}
	for i, other := range edited.Operators.DataCentres {
		want := s.Operators.DataCentres[i]
		if other.Name == dc.Name {
			want.Out = !dc.Out
		}
		if other != want {
			t.Fatalf("got %+v, want %+v in\n%s", other, want, text)
		}
	}
}
