package owner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

const (
	// maintenanceInterval is the shortest time between two maintenance runs.
	maintenanceInterval = 5 * time.Second
	// keysPerJob is the largest number of keys that a job has in the store.
	keysPerJob = 3
)

// runMaintenance forgets jobs that ended more than JobRetention ago, and updates the gauges.
func (l *leader) runMaintenance(now time.Time) {
	if now.Sub(l.lastMaintenance) < maintenanceInterval {
		return
	}
	l.lastMaintenance = now
	l.forgetJobs(now)
	live, total := l.state.Counts()
	scope := l.owner.opts.Scope
	scope.Gauge("jobs_live").Update(float64(live))
	scope.Gauge("jobs_known").Update(float64(total))
	scope.Gauge("workers").Update(float64(len(l.renewers)))
	scope.Gauge("workers_slow").Update(float64(l.state.SlowWorkers(now)))
	scope.Gauge("epoch").Update(float64(l.epoch))
	updateWaitGauges(scope, l.state.WaitingTasks(now))
	updateTenantGauges(scope, l.state.TenantUses())
	updateReservationGauges(scope, l.state.Reservations())
	updateUnconfirmedGauges(scope, l.state.UnconfirmedTasks(now))
	l.reportCalls()
}

// logEvents logs and counts each event of the scheduler's state.
func (l *leader) logEvents() {
	for _, e := range l.state.Events() {
		l.logEvent(e)
	}
}

// logEvent logs and counts an event of the scheduler's state.
func (l *leader) logEvent(e batch.Event) {
	l.decisionCounter(e.Name).Inc(1)
	line := l.log.Info().Str("event", e.Name)
	if e.Job != "" {
		line = line.Str("job", e.Job)
	}
	if e.Task.Job != "" {
		line = line.Int("step", e.Task.Step)
	}
	if e.Run > 0 {
		line = line.Int("index", e.Task.Index).Int64("run", e.Run)
	}
	if e.Task.Occurrence > 0 {
		line = line.Int("occurrence", e.Task.Occurrence)
	}
	if e.Worker != "" {
		line = line.Str("worker", string(e.Worker))
	}
	if e.Incarnation > 0 {
		line = line.Int64("incarnation", e.Incarnation)
	}
	if e.Detail != "" {
		line = line.Str("why", e.Detail)
	}
	if e.Inputs != "" {
		line = line.Str("inputs", e.Inputs)
	}
	line.Int64("config", l.state.ConfigVersion()).Send()
}

// decisionCounter returns the counter of the events with a name.
func (l *leader) decisionCounter(event string) tally.Counter {
	counter := l.decisionCounters[event]
	if counter == nil {
		counter = l.owner.opts.Scope.Tagged(map[string]string{"event": event}).Counter("decisions")
		l.decisionCounters[event] = counter
	}
	return counter
}
