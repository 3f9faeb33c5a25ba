package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// benchServer serves kindEcho on a listener that counts bytes.
func benchServer(b *testing.B) (string, *atomic.Int64) {
	s := NewServer("server", zerolog.Nop())
	s.Handle(kindEcho, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var in echo
		err := Decode(body, &in)
		return in, err
	})
	mux := http.NewServeMux()
	mux.Handle("/peer", s)
	var bytes atomic.Int64
	h := httptest.NewUnstartedServer(mux)
	h.Listener = countingListener{Listener: h.Listener, bytes: &bytes}
	h.Start()
	b.Cleanup(func() {
		_ = s.Drain(context.Background())
		h.Close()
	})
	return strings.TrimPrefix(h.URL, "http://"), &bytes
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCalls measures calls over one connection, one at a time and many at once.
func BenchmarkCalls(b *testing.B) {
	for _, parallel := range []int{0, 10} {
		name := "one-at-a-time"
		if parallel > 0 {
			name = "parallel"
		}
		b.Run(name, func(b *testing.B) {
			addr, bytes := benchServer(b)
			p := NewPool("caller")
			defer p.Close()
			call := func() {
				var out echo
				if err := p.Call(context.Background(), addr, kindEcho, echo{"levy-desk/key-0123456789"}, &out); err != nil {
					b.Error(err)
				}
			}
			call()
			before := bytes.Load()
			b.ResetTimer()
			if parallel == 0 {
				for range b.N {
					call()
				}
			} else {
				b.SetParallelism(parallel)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						call()
					}
				})
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/call")
		})
	}
}

// BenchmarkIdleConnections measures the memory of an idle connection, both ends of which are in
// this process. It is the difference between 250 and 50 connections, divided by 200, so that
// the memory of the server itself does not count.
func BenchmarkIdleConnections(b *testing.B) {
	for range b.N {
		few, many := idleMemory(b, 50), idleMemory(b, 250)
		b.ReportMetric((many-few)/200, "bytes/connection")
	}
}

// idleMemory returns the bytes of heap and stacks that n idle connections use.
func idleMemory(b *testing.B, n int) float64 {
	addr, _ := benchServer(b)
	before := memory()
	for range n {
		p := NewPool("caller")
		defer p.Close()
		if err := p.Call(context.Background(), addr, kindEcho, echo{}, nil); err != nil {
			b.Fatal(err)
		}
	}
	return memory() - before
}

func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
