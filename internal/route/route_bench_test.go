package route

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// BenchmarkRequests compares a dispatcher with direct calls to the same target, over connections that
// are reused or opened for each call. The target responds immediately and claims are kept in memory,
// so the difference is the overhead of the dispatcher.
func BenchmarkRequests(b *testing.B) {
	target := newTarget(b, respondWithKey).model("runner-1")
	url := "http://" + target.Addr + "/calculate"
	for _, fresh := range []bool{false, true} {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableKeepAlives: fresh}}
		b.Run(fmt.Sprintf("direct/fresh=%v", fresh), func(b *testing.B) {
			measure(b, func(context.Context, int64) error { return post(client, url) })
		})
	}
	for _, class := range []model.RequestClass{model.Idempotent, model.Exclusive, model.AtMostOnce} {
		d := New(Config{Self: "instance-1", Claims: newClaims(), Log: zerolog.Nop()})
		d.SetDocument(testDocument())
		d.SetTargets([]model.Target{target})
		run := 0
		b.Run(string(class), func(b *testing.B) {
			run++ // each run of the benchmark function uses new keys
			measure(b, func(ctx context.Context, n int64) error {
				_, err := d.Do(ctx, newRequest(class, fmt.Sprint(run, "-", n)))
				return err
			})
		})
	}
}

// post makes one direct call.
func post(client *http.Client, url string) error {
	resp, err := client.Post(url, "text/plain", bytes.NewReader([]byte("volume=12")))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// measure runs one caller for each processor and reports the rate and the latencies.
func measure(b *testing.B, call func(context.Context, int64) error) {
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	latencies := make(chan time.Duration, 1024)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for l := range latencies {
			_ = histogram.RecordValue(l.Microseconds())
		}
	}()
	var number atomic.Int64
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			started := time.Now()
			if err := call(context.Background(), number.Add(1)); err != nil {
				b.Error(err)
				return
			}
			latencies <- time.Since(started)
		}
	})
	b.StopTimer()
	close(latencies)
	<-recorded
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkAcquire measures the selection of a target. Its cost grows with the number of targets and
// so limits the size of a service.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{65, 650} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p := newPool(platform.SystemClock{})
			var shares []targetShare
			for i := range n {
				shares = append(shares, targetShare{target: model.Target{ID: model.TargetID(fmt.Sprint(i))}, slots: 3})
			}
			p.setTargets(shares)
			deadline := time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				t, err := p.acquire(context.Background(), deadline, nil)
				if err != nil {
					b.Fatal(err)
				}
				p.release(t, outcome{answered: true, took: time.Millisecond})
			}
		})
	}
}
