package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/internal/reply"
)

// addJobCommands adds the commands about jobs.
func addJobCommands(app *kingpin.Application, all commands) {
	cmd := app.Command("job", "Submit, cancel, resume and look at jobs.")
	addSubmit(cmd, all)
	addJobCall(cmd, all, "cancel", "Cancel a job.", http.MethodDelete, "")
	addJobCall(cmd, all, "resume", "Queue a parked job again.", http.MethodPost, "/resume")
	addJobCall(cmd, all, "status", "Show a job.", http.MethodGet, "")
	addJobList(cmd, all)
}

// submission holds the arguments of job submit.
type submission struct {
	id          string
	file        string
	payloadFile string
	spec        model.JobSpec
	dataCentres []string
	urgent      bool
	service     bool
}

func addSubmit(parent *kingpin.CmdClause, all commands) {
	var s submission
	cmd := parent.Command("submit", "Submit a job. Submitting the same job again changes nothing.")
	cmd.HelpLong("What is left out comes from the job's class in the section of its team.\n\nExamples:\n\n    geraniumwick job submit levy/recalc-0417 --class recalculation --customer delta-drinks\n    geraniumwick job submit --file job.json")
	cmd.Arg("id", "Job id in the form team/name.").StringVar(&s.id)
	cmd.Flag("file", "File with the job in JSON, in place of the other flags.").StringVar(&s.file)
	cmd.Flag("class", "Job class.").StringVar((*string)(&s.spec.Class))
	cmd.Flag("customer", "Customer for whom the job is executed.").StringVar((*string)(&s.spec.Customer))
	cmd.Flag("milli-cpu", "Processor time, in thousandths of a core.").Int64Var(&s.spec.Declared.MilliCPU)
	cmd.Flag("memory-mb", "Memory, in megabytes.").Int64Var(&s.spec.Declared.MemoryMB)
	cmd.Flag("accelerators", "Accelerators.").Int64Var(&s.spec.Declared.Accelerators)
	cmd.Flag("run", "Expected run time.").DurationVar(&s.spec.DeclaredRun)
	cmd.Flag("data-centre", "Data centre where the job may run; may be repeated.").StringsVar(&s.dataCentres)
	cmd.Flag("urgent", "Urgent work, if the class is urgent.").BoolVar(&s.urgent)
	cmd.Flag("service", "A task of a latency-critical service; the class is the service's name.").BoolVar(&s.service)
	cmd.Flag("payload-file", "File that is passed to the worker unread.").StringVar(&s.payloadFile)
	all["job submit"] = func(ctx context.Context, c *cli) error { return c.submit(ctx, s) }
}

// submit sends a job.
func (c *cli) submit(ctx context.Context, s submission) error {
	spec, err := s.read()
	if err != nil {
		return err
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return usagef("%v", err)
	}
	return c.jobCall(ctx, http.MethodPost, "/v1/jobs", body)
}

// read returns the job that the flags or the file describe.
func (s *submission) read() (model.JobSpec, error) {
	if s.file != "" {
		return readJobFile(s.file, s.id)
	}
	team, _, found := strings.Cut(s.id, "/")
	if !found {
		return model.JobSpec{}, usagef("the job id must have the form team/name, or --file must name the job")
	}
	spec := s.spec
	spec.ID = model.JobID(s.id)
	spec.Team = model.Team(team)
	for _, dc := range s.dataCentres {
		spec.DataCentres = append(spec.DataCentres, model.DataCentre(dc))
	}
	switch {
	case s.urgent && s.service:
		return spec, usagef("a job cannot be both --urgent and --service")
	case s.urgent:
		spec.Priority = model.PriorityUrgent
	case s.service:
		spec.Priority = model.PriorityService
	}
	if s.payloadFile == "" {
		return spec, nil
	}
	payload, err := os.ReadFile(s.payloadFile)
	if err != nil {
		return spec, usagef("%v", err)
	}
	spec.Payload = payload
	return spec, nil
}

