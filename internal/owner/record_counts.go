package owner

import (
	"fmt"
	"time"
)

// recordReportInterval is the interval between two reports on the records that the owner writes.
const recordReportInterval = 2 * time.Second

// recordCounts counts what the owner has written, and the time that it took, since the last report.
type recordCounts struct {
	reportedAt time.Time
	// txns are the transactions whose outcome is known, and records the records in them; urgent are those for which
	// starts waited, and ended those of jobs that have ended.
	txns, records, urgent, ended int
	// stored is the time from building a transaction to the knowledge that it is durable, built that for building them,
	// decided that for decisions, handled that for events.
	stored, built, decided, handled time.Duration
	decisions                       int
}

// addTxn counts a durable transaction.
func (c *recordCounts) addTxn(t *recordTxn, stored time.Duration) {
	c.txns++
	c.stored += stored
	c.records += len(t.records)
	c.urgent += t.urgent
	for _, r := range t.records {
		if r.Status.Terminal() {
			c.ended++
		}
	}
}

// String describes the counts for the log.
func (c *recordCounts) String() string {
	return fmt.Sprintf("%d transactions with %d records, %d of them urgent, %d of ended jobs; durable %s after they were built, on average; "+
		"%s for building them, %s for %d decisions, %s for events",
		c.txns, c.records, c.urgent, c.ended, (c.stored / time.Duration(max(1, c.txns))).Round(time.Microsecond),
		c.built.Round(time.Millisecond), c.decided.Round(time.Millisecond), c.decisions, c.handled.Round(time.Millisecond))
}

// reportRecords logs what was written since the last report if more records wait than a transaction holds.
func (l *leader) reportRecords(now time.Time) {
	since := now.Sub(l.records.reportedAt)
	if since < recordReportInterval {
		return
	}
	if waiting := l.state.DirtyJobs(); waiting > maxRecordsPerTxn {
		l.log.Info().Str("event", "records.waiting").Str("why",
			fmt.Sprintf("%d records wait, %d of them urgent; in %s: %s", waiting, l.state.UrgentRecords(), since.Round(time.Millisecond), &l.records)).Send()
	}
	l.reportLoad(now)
	l.records = recordCounts{reportedAt: now}
}
