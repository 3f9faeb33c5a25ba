package entry

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/logging"
)

// deniedLogInterval is the time between two lines about calls that were denied for the same reason.
const deniedLogInterval = 100 * time.Millisecond

// denials logs and counts calls that may not be served.
type denials struct {
	log     zerolog.Logger
	scope   tally.Scope
	sampler *logging.Sampler
	// suspended is set while no API key is accepted.
	suspended atomic.Bool
}

func newDenials(scope tally.Scope, log zerolog.Logger) *denials {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &denials{log: log, scope: scope, sampler: logging.NewSampler(deniedLogInterval)}
}

// note notes a decision about a call to a route. The key is not logged.
func (d *denials) note(a Access, route Route, config *Config) {
	if a.Denial == Allowed {
		return
	}
	reason := a.Denial.String()
	d.scope.Tagged(map[string]string{"reason": reason}).Counter("calls_denied").Inc(1)
	leftOut, ok := d.sampler.Admit(reason)
	if !ok {
		return
	}
	event := d.log.Info().Str("event", "call.denied").Str("reason", reason).Str("queue", route.Queue)
	if a.Tenant != "" {
		event = event.Str("tenant", a.Tenant)
	}
	event.Int64("version", config.Batch.Version).Int64("revision", config.Revision).
		Int64("age-ms", a.Age.Milliseconds()).Int("left-out", leftOut).Send()
}

// noteSuspended logs when API keys are no longer accepted since the configuration is too old, and when they are again.
func (d *denials) noteSuspended(suspended bool, a Access, config *Config) {
	if d.suspended.Swap(suspended) == suspended {
		return
	}
	d.log.Info().Str("event", "keys.suspended").Bool("suspended", suspended).
		Int64("version", config.Batch.Version).Int64("age-ms", a.Age.Milliseconds()).Send()
}