// readJobFile reads a job in JSON.
func readJobFile(path, id string) (model.JobSpec, error) {
	if id != "" {
		return model.JobSpec{}, usagef("give the job id or --file, not both")
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return model.JobSpec{}, usagef("%v", err)
	}
	var spec model.JobSpec
	if err := reply.DecodeBytes(content, &spec); err != nil {
		return model.JobSpec{}, usagef("%s: %v", path, err)
	}
	return spec, nil
}

func addJobCall(parent *kingpin.CmdClause, all commands, verb, help, method, suffix string) {
	cmd := parent.Command(verb, help)
	cmd.HelpLong("Example:\n\n    geraniumwick job " + verb + " levy/recalc-0417")
	id := cmd.Arg("id", "Job id in the form team/name.").Required().String()
	all["job "+verb] = func(ctx context.Context, c *cli) error {
		team, name, found := strings.Cut(*id, "/")
		if !found || team == "" || name == "" {
			return usagef("job id %q must have the form team/name", *id)
		}
		return c.jobCall(ctx, method, "/v1/jobs/"+url.PathEscape(team)+"/"+url.PathEscape(name)+suffix, nil)
	}
}

// jobCall makes a call that answers with a job, and prints it.
func (c *cli) jobCall(ctx context.Context, method, path string, body []byte) error {
	var status ledger.JobStatus
	if err := c.client.call(ctx, method, path, body, &status); err != nil {
		return err
	}
	return c.show(status, func() { c.printJob(status) })
}

// printJob prints one job, a field a line.
func (c *cli) printJob(s ledger.JobStatus) {
	c.printf("%s", c.styles.bold(string(s.Spec.ID)))
	field := func(name, value string) {
		if value != "" {
			c.printf("  %-12s %s", name, oneLine(value))
		}
	}
	field("state", s.State.String())
	field("reason", s.Reason)
	field("class", string(s.Spec.Class))
	field("customer", string(s.Spec.Customer))
	field("submitted", formatTime(s.Submitted))
	field("worker", string(s.Worker))
	field("attempt", fmt.Sprint(s.Attempt))
	field("progress", fmt.Sprintf("%.0f %%", s.Progress*100))
	field("evictions", fmt.Sprint(s.Evictions))
	field("failures", fmt.Sprint(s.Failures))
	field("declared", describeResources(s.Spec.Declared))
}

// describeResources returns the resources as text.
func describeResources(r model.Resources) string {
	text := fmt.Sprintf("%d mCPU, %d MB", r.MilliCPU, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}

func addJobList(parent *kingpin.CmdClause, all commands) {
	cmd := parent.Command("list", "List jobs.")
	cmd.HelpLong("Example:\n\n    geraniumwick job list --team levy --state parked")
	team := cmd.Flag("team", "Only jobs of this team; needed unless you are an operator.").String()
	state := cmd.Flag("state", "Only jobs in this state.").Enum("queued", "running", "evicting", "finished", "cancelled", "parked", "transferred")
	all["job list"] = func(ctx context.Context, c *cli) error { return c.listJobs(ctx, *team, *state) }
}

// listJobs prints the jobs of a team.
func (c *cli) listJobs(ctx context.Context, team, state string) error {
	var response query.JobList
	if err := c.client.call(ctx, http.MethodGet, "/v1/jobs?team="+url.QueryEscape(team), nil, &response); err != nil {
		return err
	}
	kept := []ledger.JobStatus{}
	for _, s := range response.Jobs {
		if state == "" || s.State.String() == state {
			kept = append(kept, s)
		}
	}
	return c.show(query.JobList{Jobs: kept}, func() {
		rows := [][]string{{"JOB", "STATE", "CLASS", "ATTEMPT", "PROGRESS", "EVICTIONS", "WORKER", "SUBMITTED", "REASON"}}
		for _, s := range kept {
			rows = append(rows, []string{
				string(s.Spec.ID), s.State.String(), string(s.Spec.Class), fmt.Sprint(s.Attempt),
				fmt.Sprintf("%.0f %%", s.Progress*100), fmt.Sprint(s.Evictions), string(s.Worker),
				s.Submitted.UTC().Format(time.DateTime), s.Reason,
			})
		}
		c.table(rows)
	})
}
