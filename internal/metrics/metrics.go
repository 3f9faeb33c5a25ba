// Package metrics provides the root scope of an instance's metrics and the handler that
// serves them in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix       = "geraniumwick"
	reportPeriod = time.Second
)

// New returns the root scope, the handler of the scrape endpoint and a closer that ends
// the reporting.
func New() (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	return scope, reporter.HTTPHandler(), closer
}
