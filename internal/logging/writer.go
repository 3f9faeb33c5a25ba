// Package logging writes log lines in the background, so that no decision waits for the
// reader of the log.
package logging

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineBound is the number of lines that may wait to be written.
	lineBound = 8192
	// batchBytes bounds a write. A pipe takes that much whole, so that lines of several processes
	// do not mix.
	batchBytes = 4 << 10
	// linesPerSecond bounds the lines that are taken in.
	linesPerSecond = 4000
)

// Writer takes lines without blocking and writes them in the background. Lines beyond the
// bounds are left out; a line says how many.
type Writer struct {
	out   io.Writer
	lines chan []byte
	left  atomic.Int64 // lines left out that no line has told of yet

	mu     sync.Mutex
	second int64
	taken  int

	closing chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan []byte, lineBound),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line in. It never fails and never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.admit(time.Now().Unix()) {
		w.left.Add(1)
		return len(p), nil
	}
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.lines <- line:
	default:
		w.left.Add(1)
	}
	return len(p), nil
}

// admit counts a line of the given second and reports whether it is within the bound.
func (w *Writer) admit(second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.taken = second, 0
	}
	w.taken++
	return w.taken <= linesPerSecond
}

// Close writes what waits, for at most the given time.
func (w *Writer) Close(wait time.Duration) {
	close(w.closing)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line and those that wait behind it.
func (w *Writer) write(line []byte) {
	batch := line
	for waiting := true; waiting; {
		select {
		case next := <-w.lines:
			batch = w.join(batch, next)
		default:
			waiting = false
		}
	}
	if n := w.left.Swap(0); n > 0 {
		note := strconv.AppendInt([]byte(`{"level":"warn","event":"log.left-out","lines":`), n, 10)
		batch = w.join(batch, append(note, "}\n"...))
	}
	w.flush(batch)
}

// join adds a line to a batch, which is written first if it would become too large.
func (w *Writer) join(batch, line []byte) []byte {
	if len(batch)+len(line) > batchBytes {
		w.flush(batch)
		return line
	}
	return append(batch, line...)
}

func (w *Writer) flush(batch []byte) {
	_, _ = w.out.Write(batch) // nobody reads the log if this fails
}
