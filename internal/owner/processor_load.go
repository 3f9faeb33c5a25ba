package owner

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/admission"
	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// requestsPerCore is the number of requests a second to begin with that may be sent to workers for each core of the machine.
// With the work that follows from its answer, a request takes a core about a tenth of a millisecond.
const requestsPerCore = 10_000

// newLimiter returns the limiter of the requests to workers on a machine of a speed in cores; 0 if that is not known.
func newLimiter(speed float64) *admission.Limiter {
	if speed <= 0 {
		speed = 1
	}
	return admission.New(requestsPerCore * speed)
}

// startSendTime is the time within which the starts that are decided must be sent. It is short, as starts of jobs that are more
// urgent may be decided meanwhile, and these wait behind them.
const startSendTime = 100 * time.Millisecond

// maxStarts returns how many starts may be decided now.
func (l *leader) maxStarts() int {
	return l.limiter.Sendable(startSendTime) - int(l.unsentStarts.Load())
}

// sampleLag tells the limiter how late this process runs, until ctx ends.
func (l *leader) sampleLag(ctx context.Context) {
	for ctx.Err() == nil {
		lag := l.owner.opts.ProcessorLag(ctx)
		l.limiter.Observe(lag, time.Now())
	}
}

// timerLag returns how late a timer fires.
func timerLag(ctx context.Context) time.Duration {
	due := time.Now().Add(admission.SampleInterval)
	pause.For(ctx, admission.SampleInterval)
	return max(0, time.Since(due))
}

// processorUse measures the processor time that this process uses.
type processorUse struct {
	used time.Duration // up to at
	at   time.Time
}

// sinceLast returns how many cores this process has used on average since the last call.
func (u *processorUse) sinceLast(now time.Time) (cores float64, err error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Trace(err)
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	if elapsed := now.Sub(u.at); !u.at.IsZero() && elapsed > 0 {
		cores = (used - u.used).Seconds() / elapsed.Seconds()
	}
	u.used, u.at = used, now
	return cores, nil
}

// reportLoad updates the metrics of the processor and of the requests to workers, and logs it if requests had to wait.
func (l *leader) reportLoad(now time.Time) {
	cores, err := l.processor.sinceLast(now)
	if err != nil {
		l.log.Error().Str("event", "processor.unknown").Err(err).Send()
	}
	load := processorLoad{cores: cores, speed: l.owner.opts.Speed, openRequests: l.calls.open.Load(), openConnections: l.owner.opts.OpenConnections(), Status: l.limiter.Status()}
	counts := l.limiter.Counts()
	l.updateLoadGauges(load, counts)
	defer func() { l.handledCounts = handledCounts{} }()
	if !counts.AnyDelayed() && load.WaitingSince.IsZero() {
		return
	}
	line := l.log.Info().Str("event", "processor.overloaded").Str("why", load.String()).
		Str("inputs", fmt.Sprintf("requests to workers since the last line: %s; %s", counts, &l.handledCounts))
	if !load.WaitingSince.IsZero() {
		line = line.Int64("waiting-ms", now.Sub(load.WaitingSince).Milliseconds())
	}
	line.Send()
}

// handledCounts counts what the loop has handled since the last report on the load.
type handledCounts struct {
	// reports are the reports of workers, and withEnds those that list an ended attempt.
	reports, withEnds int
	decisions         int
}

// add counts a report.
func (c *handledCounts) add(r batch.Report) {
	c.reports++
	if len(r.Ended) > 0 {
		c.withEnds++
	}
}

// String describes the counts for the log.
func (c *handledCounts) String() string {
	return fmt.Sprintf("%d reports read, %d of them with ends; %d decisions", c.reports, c.withEnds, c.decisions)
}

// processorLoad is what is known of the processor and of the requests to workers.
type processorLoad struct {
	cores, speed    float64 // used on average, and provided by the machine
	openRequests    int64
	openConnections int // of the process
	admission.Status
}

// String describes the load for the log.
func (p processorLoad) String() string {
	return fmt.Sprintf("%.2f of %.2f cores used; answers are read %s late; %.0f requests to workers a second allowed, %.0f to begin with; %d open, %d connections; waiting: %s",
		p.cores, p.speed, p.Lag.Round(100*time.Microsecond), p.Rate, p.InitialRate, p.openRequests, p.openConnections, p.Waiting)
}

func (l *leader) updateLoadGauges(p processorLoad, c admission.Counts) {
	scope := l.owner.opts.Scope
	scope.Gauge("processor_cores").Update(p.cores)
	scope.Gauge("processor_lag").Update(p.Lag.Seconds())
	scope.Gauge("connections_open").Update(float64(p.openConnections))
	scope.Gauge("worker_request_rate_limit").Update(p.Rate)
	scope.Gauge("worker_requests_open").Update(float64(p.openRequests))
	for class := range admission.Classes {
		tagged := scope.Tagged(map[string]string{"class": class.String()})
		tagged.Gauge("worker_requests_waiting").Update(float64(p.Waiting[class]))
		tagged.Counter("worker_requests_delayed").Inc(int64(c.Delayed[class]))
		tagged.Counter("worker_requests_given_up").Inc(int64(c.GivenUp[class]))
		tagged.Gauge("worker_request_wait").Update(c.MeanWait(class).Seconds())
	}
	scope.Counter("worker_reports").Inc(int64(l.handledCounts.reports))
	scope.Counter("worker_reports_with_ends").Inc(int64(l.handledCounts.withEnds))
	scope.Counter("owner_decisions").Inc(int64(l.handledCounts.decisions))
}
