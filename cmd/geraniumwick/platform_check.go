package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/configcheck"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
	"github.com/geraniumwick/geraniumwick/platform"
)

// maxPlatformConfigBytes bounds the file of a platform's configuration. The store takes less.
const maxPlatformConfigBytes = 16 << 20

// addPlatformCommands adds the commands for instances on the users' platform.
func addPlatformCommands(app *kingpin.Application, all commands) {
	cmd := app.Command("platform", "Commands for instances on the users' platform (geraniumwickd platform).")
	addPlatformCheck(cmd, all)
}

func addPlatformCheck(parent *kingpin.CmdClause, all commands) {
	cmd := parent.Command("check", "Check the platform's configuration in a file before it is sent to the store; changes nothing.")
	cmd.HelpLong("It prints errors, warnings and, with the version in force, what differs from it. API keys are never printed. Exit codes: 0 no errors, 1 errors, 2 wrong arguments or a file that cannot be read, 5 the store did not answer, 6 the store has no configuration.\n\nExamples:\n\n    geraniumwick platform check next.json\n    geraniumwick platform check next.json --in-force now.json\n    geraniumwick --output json platform check next.json --store 10.0.0.2:2379")
	path := cmd.Arg("file", "File with the configuration in JSON.").Required().String()
	inForce := cmd.Flag("in-force", "File with the configuration in force.").String()
	store := cmd.Flag("store", "Address of the platform's store, HOST:PORT, to read the configuration in force from.").String()
	all["platform check"] = func(ctx context.Context, c *cli) error { return c.platformCheck(ctx, *path, *inForce, *store) }
}

// platformReport is the result of a check.
type platformReport struct {
	Errors   int               `json:"errors"`
	Warnings int               `json:"warnings"`
	Findings []platformFinding `json:"findings"`
	// Compared is set if a version in force was given and could be compared.
	Compared bool             `json:"compared"`
	Changes  []platformChange `json:"changes"`
}

// platformFinding is a finding with the name of its field in the document.
type platformFinding struct {
	Severity configcheck.Severity `json:"severity"`
	Subject  string               `json:"subject,omitempty"`
	Field    string               `json:"field,omitempty"`
	Message  string               `json:"message"`
}

// platformChange is a difference from the version in force.
type platformChange struct {
	Kind    configcheck.ChangeKind `json:"kind"`
	Subject string                 `json:"subject"`
	Details []string               `json:"details,omitempty"`
}

// platformCheck checks a configuration, compares it with the one in force if that is given, and prints the report.
func (c *cli) platformCheck(ctx context.Context, path, inForcePath, store string) error {
	if inForcePath != "" && store != "" {
		return usagef("give --in-force or --store, not both")
	}
	next, err := readPlatformConfig(path)
	if err != nil {
		return err
	}
	var inForce []byte
	switch {
	case inForcePath != "":
		inForce, err = readPlatformConfig(inForcePath)
	case store != "":
		inForce, err = c.readPlatformStore(ctx, platform.NewStore(store, zerolog.Nop()))
	}
	if err != nil {
		return err
	}
	report := newPlatformReport(next, inForce, inForcePath != "" || store != "")
	if err := c.show(report, func() { c.printPlatformReport(report) }); err != nil {
		return err
	}
	if report.Errors > 0 {
		return refusedf("errors in the configuration: %d", report.Errors)
	}
	return nil
}

// readPlatformConfig reads a file with a platform's configuration.
func readPlatformConfig(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxPlatformConfigBytes+1))
	if err != nil {
		return nil, usagef("%v", err)
	}
	if len(data) > maxPlatformConfigBytes {
		return nil, usagef("%s is larger than %d bytes", path, maxPlatformConfigBytes)
	}
	return data, nil
}

// readPlatformStore reads the configuration in force from the platform's store.
func (c *cli) readPlatformStore(ctx context.Context, store kv.Store) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.timeout)
	defer cancel()
	data, err := platform.ReadConfig(ctx, store)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return nil, &failure{code: exitNotFound, Verdict: verdict.NotRun, Reason: verdict.ReasonUnknownID, Message: "the store has no configuration"}
	case err != nil:
		return nil, &failure{code: exitUnreachable, Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable, Message: fmt.Sprintf("the configuration in force cannot be read from the store: %v", err)}
	}
	return data, nil
}

// newPlatformReport checks a configuration and compares it with the one in force if there is one.
func newPlatformReport(next, inForce []byte, hasInForce bool) platformReport {
	report := platformReport{Findings: []platformFinding{}, Changes: []platformChange{}}
	document, findings := platform.DecodeDocument(next)
	readable := !configcheck.HasErrors(findings)
	report.add(findings)
	if readable {
		report.add(configcheck.Check(document))
	}
	if !hasInForce {
		return report
	}
	former, findings := platform.DecodeDocument(inForce)
	switch {
	case !readable:
		report.add([]configcheck.Finding{{Severity: configcheck.Warning, Message: "the file cannot be read, so it is not compared with the version in force"}})
	case configcheck.HasErrors(findings):
		report.add([]configcheck.Finding{{Severity: configcheck.Error, Message: "the version in force cannot be read, so nothing is compared with it"}})
	default:
		report.Compared = true
		changes, findings := configcheck.Compare(document, former)
		report.add(findings)
		for _, change := range changes {
			report.Changes = append(report.Changes, platformChange(change))
		}
	}
	return report
}

// add adds findings and counts them.
func (r *platformReport) add(findings []configcheck.Finding) {
	for _, f := range findings {
		if f.Severity == configcheck.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
		r.Findings = append(r.Findings, platformFinding{f.Severity, f.Subject, platform.ConfigFieldName(f.Field), f.Message})
	}
}

// printPlatformReport prints the report, the errors first.
func (c *cli) printPlatformReport(r platformReport) {
	for _, severity := range []configcheck.Severity{configcheck.Error, configcheck.Warning} {
		for _, f := range r.Findings {
			if f.Severity == severity {
				c.printPlatformFinding(f)
			}
		}
	}
	if r.Compared {
		c.printPlatformChanges(r.Changes)
	}
	c.printf("errors: %d, warnings: %d", r.Errors, r.Warnings)
}

func (c *cli) printPlatformFinding(f platformFinding) {
	severity := c.styles.warn(string(f.Severity))
	if f.Severity == configcheck.Error {
		severity = c.styles.bad(string(f.Severity))
	}
	place := strings.Join(strings.Fields(f.Subject+" "+f.Field), " ")
	if place != "" {
		place += ": "
	}
	c.printf("%s: %s", severity, oneLine(place+f.Message))
}

func (c *cli) printPlatformChanges(changes []platformChange) {
	if len(changes) == 0 {
		c.printf("nothing differs from the version in force")
		return
	}
	c.printf("%s", c.styles.bold("differs from the version in force:"))
	for _, change := range changes {
		text := fmt.Sprintf("%s %s", change.Subject, change.Kind)
		if len(change.Details) > 0 {
			text += ": " + strings.Join(change.Details, "; ")
		}
		c.printf("  %s", oneLine(text))
	}
}
