package server

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// journalBuckets are the buckets of the journal lag, from 1 ms to about 33 s.
var journalBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// instanceMetrics holds the metrics of an instance that no other package keeps. No tag holds a job,
// a key, a customer or a worker, which bounds the number of time series.
type instanceMetrics struct {
	scope tally.Scope

	journalLag tally.Histogram
	starts     tally.Counter
	evictions  map[string]tally.Counter
	ends       map[model.AttemptState]tally.Counter
	records    map[ledger.RecordKind]tally.Counter
	// gauges holds the gauges of every partition that this instance has held since its start.
	gauges map[model.Partition]partitionGauges
}

// partitionGauges holds the gauges of one partition. All are zero while this instance does not hold
// the partition, so that a sum over the instances counts it once.
type partitionGauges struct {
	held          tally.Gauge
	queued        tally.Gauge
	running       tally.Gauge
	reachable     tally.Gauge
	unreachable   tally.Gauge
	quarantined   tally.Gauge
	sinceSnapshot tally.Gauge
}

// evictionSignals are the signals that evict an attempt to free capacity.
var evictionSignals = []platform.SignalKind{platform.SignalCheckpoint, platform.SignalStop}

// newInstanceMetrics returns the metrics. All counters are registered with the value zero, so that a
// rate over them includes the first event.
func newInstanceMetrics(scope tally.Scope) *instanceMetrics {
	m := &instanceMetrics{
		scope:      scope,
		journalLag: scope.Histogram("journal_lag", journalBuckets),
		starts:     scope.Counter("starts"),
		evictions:  map[string]tally.Counter{},
		ends:       map[model.AttemptState]tally.Counter{},
		records:    map[ledger.RecordKind]tally.Counter{},
		gauges:     map[model.Partition]partitionGauges{},
	}
	for state := model.AttemptSucceeded; state <= model.AttemptRefused; state++ {
		m.ends[state] = scope.Tagged(map[string]string{"state": state.String()}).Counter("ends")
	}
	for kind := ledger.RecordOwner; kind <= ledger.RecordResumed; kind++ {
		m.records[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Counter("records")
	}
	for _, signal := range evictionSignals {
		m.evictions[string(signal)] = scope.Tagged(map[string]string{"signal": string(signal)}).Counter("evictions")
	}
	return m
}

// partitionGauges returns the gauges of a partition and registers them on first use.
func (m *instanceMetrics) partitionGauges(p model.Partition) partitionGauges {
	g, ok := m.gauges[p]
	if ok {
		return g
	}
	scope := m.scope.SubScope("partition").Tagged(map[string]string{"partition": strconv.Itoa(int(p))})
	workers := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{"state": state}).Gauge("workers")
	}
	g = partitionGauges{
		held:          scope.Gauge("held"),
		queued:        scope.Gauge("queued"),
		running:       scope.Gauge("running"),
		reachable:     workers("reachable"),
		unreachable:   workers("unreachable"),
		quarantined:   workers("quarantined"),
		sinceSnapshot: scope.Gauge("journal_uncovered"),
	}
	m.gauges[p] = g
	return g
}

// updatePartitions sets the gauges of the partitions held and resets those of the others to zero.
func (m *instanceMetrics) updatePartitions(held []partition.Stats) {
	byID := map[model.Partition]partition.Stats{}
	for _, s := range held {
		byID[s.Summary.Partition] = s
		m.partitionGauges(s.Summary.Partition)
	}
	for p, g := range m.gauges {
		s, ok := byID[p]
		g.held.Update(0)
		if ok {
			g.held.Update(1)
		}
		g.queued.Update(float64(s.Summary.Queued))
		g.running.Update(float64(s.Summary.Running))
		g.reachable.Update(float64(s.Summary.Reachable))
		g.unreachable.Update(float64(s.Summary.Workers - s.Summary.Reachable))
		g.quarantined.Update(float64(s.Summary.Quarantined))
		g.sinceSnapshot.Update(float64(s.EntriesSinceSnapshot))
	}
	m.scope.Gauge("partitions_held").Update(float64(len(held)))
}

// updateAge sets a gauge to the seconds since a time. The gauge is not registered before there is a
// time.
func (m *instanceMetrics) updateAge(name string, now, since time.Time) {
	if !since.IsZero() {
		m.scope.Gauge(name).Update(now.Sub(since).Seconds())
	}
}

// countRecords counts records that have become durable.
func (v *Server) countRecords(_ model.Partition, records []ledger.Record) {
	now := v.clock.Now()
	for i := range records {
		v.instanceMetrics.countRecord(&records[i], now)
	}
}

// countRecord counts one record that became durable at the time now.
func (m *instanceMetrics) countRecord(r *ledger.Record, now time.Time) {
	if c, ok := m.records[r.Kind]; ok {
		c.Inc(1)
	}
	m.journalLag.RecordDuration(max(0, now.Sub(r.At)))
	switch r.Kind {
	case ledger.RecordStarted:
		m.starts.Inc(1)
	case ledger.RecordEvicting:
		if c, ok := m.evictions[string(r.Signal)]; ok {
			c.Inc(1)
		}
	case ledger.RecordEnded:
		if c, ok := m.ends[r.State]; ok {
			c.Inc(1)
		}
	case ledger.RecordRefused:
		m.ends[model.AttemptRefused].Inc(1)
	}
}

// runGauges updates the gauges every gaugeInterval until ctx ends.
func (v *Server) runGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		v.updateGauges()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateGauges updates every gauge once.
func (v *Server) updateGauges() {
	m, now := v.instanceMetrics, v.clock.Now()
	m.updatePartitions(v.manager.Stats())
	if doc, ok := v.watcher.Current(); ok {
		m.scope.Gauge("config_revision").Update(float64(doc.Revision))
	}
	m.updateAge("config_confirmation_age_seconds", now, v.watcher.Confirmed())
	m.updateAge("store_contact_age_seconds", now, v.members.LastContact())
	m.scope.Gauge("members").Update(float64(len(v.members.Members())))
	listed, leaving := v.inventory.countWorkers()
	m.scope.Gauge("inventory_workers").Update(float64(listed))
	m.scope.Gauge("inventory_workers_leaving").Update(float64(leaving))
}
