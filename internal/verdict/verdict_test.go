package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

func TestOf(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.ReasonQuota, "team %s", "a")
	cases := []struct {
		name string
		err  error
		want verdict.Verdict
	}{
		{"no error means that the operation ran", nil, verdict.Ran},
		{"an error without a verdict may have run", errors.New("eof"), verdict.MayHaveRun},
		{"a wrapped verdict is found", fmt.Errorf("hop: %w", notRun), verdict.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(verdict.Of(c.err), c.want)
		})
	}
}

func TestTextRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		parsed, err := verdict.Parse(v.String())
		is.NoErr(err)
		is.Equal(parsed, v)
	}
	parsed, err := verdict.Parse("perhaps")
	is.True(err != nil)
	is.Equal(parsed, verdict.MayHaveRun) // unknown text must not be taken for proof of execution or non-execution
}
