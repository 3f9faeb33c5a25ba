package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
)

// report prints what the callers and the stand-ins counted, and returns whether all guarantees
// held.
func (s *session) report(ctx context.Context, out io.Writer) (bool, error) {
	counts, err := s.cluster.Counts(ctx)
	if err != nil {
		return false, err
	}
	interval, err := s.cluster.Interval(ctx, s.dataCentre, s.outFrom.Add(outGracePeriod), s.outTo)
	if err != nil {
		return false, err
	}
	executions, err := s.cluster.Executions(ctx)
	if err != nil {
		return false, err
	}
	results := s.traffic.Results()
	contradictions := cluster.Contradictions(results, executions)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printRequests(w, results)
	fmt.Fprintln(w)
	fmt.Fprintf(w, "jobs submitted\t%d\n", s.submitted)
	fmt.Fprintf(w, "tasks finished\t%d\n", counts.Finished)
	fmt.Fprintf(w, "evictions\t%d\n", counts.Checkpointed+counts.Stopped)
	fmt.Fprintf(w, "resumes\t%d\n", counts.Resumes)
	fmt.Fprintf(w, "attempts that failed or were lost\t%d\n", counts.Failed+counts.Lost)
	fmt.Fprintf(w, "requests executed in %s while out of service for more than %s\t%d\n", s.dataCentre, outGracePeriod, interval.Requests)
	fmt.Fprintln(w)
	guarantees := []guarantee{
		{fmt.Sprintf("task starts in %s while out of service for more than %s", s.dataCentre, outGracePeriod), len(interval.Starts)},
		{"duplicates", duplicates(counts)},
		{"reservations over capacity", counts.Violations[fleet.ViolationCapacity]},
		{"resumes from a wrong checkpoint", counts.Violations[fleet.ViolationCheckpoint]},
		{"answers that contradict the targets' log", len(contradictions)},
		{"jobs not finished", s.submitted - counts.Finished},
		{"evicted, failed or lost attempts without exactly one resume", unresumed(counts)},
		{fmt.Sprintf("requests that no target answered, beyond 1 in %d", requestsPerFailure), unanswered(results)},
	}
	held := printGuarantees(w, guarantees)
	if err := w.Flush(); err != nil {
		return false, err
	}
	return held, s.printViolations(ctx, out, contradictions)
}

// unresumed returns the difference between the number of resumes and the number of attempts that
// ended before their job was done. Every job of the quickstart finishes, so the two must be equal.
func unresumed(c fleet.Counts) int {
	ended := c.Checkpointed + c.Stopped + c.Failed + c.Lost
	return max(ended-c.Resumes, c.Resumes-ended)
}

// guarantee is a property that must hold, with the number of times that it was violated.
type guarantee struct {
	text  string
	count int
}

// requestsPerFailure limits the failed requests while a data centre is taken out and brought back:
// one in this number of requests may stay without an answer from a target.
const requestsPerFailure = 100

// unanswered returns the number of requests that no target answered, less the tolerated ones.
func unanswered(results []cluster.Result) int {
	count := 0
	for _, r := range results {
		if r.Verdict != verdict.Ran {
			count++
		}
	}
	return max(0, count-len(results)/requestsPerFailure)
}

// duplicates returns the number of violations by which work was executed twice.
func duplicates(c fleet.Counts) int {
	return c.Violations[fleet.ViolationAttemptTwice] + c.Violations[fleet.ViolationOverlap] +
		c.Violations[fleet.ViolationFinishedTwice] + c.Violations[fleet.ViolationOnceRequest] +
		c.Violations[fleet.ViolationExclusive]
}

// printGuarantees prints the counts and returns whether all are zero.
func printGuarantees(w io.Writer, guarantees []guarantee) bool {
	held := true
	for _, g := range guarantees {
		mark := "ok"
		if g.count != 0 {
			mark = "BROKEN"
			held = false
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", g.text, g.count, mark)
	}
	return held
}

// printRequests prints the numbers of requests by class and verdict, and their latencies.
func printRequests(w io.Writer, results []cluster.Result) {
	fmt.Fprintln(w, "class\trequests\tran\tnot run\tmay have run\tp50\tp99")
	for _, class := range []model.RequestClass{model.Idempotent, model.Exclusive, model.AtMostOnce} {
		var own []cluster.Result
		verdicts := map[verdict.Verdict]int{}
		for _, r := range results {
			if r.Class == class {
				own = append(own, r)
				verdicts[r.Verdict]++
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", class, len(own),
			verdicts[verdict.Ran], verdicts[verdict.NotRun], verdicts[verdict.MayHaveRun],
			cluster.Percentile(own, 0.50).Round(100*time.Microsecond), cluster.Percentile(own, 0.99).Round(100*time.Microsecond))
	}
}

// printReasons prints the reasons for which requests were not answered by a target.
func printReasons(out io.Writer, results []cluster.Result) {
	counts := map[verdict.Reason]int{}
	for _, r := range results {
		if r.Verdict != verdict.Ran {
			counts[r.Reason]++
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%d requests were not answered by a target: %s\n", counts[reason], reason)
	}
}

// printViolations prints the first violated guarantees, the first results of callers that differ
// from the targets' log, and the reasons of failed requests.
func (s *session) printViolations(ctx context.Context, out io.Writer, contradictions []cluster.Contradiction) error {
	const limit = 10
	violations, err := s.cluster.Violations(ctx)
	if err != nil {
		return err
	}
	for _, v := range violations[:min(limit, len(violations))] {
		fmt.Fprintf(out, "%s: %s: %s\n", v.At.Format(time.TimeOnly), v.Kind, v.Text)
	}
	printReasons(out, s.traffic.Results())
	for _, c := range contradictions[:min(limit, len(contradictions))] {
		fmt.Fprintf(out, "%s: %s\n", c.Result.Reference, c.Text)
	}
	return nil
}
