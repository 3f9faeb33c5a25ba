package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// A wait that shows its progress contains another one. Only the outer message appears, and after the outer
// wait a later one appears again.
func TestProgressOfAWaitWithinAWait(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		c := &cli{streams: streams{err: &out}}
		say := func(text string) func() string { return func() string { return text } }
		stopOuter := c.progress(say("outer"))
		stopInner := c.progress(say("inner"))
		time.Sleep(5 * time.Second)
		stopInner()
		stopOuter()
		is.True(strings.Contains(out.String(), "outer"))
		is.True(!strings.Contains(out.String(), "inner"))
		out.Reset()
		stopLater := c.progress(say("later"))
		time.Sleep(5 * time.Second)
		stopLater()
		is.True(strings.Contains(out.String(), "later"))
	})
}
