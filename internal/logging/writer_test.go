package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := NewWriter(&out)
		for i := range 3 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		w.Close(time.Second)
		is.Equal(out.String(), "line 0\nline 1\nline 2\n")
	})
}

func TestBlockedReaderDoesNotBlockWriters(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		r, pipe := io.Pipe()
		w := NewWriter(pipe)
		for range 2*maxQueuedLines + 10 {
			_, err := w.Write([]byte("x\n"))
			is.NoErr(err)
		}
		var out bytes.Buffer
		go func() { _, _ = io.Copy(&out, r) }()
		w.Close(time.Minute)
		is.NoErr(pipe.Close())
		synctest.Wait()
		is.True(strings.Contains(out.String(), "log.left-out"))
	})
}

func TestLineRateIsLimited(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := NewWriter(&out)
		for range linesPerSecond + 5 {
			_, _ = w.Write([]byte("x\n"))
			synctest.Wait()
		}
		time.Sleep(time.Second)
		_, _ = w.Write([]byte("y\n"))
		w.Close(time.Second)
		is.Equal(strings.Count(out.String(), "x\n"), linesPerSecond)
		is.True(strings.Contains(out.String(), `"lines":5`))
	})
}

// recordedWrites is a writer that records the data of each write.
type recordedWrites struct{ writes []string }

func (s *recordedWrites) Write(p []byte) (int, error) {
	s.writes = append(s.writes, string(p))
	return len(p), nil
}

// TestWritesHoldWholeLines queues many lines at once. Each write must hold whole lines, and at most
// the batchBytes that a pipe writes atomically.
func TestWritesHoldWholeLines(t *testing.T) {
	is := is.New(t)
	out := &recordedWrites{}
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	lines := 0
	for i := range 500 {
		w.lines <- []byte(strings.Repeat("x", i%300) + "\n")
	}
	w.dropped.Store(3)
	w.write([]byte("first\n"))
	for _, batch := range out.writes {
		is.True(len(batch) <= batchBytes)
		is.True(strings.HasSuffix(batch, "\n"))
		lines += strings.Count(batch, "\n")
	}
	is.Equal(lines, 502) // with the first line and the one that reports the dropped lines
}
