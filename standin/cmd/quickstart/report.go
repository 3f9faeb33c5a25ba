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

// report prints what the callers and the stand-ins counted, and reports whether all
// promises were kept.
func (s *session) report(ctx context.Context, out io.Writer) (bool, error) {
	counts, err := s.cluster.Counts(ctx)
	if err != nil {
		return false, err
	}
	interval, err := s.cluster.Interval(ctx, s.dataCentre, s.outFrom.Add(grace), s.outTo)
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
	fmt.Fprintf(w, "requests begun in %s while out, after %s\t%d\n", s.dataCentre, grace, interval.Requests)
	fmt.Fprintln(w)
	promises := []promise{
		{fmt.Sprintf("starts in %s while out, after %s", s.dataCentre, grace), len(interval.Starts)},
		{"duplicates", duplicates(counts)},
		{"commitments over capacity", counts.Violations[fleet.ViolationCapacity]},
		{"resumes from a wrong checkpoint", counts.Violations[fleet.ViolationCheckpoint]},
		{"answers that the targets' record disproves", len(contradictions)},
		{"jobs not finished", s.submitted - counts.Finished},
		{"evictions without exactly one resume", unresumed(counts)},
		{fmt.Sprintf("requests beyond 1 in %d that no target answered", toleratedShare), unanswered(results)},
	}
	kept := printPromises(w, promises)
	if err := w.Flush(); err != nil {
		return false, err
	}
	return kept, s.explain(ctx, out, contradictions)
}

// unresumed returns by how much the resumes differ from the attempts that ended before
// their job was done. Every job of the quickstart finishes, so each of them has one resume.
func unresumed(c fleet.Counts) int {
	ended := c.Checkpointed + c.Stopped + c.Failed + c.Lost
	return max(ended-c.Resumes, c.Resumes-ended)
}

// promise is a count that must be zero.
type promise struct {
	text  string
	count int
}

// toleratedShare is the share of requests, as one in so many, that may stay without an
// answer while a data centre leaves and returns.
const toleratedShare = 100

// unanswered counts the requests beyond the tolerated share that did not run.
func unanswered(results []cluster.Result) int {
	count := 0
	for _, r := range results {
		if r.Verdict != verdict.Ran {
			count++
		}
	}
	return max(0, count-len(results)/toleratedShare)
}

// duplicates counts work that was executed twice.
func duplicates(c fleet.Counts) int {
	return c.Violations[fleet.ViolationAttemptTwice] + c.Violations[fleet.ViolationOverlap] +
		c.Violations[fleet.ViolationFinishedTwice] + c.Violations[fleet.ViolationOnceRequest] +
		c.Violations[fleet.ViolationExclusive]
}

// printPromises prints the counts and reports whether all are zero.
func printPromises(w io.Writer, promises []promise) bool {
	kept := true
	for _, p := range promises {
		mark := "ok"
		if p.count != 0 {
			mark = "BROKEN"
			kept = false
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", p.text, p.count, mark)
	}
	return kept
}

// printRequests prints the requests by class and verdict.
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

// printReasons prints why requests were not answered by a target.
func printReasons(out io.Writer, results []cluster.Result) {
	counts := map[verdict.Reason]int{}
	for _, r := range results {
		if r.Verdict != verdict.Ran {
			counts[r.Reason]++
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%d requests were refused or cut: %s\n", counts[reason], reason)
	}
}

// explain prints the first broken promises.
func (s *session) explain(ctx context.Context, out io.Writer, contradictions []cluster.Contradiction) error {
	const most = 10
	violations, err := s.cluster.Violations(ctx)
	if err != nil {
		return err
	}
	for _, v := range violations[:min(most, len(violations))] {
		fmt.Fprintf(out, "%s: %s: %s\n", v.At.Format(time.TimeOnly), v.Kind, v.Text)
	}
	printReasons(out, s.traffic.Results())
	for _, c := range contradictions[:min(most, len(contradictions))] {
		fmt.Fprintf(out, "%s: %s\n", c.Result.Reference, c.Text)
	}
	return nil
}
