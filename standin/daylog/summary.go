package daylog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Queue is the sum over the accepted jobs of a queue. The times are sums over jobs and steps.
type Queue struct {
	Name                                     string
	Jobs, Completed, Failed, Cancelled, Open int
	// NotStarted counts the jobs of which no task was started.
	NotStarted int
	// FirstStart is the time from acceptance to the first start that half, and 95 of 100, of the
	// started jobs stayed within.
	FirstStartHalf, FirstStart95 time.Duration
	// Duration is the same for the time from acceptance to completion.
	DurationHalf, Duration95 time.Duration
	Starts, FailedRuns       int
	Paces                    int
	// Waited is the time for which steps waited, by reason, and Stopped the number of stops by reason. A wait
	// ends with the next start of the step; if a new owner finds that its tasks run already, no start
	// follows, and the wait counts up to the end of the job.
	Waited  map[string]time.Duration
	Stopped map[string]int
}

// Queues returns the sums of all queues, that with the most jobs first.
func (d *Day) Queues() []Queue {
	byName := map[string][]*job{}
	for _, j := range d.jobs {
		if !j.submitted.IsZero() {
			byName[j.queue] = append(byName[j.queue], j)
		}
	}
	var out []Queue
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, d.sum(name, byName[name]))
	}
	slices.SortStableFunc(out, func(a, b Queue) int { return cmp.Compare(b.Jobs, a.Jobs) })
	return out
}

func (d *Day) sum(name string, jobs []*job) Queue {
	q := Queue{Name: name, Jobs: len(jobs), Waited: map[string]time.Duration{}, Stopped: map[string]int{}}
	var firstStarts, durations []time.Duration
	for _, j := range jobs {
		j.endWaits(d.last)
		q.count(j)
		if !j.firstStart.IsZero() {
			firstStarts = append(firstStarts, j.firstStart.Sub(j.submitted))
		}
		if j.outcome == Completed {
			durations = append(durations, j.ended.Sub(j.submitted))
		}
	}
	q.FirstStartHalf, q.FirstStart95 = quantile(firstStarts, 0.5), quantile(firstStarts, 0.95)
	q.DurationHalf, q.Duration95 = quantile(durations, 0.5), quantile(durations, 0.95)
	return q
}

func (q *Queue) count(j *job) {
	switch j.outcome {
	case Completed:
		q.Completed++
	case Failed:
		q.Failed++
	case Cancelled:
		q.Cancelled++
	default:
		q.Open++
	}
	if j.firstStart.IsZero() {
		q.NotStarted++
	}
	q.Starts += j.starts
	q.FailedRuns += j.failedRuns
	q.Paces += j.paces
	for reason, waited := range j.waited {
		q.Waited[reason] += waited
	}
	for reason, n := range j.stopped {
		q.Stopped[reason] += n
	}
}

// quantile returns the value that a part of the values does not exceed; 0 if there are none.
func quantile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}

// WriteTable writes the sums of all queues.
func (d *Day) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "queue\tjobs\tcompleted\tfailed\tcancelled\topen\tnot started\tfirst start 50 %\t95 %\tcompleted 50 %\t95 %\tstarts\tfailed runs\tpaces\t")
	queues := d.Queues()
	for _, q := range queues {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t\n", q.Name, q.Jobs, q.Completed, q.Failed, q.Cancelled, q.Open, q.NotStarted,
			seconds(q.FirstStartHalf), seconds(q.FirstStart95), seconds(q.DurationHalf), seconds(q.Duration95), q.Starts, q.FailedRuns, q.Paces)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, q := range queues {
		for _, reason := range slices.Sorted(maps.Keys(q.Waited)) {
			fmt.Fprintf(w, "%s: steps waited %s: %s\n", q.Name, seconds(q.Waited[reason]), reason)
		}
		for _, reason := range slices.Sorted(maps.Keys(q.Stopped)) {
			fmt.Fprintf(w, "%s: %d tasks stopped: %s\n", q.Name, q.Stopped[reason], reason)
		}
	}
	_, err := fmt.Fprintf(w, "owner changed %d times%s\n", len(d.ownerChange), d.ownerTimes())
	return err
}

// ownerTimes lists when the owner changed, in seconds since the first line.
func (d *Day) ownerTimes() string {
	if len(d.ownerChange) == 0 {
		return ""
	}
	var times []string
	for _, at := range d.ownerChange {
		times = append(times, seconds(at.Sub(d.first)))
	}
	return ", at " + strings.Join(times, ", ")
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
