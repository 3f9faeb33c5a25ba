// Package logging writes log lines in the background, so that a slow reader of the log does not
// delay the code that logs.
package logging

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the largest number of lines in the queue.
	maxQueuedLines = 8192
	// batchBytes is the largest size of one write of several lines. Writes to a pipe are atomic
	// up to this size, so lines of several processes do not mix. A longer line is written alone.
	batchBytes = 4 << 10
	// linesPerSecond is the largest number of lines accepted in one second.
	linesPerSecond = 4000
)

// Writer queues lines without blocking and writes them in the background. Lines beyond the limits
// are dropped, and a log line reports how many.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // number of dropped lines that have not been reported yet

	mu sync.Mutex
	// lineCount is the number of lines passed to Write in currentSecond, in Unix seconds.
	currentSecond int64
	lineCount     int

	closing chan struct{}
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out, and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line or drops it. It never fails and never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.admit(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// admit counts a line in the given second and reports whether it is within linesPerSecond.
func (w *Writer) admit(second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.currentSecond {
		w.currentSecond, w.lineCount = second, 0
	}
	w.lineCount++
	return w.lineCount <= linesPerSecond
}

// Close stops the writer after it has written the queued lines, and waits for that at most the
// given time.
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

// write writes a line together with the other queued lines, and reports dropped lines.
func (w *Writer) write(line []byte) {
	batch := line
	for waiting := true; waiting; {
		select {
		case next := <-w.lines:
			batch = w.appendToBatch(batch, next)
		default:
			waiting = false
		}
	}
	if n := w.dropped.Swap(0); n > 0 {
		notice := strconv.AppendInt([]byte(`{"level":"warn","event":"log.left-out","lines":`), n, 10)
		batch = w.appendToBatch(batch, append(notice, "}\n"...))
	}
	w.flush(batch)
}

// appendToBatch returns the batch with the line added. If that would exceed batchBytes, it writes
// the batch and returns a new one that holds the line.
func (w *Writer) appendToBatch(batch, line []byte) []byte {
	if len(batch)+len(line) > batchBytes {
		w.flush(batch)
		return line
	}
	return append(batch, line...)
}

func (w *Writer) flush(batch []byte) {
	_, _ = w.out.Write(batch) // there is nowhere to report that the log cannot be written
}
