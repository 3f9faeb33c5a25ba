package server

import (
	"flag"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

var update = flag.Bool("update", false, "write the golden files anew")

// metricLine matches a line of the Prometheus text format and captures name, labels and value.
var metricLine = regexp.MustCompile(`(?m)^(geraniumwick_[a-z_]+)(\{.*\})? (.*)$`)

// bucketLabel matches the label of a histogram's bucket.
var bucketLabel = regexp.MustCompile(`,?le="[^"]*"`)

// scrape returns the value of every metric of geraniumwick by name and labels.
func (s *harness) scrape() map[string]string {
	s.t.Helper()
	time.Sleep(2 * gaugeInterval) // the gauges are updated and reported within this time
	a := s.get(operatorAddr, "/metrics")
	if a.err != nil || a.status != http.StatusOK {
		s.t.Fatalf("scrape: %d %v", a.status, a.err)
	}
	values := map[string]string{}
	for _, m := range metricLine.FindAllStringSubmatch(a.body, -1) {
		values[m[1]+bucketLabel.ReplaceAllString(m[2], "")] = m[3]
	}
	return values
}

// parseNumber parses the value of a metric.
func parseNumber(t *testing.T, value string) float64 {
	t.Helper()
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestMetricsServed compares names and labels with a golden file, because dashboards and alerts of
// operators depend on them.
func TestMetricsServed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		is.Equal(s.call(http.MethodPost, callerAddr, "/v1/jobs", jobText).status, http.StatusAccepted)
		is.Equal(s.call(http.MethodPost, callerAddr, "/v1/jobs", "{").status, http.StatusBadRequest)
		is.Equal(s.call(http.MethodPut, operatorAddr, "/v1/config/sections/reports", "").status, http.StatusBadRequest)
		is.Equal(s.call(http.MethodPost, callerAddr, "/v1/requests/desk/levy", "x").status, http.StatusServiceUnavailable)
		got := slices.Sorted(maps.Keys(s.scrape()))
		text := strings.Join(got, "\n") + "\n"
		const golden = "testdata/metrics.golden"
		if *update {
			is.NoErr(os.WriteFile(golden, []byte(text), 0o644))
		}
		want, err := os.ReadFile(golden)
		is.NoErr(err)
		if text != string(want) {
			t.Errorf("got:\n%s\nwant:\n%s", text, want)
		}
		for _, name := range got {
			if strings.Contains(name, "reports/a") || strings.Contains(name, `"w1"`) {
				t.Errorf("%s has a label of a job or a worker", name)
			}
		}
	})
}

func TestPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	served, err := os.ReadFile("testdata/metrics.golden")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	_, table, found := strings.Cut(string(page), "## Metrics\n")
	is.True(found)
	table, _, _ = strings.Cut(table, "\n## ")
	for line := range strings.Lines(string(served)) {
		name, _, _ := strings.Cut(strings.TrimSpace(strings.TrimPrefix(line, "geraniumwick_")), "{")
		for _, suffix := range []string{"_bucket", "_count", "_sum"} {
			name = strings.TrimSuffix(name, suffix)
		}
		if !strings.Contains(table, "`"+name+"`") && !strings.Contains(table, "`"+name+"{") {
			t.Errorf("docs/OPERATIONS.md does not list %s", name)
		}
	}
}

func TestMetricsOfTheProcessAreServed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := newHarness(t)
		s.start()
		body := s.get(operatorAddr, "/metrics").body
		for _, name := range []string{"go_goroutines", "go_memstats_heap_alloc_bytes", "process_resident_memory_bytes", "process_cpu_seconds_total"} {
			if !strings.Contains(body, "\n"+name+" ") {
				t.Errorf("%s is not served", name)
			}
		}
	})
}

// gaugeLag is the longest time after which the gauges of a partition show a change: its owner makes a
// summary every 500 ms, in a loop that looks every 100 ms.
const gaugeLag = 600 * time.Millisecond

func TestGaugesOfThePartitionsHeld(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		is.Equal(s.call(http.MethodPost, callerAddr, "/v1/jobs", jobText).status, http.StatusAccepted)
		time.Sleep(gaugeLag)
		values := s.scrape()
		is.Equal(values["geraniumwick_partitions_held"], "2")
		is.Equal(values["geraniumwick_members"], "1")
		is.Equal(values["geraniumwick_inventory_workers"], "2")
		is.Equal(values["geraniumwick_inventory_workers_leaving"], "1")
		is.Equal(values[`geraniumwick_partition_held{partition="0"}`], "1")
		is.Equal(values[`geraniumwick_partition_workers{partition="0",state="reachable"}`], "0") // the worker has no address
		is.Equal(values[`geraniumwick_partition_workers{partition="0",state="unreachable"}`], "1")
		is.Equal(values[`geraniumwick_records{kind="submitted"}`], "1")
		queued := values[`geraniumwick_partition_queued{partition="0"}`] + values[`geraniumwick_partition_queued{partition="1"}`]
		is.True(queued == "10" || queued == "01") // either partition may have received the job
	})
}

