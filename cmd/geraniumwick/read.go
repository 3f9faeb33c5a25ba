package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
)

// storeAgeWarning is the time since the last answer of the store above which the output warns.
const storeAgeWarning = 3 * time.Second

// addReadCommands adds the commands status, explain and audit.
func addReadCommands(app *kingpin.Application, all commands) {
	app.Command("status", "Show instances, partitions, owners, workers and the store at a glance.")
	all["status"] = func(ctx context.Context, c *cli) error { return c.status(ctx) }

	explain := app.Command("explain", "Show the whole life of a job, a request or a section, and what is not known of it.")
	explain.HelpLong("Examples:\n\n    geraniumwick explain levy/recalc-0417\n    geraniumwick explain levy-desk/filing-2231\n    geraniumwick explain config/operators")
	id := explain.Arg("id", "Job (team/name), request (service/key) or section (config/name).").Required().String()
	all["explain"] = func(ctx context.Context, c *cli) error { return c.explain(ctx, *id) }

	trail := app.Command("audit", "Show the newest entries of the audit trail of all live instances.")
	trail.HelpLong("Example:\n\n    geraniumwick audit --limit 50 --output json")
	limit := trail.Flag("limit", "Largest number of entries.").Default("100").Int()
	all["audit"] = func(ctx context.Context, c *cli) error { return c.audit(ctx, *limit) }
}

// status shows the state of the system.
func (c *cli) status(ctx context.Context) error {
	var s query.Status
	if err := c.client.call(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	return c.show(s, func() {
		c.printSummary(s)
		c.printInstances(s)
		c.printPartitions(s)
	})
}

// printSummary prints the store, the workers and the jobs.
func (c *cli) printSummary(s query.Status) {
	store := fmt.Sprintf("store       last answer %v ago, as seen by %s", s.SinceStoreContact.Round(time.Millisecond), s.Instance)
	if s.SinceStoreContact > storeAgeWarning {
		store = c.styles.bad(store + "; nothing new starts while the configuration cannot be confirmed")
	}
	c.printf("%s", store)
	c.printf("revision    %d in force", s.Revision)
	w := s.Workers
	workers := fmt.Sprintf("workers     %d, of which %d reachable, %d quarantined, %d leaving", w.Total, w.Reachable, w.Quarantined, w.Leaving)
	if w.Reachable < w.Total || w.Quarantined > 0 {
		workers = c.styles.warn(workers)
	}
	c.printf("%s", workers)
	var jobs []string
	for _, state := range slices.Sorted(maps.Keys(s.Jobs)) {
		if state == model.JobTransferred.String() {
			// The partition that it was transferred to counts the job under its state there.
			continue
		}
		jobs = append(jobs, fmt.Sprintf("%d %s", s.Jobs[state], state))
	}
	c.printf("jobs        %s", strings.Join(jobs, ", "))
}

// printInstances prints the live instances.
func (c *cli) printInstances(s query.Status) {
	c.printf("")
	rows := [][]string{{"INSTANCE", "DATA CENTRE", "REVISION", "STATE", "STARTED"}}
	for _, i := range s.Instances {
		state := "live"
		if i.Draining {
			state = "leaving"
		}
		rows = append(rows, []string{string(i.ID), string(i.DataCentre), fmt.Sprint(i.Revision), state, formatTime(i.Started)})
	}
	c.table(rows)
}

// printPartitions prints the partitions and their owners.
func (c *cli) printPartitions(s query.Status) {
	c.printf("")
	rows := [][]string{{"PARTITION", "OWNER", "EPOCH", "QUEUED", "RUNNING"}}
	for _, p := range s.Partitions {
		owner := string(p.Owner)
		if owner == "" {
			owner = "not known"
		}
		rows = append(rows, []string{fmt.Sprint(p.Partition), owner, fmt.Sprint(p.Epoch), fmt.Sprint(p.Queued), fmt.Sprint(p.Running)})
	}
	c.table(rows)
}

// explain shows the timeline of a subject and which information is missing.
func (c *cli) explain(ctx context.Context, id string) error {
	var e query.Explanation
	path := "/v1/explain/" + (&url.URL{Path: id}).EscapedPath()
	if err := c.client.call(ctx, http.MethodGet, path, nil, &e); err != nil {
		return err
	}
	return c.show(e, func() { c.printExplanation(e) })
}

// printExplanation prints the entries in the order of time, and then which information is missing.
func (c *cli) printExplanation(e query.Explanation) {
	if e.Job != nil {
		c.printJob(*e.Job)
	} else {
		c.printf("%s", c.styles.bold(e.Subject))
	}
	if !e.Found {
		c.printf("Nothing is known of it.")
	}
	c.printEntries(e.Entries)
	if e.Complete {
		c.printf("%s", c.styles.good("Nothing is missing: every live instance answered and every instance that took part is live."))
		return
	}
	c.printf("%s", c.styles.warn("Not known:"))
	for _, gap := range e.Unknown {
		c.printf("  %s", oneLine(gap))
	}
}

// printEntries prints entries of the audit trail as a table.
func (c *cli) printEntries(entries []audit.Entry) {
	rows := [][]string{{"TIME", "EVENT", "INSTANCE", "ATTEMPT", "WORKER", "VERDICT", "KEPT IN", "REASON"}}
	for _, e := range entries {
		if e.Event == audit.EventDropped {
			continue
		}
		rows = append(rows, []string{formatTime(e.At), e.Event, string(e.Instance), formatNonZero(int64(e.Attempt)), string(e.Worker), e.Verdict, keptIn(e), detail(e)})
	}
	if len(rows) > 1 {
		c.table(rows)
	}
}

// keptIn returns where an entry is kept: in the store, or in the memory of its instance.
func keptIn(e audit.Entry) string {
	if e.Durable {
		return "store"
	}
	return "memory"
}

// detail returns the new state of a job, the actor, the revision and the reason of an entry.
func detail(e audit.Entry) string {
	var parts []string
	if strings.HasPrefix(e.Event, "job.") && e.After != "" {
		parts = append(parts, e.After)
	}
	if e.Actor != "" {
		parts = append(parts, "by "+e.Actor)
	}
	if e.Revision != 0 {
		parts = append(parts, fmt.Sprintf("revision %d", e.Revision))
	}
	if e.Reason != "" {
		parts = append(parts, e.Reason)
	}
	return strings.Join(parts, ", ")
}

// formatNonZero returns the number as text, or an empty string for zero.
func formatNonZero(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

// audit shows the newest entries of all live instances.
func (c *cli) audit(ctx context.Context, limit int) error {
	if limit < 1 {
		return usagef("--limit must be above 0")
	}
	var response query.AuditResponse
	if err := c.client.call(ctx, http.MethodGet, fmt.Sprintf("/v1/audit?limit=%d", limit), nil, &response); err != nil {
		return err
	}
	return c.show(response, func() {
		rows := [][]string{{"TIME", "EVENT", "SUBJECT", "INSTANCE", "VERDICT", "DETAIL"}}
		for _, e := range response.Entries {
			rows = append(rows, []string{formatTime(e.At), e.Event, e.Subject, string(e.Instance), e.Verdict, detail(e)})
		}
		c.table(rows)
		for _, id := range response.Unreachable {
			c.printf("%s", c.styles.warn("instance "+string(id)+" did not answer; its entries are missing"))
		}
	})
}
