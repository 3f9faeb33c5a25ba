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

// measurePeriod is how often the gauges are set.
const measurePeriod = time.Second

// journalBuckets reach from 1 ms to about 33 s.
var journalBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// meters are the metrics of an instance that no other package keeps. No tag holds a job, a
// key, a customer or a worker.
type meters struct {
	scope tally.Scope

	journalLag tally.Histogram
	starts     tally.Counter
	evictions  map[string]tally.Counter
	ends       map[model.AttemptState]tally.Counter
	records    map[ledger.RecordKind]tally.Counter
	// shown holds the gauges of every partition that was held once.
	shown map[model.Partition]partitionGauges
}

// partitionGauges are the gauges of one partition. All are zero while the partition is not
// held here, so that sums over the instances count it once.
type partitionGauges struct {
	held        tally.Gauge
	queued      tally.Gauge
	running     tally.Gauge
	reachable   tally.Gauge
	unreachable tally.Gauge
	quarantined tally.Gauge
	uncovered   tally.Gauge
}

// evictionSignals are the signals that end an attempt to make room.
var evictionSignals = []platform.SignalKind{platform.SignalCheckpoint, platform.SignalStop}

// newMeters returns the metrics. Counters exist from the start, so that a rate over them
// sees the first event.
func newMeters(scope tally.Scope) *meters {
	m := &meters{
		scope:      scope,
		journalLag: scope.Histogram("journal_lag", journalBuckets),
		starts:     scope.Counter("starts"),
		evictions:  map[string]tally.Counter{},
		ends:       map[model.AttemptState]tally.Counter{},
		records:    map[ledger.RecordKind]tally.Counter{},
		shown:      map[model.Partition]partitionGauges{},
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

// partition returns the gauges of a partition.
func (m *meters) partition(p model.Partition) partitionGauges {
	g, ok := m.shown[p]
	if ok {
		return g
	}
	scope := m.scope.SubScope("partition").Tagged(map[string]string{"partition": strconv.Itoa(int(p))})
	workers := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{"state": state}).Gauge("workers")
	}
	g = partitionGauges{
		held:        scope.Gauge("held"),
		queued:      scope.Gauge("queued"),
		running:     scope.Gauge("running"),
		reachable:   workers("reachable"),
		unreachable: workers("unreachable"),
		quarantined: workers("quarantined"),
		uncovered:   scope.Gauge("journal_uncovered"),
	}
	m.shown[p] = g
	return g
}

// setPartitions sets the gauges of the partitions held and clears those of the others.
func (m *meters) setPartitions(held []partition.Stats) {
	byID := map[model.Partition]partition.Stats{}
	for _, s := range held {
		byID[s.Summary.Partition] = s
		m.partition(s.Summary.Partition)
	}
	for p, g := range m.shown {
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
		g.uncovered.Update(float64(s.EntriesSinceSnapshot))
	}
	m.scope.Gauge("partitions_held").Update(float64(len(held)))
}

// setAge sets a gauge to the seconds since a time. It stays absent while there was none.
func (m *meters) setAge(name string, now, since time.Time) {
	if !since.IsZero() {
		m.scope.Gauge(name).Update(now.Sub(since).Seconds())
	}
}

// countRecords counts what has become durable.
func (v *Server) countRecords(_ model.Partition, records []ledger.Record) {
	now := v.clock.Now()
	for i := range records {
		v.meters.count(&records[i], now)
	}
}

// count counts one record that has become durable at a time.
func (m *meters) count(r *ledger.Record, now time.Time) {
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

// measure sets the gauges until ctx ends.
func (v *Server) measure(ctx context.Context) {
	ticker := time.NewTicker(measurePeriod)
	defer ticker.Stop()
	for {
		v.setGauges()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// setGauges sets every gauge once.
func (v *Server) setGauges() {
	m, now := v.meters, v.clock.Now()
	m.setPartitions(v.manager.Stats())
	if doc, ok := v.watcher.Current(); ok {
		m.scope.Gauge("config_revision").Update(float64(doc.Revision))
	}
	m.setAge("config_confirmation_age_seconds", now, v.watcher.Confirmed())
	m.setAge("store_contact_age_seconds", now, v.members.LastContact())
	m.scope.Gauge("members").Update(float64(len(v.members.Members())))
	listed, leaving := v.inventory.count()
	m.scope.Gauge("inventory_workers").Update(float64(listed))
	m.scope.Gauge("inventory_workers_leaving").Update(float64(leaving))
}