func TestReleasedPartitionHasZeroGauges(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	m := newInstanceMetrics(scope)
	gauge := func(name string) float64 {
		return scope.Snapshot().Gauges()[name].Value()
	}
	m.updatePartitions([]partition.Stats{
		{Summary: partition.Summary{Partition: 0, Queued: 3, Running: 2, Workers: 9, Reachable: 8, Quarantined: 1}, EntriesSinceSnapshot: 7},
		{Summary: partition.Summary{Partition: 1, Queued: 5}},
	})
	is.Equal(gauge("partition.journal_uncovered+partition=0"), 7.0)
	is.Equal(gauge("partition.workers+partition=0,state=unreachable"), 1.0)
	is.Equal(gauge("partition.workers+partition=0,state=quarantined"), 1.0)
	m.updatePartitions([]partition.Stats{{Summary: partition.Summary{Partition: 1, Queued: 5}}})
	for name, g := range scope.Snapshot().Gauges() {
		if g.Tags()["partition"] == "0" && g.Value() != 0 {
			t.Errorf("%s is %v after the release", name, g.Value())
		}
	}
	is.Equal(gauge("partition.queued+partition=1"), 5.0)
	is.Equal(gauge("partitions_held+"), 1.0)
}

func TestAgesGrowWhileTheStoreIsUnavailable(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t)
		s.start()
		before := s.scrape()
		is.True(parseNumber(t, before["geraniumwick_store_contact_age_seconds"]) < 3)
		s.store.setUnavailable(true)
		time.Sleep(time.Minute)
		values := s.scrape()
		for _, name := range []string{"geraniumwick_store_contact_age_seconds", "geraniumwick_config_confirmation_age_seconds"} {
			age := parseNumber(t, values[name])
			is.True(age >= 55 && age <= 65)
		}
		is.Equal(values["geraniumwick_config_revision"], before["geraniumwick_config_revision"])
		is.True(parseNumber(t, values[`geraniumwick_store_calls{op="get",outcome="failed"}`]) > 0)
		s.store.setUnavailable(false)
	})
}

func TestRecordsAreCounted(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 10, 0, time.UTC)
	cases := []struct {
		name   string
		record ledger.Record
		metric string
	}{
		{"a start", ledger.Record{Kind: ledger.RecordStarted}, "starts"},
		{"an eviction by checkpoint", ledger.Record{Kind: ledger.RecordEvicting, Signal: platform.SignalCheckpoint}, `evictions{signal="checkpoint"}`},
		{"an eviction by stop", ledger.Record{Kind: ledger.RecordEvicting, Signal: platform.SignalStop}, `evictions{signal="stop"}`},
		{"a successful attempt", ledger.Record{Kind: ledger.RecordEnded, State: model.AttemptSucceeded}, `ends{state="succeeded"}`},
		{"a lost attempt", ledger.Record{Kind: ledger.RecordEnded, State: model.AttemptLost}, `ends{state="lost"}`},
		{"a start that a worker refused", ledger.Record{Kind: ledger.RecordRefused}, `ends{state="refused"}`},
		{"a claim changes only the counter of records", ledger.Record{Kind: ledger.RecordClaimed}, `records{kind="claimed"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				s := newHarness(t)
				s.start()
				before := s.scrape()
				c.record.At = now.Add(-3 * time.Second)
				s.server.instanceMetrics.countRecord(&c.record, now)
				after := s.scrape()
				is.Equal(before["geraniumwick_"+c.metric], "0")
				is.Equal(after["geraniumwick_"+c.metric], "1")
				const lag = "geraniumwick_journal_lag_"
				is.Equal(parseNumber(t, after[lag+"count"])-parseNumber(t, before[lag+"count"]), 1.0)
				sum := parseNumber(t, after[lag+"sum"]) - parseNumber(t, before[lag+"sum"])
				is.True(sum >= 3 && sum < 6) // the histogram reports the upper bound of the bucket that holds 3 s
				for name, value := range after {
					other := strings.HasPrefix(name, "geraniumwick_starts") || strings.HasPrefix(name, "geraniumwick_e")
					if other && name != "geraniumwick_"+c.metric && value != before[name] {
						t.Errorf("%s changed too", name)
					}
				}
			})
		})
	}
}
