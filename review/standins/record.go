package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes record.txt: one line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// Line writes a line with the time since the start of the case in seconds.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
