// Package metrics provides the root scope of an instance's metrics and the handler that
// serves them in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix       = "geraniumwick"
	reportPeriod = time.Second
)

// sanitizer converts the names of metrics and labels to valid Prometheus names. It keeps dashes
// and dots in label values, so that values such as no-target are the same as in logs and responses.
var sanitizer = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// New returns the root scope, the handler of the scrape endpoint and a closer that stops the
// reporting. Each call creates a separate registry, which also contains the metrics of the Go
// runtime (go_) and of the process (process_).
func New() (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	return scope, reporter.HTTPHandler(), closer
}

// Limit returns a handler that passes at most n requests at a time to h and refuses the others with 503. Each scrape holds
// all metrics in memory until its client has read them.
func Limit(h http.Handler, n int) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many scrapes at a time", http.StatusServiceUnavailable)
		}
	})
}
