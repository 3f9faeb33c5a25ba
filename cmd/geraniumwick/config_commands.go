package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// waitOptions are the flags of commands that change the configuration.
type waitOptions struct {
	wait  bool
	limit time.Duration
}

// addWait adds the flags of waitOptions to the command.
func addWait(cmd *kingpin.CmdClause, w *waitOptions) {
	cmd.Flag("wait", "Return when every live instance has the revision in force; --no-wait returns once it is accepted.").
		Envar(environmentPrefix + "WAIT").Default("true").BoolVar(&w.wait)
	cmd.Flag("wait-limit", "Longest wait for it.").
		Envar(environmentPrefix + "WAIT_LIMIT").Default("10s").DurationVar(&w.limit)
}

// addConfigCommands adds the commands about the configuration.
func addConfigCommands(app *kingpin.Application, all commands) {
	cmd := app.Command("config", "Check, compare, edit and apply sections of the configuration.")
	addCheck(cmd, all)
	addDiff(cmd, all)
	addEdit(cmd, all)
	addApply(cmd, all)
	addHistory(cmd, all)
}

func addCheck(parent *kingpin.CmdClause, all commands) {
	cmd := parent.Command("check", "Check files, one a section, without changing anything.")
	cmd.HelpLong("The name of a file without its extension is that of its section. With the operators' section among the files they are checked as a whole document, without a call; otherwise the other sections are those in force.\n\nExample:\n\n    geraniumwick config check operators.yaml levy.yaml")
	paths := cmd.Arg("file", "Files to check.").Required().Strings()
	all["config check"] = func(ctx context.Context, c *cli) error { return c.check(ctx, *paths) }
}

func addDiff(parent *kingpin.CmdClause, all commands) {
	cmd := parent.Command("diff", "Show how files differ from the sections in force.")
	cmd.HelpLong("Example:\n\n    geraniumwick config diff levy.yaml")
	paths := cmd.Arg("file", "Files to compare.").Required().Strings()
	all["config diff"] = func(ctx context.Context, c *cli) error { return c.diff(ctx, *paths) }
}

func addApply(parent *kingpin.CmdClause, all commands) {
	var w waitOptions
	cmd := parent.Command("apply", "Replace sections by files, one a section, the operators' section first.")
	cmd.HelpLong("A file that config edit wrote says which revision it is from; it is refused if another edit came since. Any other file creates a new section; to replace one that exists, name the revision that it is to replace, or say --replace to replace whatever is in force.\n\nExamples:\n\n    geraniumwick config apply levy.yaml\n    geraniumwick config apply --expected 1041 levy.yaml\n    geraniumwick config apply --replace examples/nilewave/*.yaml")
	expected := cmd.Flag("expected", "Revision that the one given file replaces.").Default("-1").Int64()
	replace := cmd.Flag("replace", "Replace what is in force, also if another edit came since the file was written.").Bool()
	addWait(cmd, &w)
	paths := cmd.Arg("file", "Files to apply.").Required().Strings()
	all["config apply"] = func(ctx context.Context, c *cli) error {
		return c.apply(ctx, *paths, model.Revision(*expected), *replace, w)
	}
}

func addHistory(parent *kingpin.CmdClause, all commands) {
	cmd := parent.Command("history", "Show the accepted edits that are kept, the newest first.")
	cmd.HelpLong("Example:\n\n    geraniumwick config history operators --limit 5")
	name := cmd.Arg("section", "Section; all if it is left out.").String()
	limit := cmd.Flag("limit", "Largest number of edits.").Default("20").Int()
	all["config history"] = func(ctx context.Context, c *cli) error { return c.history(ctx, *name, *limit) }
}

// check checks files without changing the configuration.
func (c *cli) check(ctx context.Context, paths []string) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	var others []query.ConfigSection
	if files[0].name != config.OperatorsSection {
		document, err := c.document(ctx)
		if err != nil {
			return err
		}
		others = document.Sections
	}
	if problems := checkFiles(files, others); len(problems) > 0 {
		return invalidFiles(problems)
	}
	return c.show(map[string]int{"sections": len(files)}, func() { c.printf("%d sections are valid", len(files)) })
}

// invalidFiles returns the error that lists the problems.
func invalidFiles(problems []config.Problem) error {
	return &failure{
		code:     exitRefused,
		Verdict:  verdict.NotRun,
		Reason:   verdict.ReasonInvalid,
		Message:  (&config.CheckError{Problems: problems}).Error(),
		Problems: problems,
	}
}

// sectionDiff is the difference between a file and the section in force.
type sectionDiff struct {
	Section  string         `json:"section"`
	Revision model.Revision `json:"revision"`
	Changed  bool           `json:"changed"`
	Lines    []string       `json:"lines,omitempty"`

	lines []diffLine
}

// diff compares files with the sections in force.
func (c *cli) diff(ctx context.Context, paths []string) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	document, err := c.document(ctx)
	if err != nil {
		return err
	}
	var diffs []sectionDiff
	for _, f := range files {
		current := section(document, f.name)
		d := sectionDiff{Section: f.name, Revision: current.Revision, lines: diffLines(current.Text, f.text)}
		for _, line := range d.lines {
			if line.kind != ' ' {
				d.Changed = true
				d.Lines = append(d.Lines, string(line.kind)+line.text)
			}
		}
		diffs = append(diffs, d)
	}
	return c.show(diffs, func() {
		for _, d := range diffs {
			c.printSectionDiff(d)
		}
	})
}

// printSectionDiff prints the difference of one section.
func (c *cli) printSectionDiff(d sectionDiff) {
	if !d.Changed {
		c.printf("%s: as in force at revision %d", d.Section, d.Revision)
		return
	}
	c.printf("%s", c.styles.bold(fmt.Sprintf("%s: differs from revision %d", d.Section, d.Revision)))
	printDiff(c.out, c.styles, d.lines)
}

// history shows the accepted edits that the store keeps.
func (c *cli) history(ctx context.Context, name string, limit int) error {
	if limit < 1 {
		return usagef("--limit must be above 0")
	}
	var response query.HistoryResponse
	path := fmt.Sprintf("/v1/config/history?section=%s&limit=%d", url.QueryEscape(name), limit)
	if err := c.client.call(ctx, http.MethodGet, path, nil, &response); err != nil {
		return err
	}
	return c.show(response, func() {
		for _, change := range response.Changes {
			c.printf("%s", c.styles.bold(fmt.Sprintf("revision %d  %s  %s  by %s, replaces %d, line %d", change.Revision, formatTime(change.At), change.Section, oneLine(change.Actor), change.Replaces, change.Line)))
			printChangedLines(c.out, c.styles, change)
		}
		if response.Dropped > 0 {
			c.printf("%d older edits are no longer kept", response.Dropped)
		}
	})
}

// formatTime returns a time in the format of all text output.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05.000Z") }
