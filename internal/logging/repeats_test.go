package logging

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func TestRepeats(t *testing.T) {
	is := is.New(t)
	var r Repeats
	is.True(r.New("a", "x"))
	is.True(!r.New("a", "x"))
	is.True(r.New("b", "x")) // of another source
	is.True(r.New("a", "y")) // another reason
	r.Clear("a")
	is.True(r.New("a", "y")) // it was without fault meanwhile
	for i := range 2 * maxRepeats {
		r.New(strconv.Itoa(i), "x")
	}
	is.True(len(r.last) <= maxRepeats)
}
