// Package readlag measures how long data that has arrived waits until this process reads it.
//
// A process that is short of processor time reads late. Timers do not show that: the Go runtime runs them ahead of the
// goroutines that are ready, while it looks for data that has arrived only once these have run.
package readlag

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// Probe sends data to itself through a pipe. It is safe for concurrent use.
type Probe struct {
	reader, writer *os.File
	arrived        chan time.Time // when each byte was read
	mu             sync.Mutex     // held by a measurement
}

// New returns a Probe. It uses two file descriptors until Close.
func New() (*Probe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Probe{reader: r, writer: w, arrived: make(chan time.Time)}
	go p.read()
	return p, nil
}

// read notes when each byte is read, until the pipe is closed. For each byte, a measurement waits.
func (p *Probe) read() {
	defer close(p.arrived)
	var b [1]byte
	for {
		if _, err := p.reader.Read(b[:]); err != nil {
			return
		}
		p.arrived <- time.Now()
	}
}

// Measure waits for an interval, then sends a byte and returns how long it took until the byte was read. It returns 0 if ctx
// ends before, or the probe is closed.
func (p *Probe) Measure(ctx context.Context, interval time.Duration) time.Duration {
	pause.For(ctx, interval)
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	sent := time.Now()
	if _, err := p.writer.Write([]byte{0}); err != nil {
		return 0
	}
	at, open := <-p.arrived
	if !open {
		return 0
	}
	return at.Sub(sent)
}

// Close frees the file descriptors.
func (p *Probe) Close() {
	_ = p.writer.Close()
	_ = p.reader.Close()
}
