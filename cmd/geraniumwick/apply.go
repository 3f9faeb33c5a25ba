package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// apply replaces sections by the contents of files.
func (c *cli) apply(ctx context.Context, paths []string, expected model.Revision, replace bool, w waitOptions) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	if expected >= 0 && len(files) != 1 {
		return usagef("--expected is for one file")
	}
	document, err := c.document(ctx)
	if err != nil {
		return err
	}
	if problems := checkFiles(files, document.Sections); len(problems) > 0 {
		return invalidFiles(problems)
	}
	var accepted []config.EditResult
	for _, f := range files {
		base, err := baseRevision(f, section(document, f.name), expected, replace)
		if err != nil {
			return withAcceptedSections(accepted, err)
		}
		result, err := c.put(ctx, f, base)
		if err != nil {
			return withAcceptedSections(accepted, err)
		}
		accepted = append(accepted, result)
	}
	return c.finishEdit(ctx, accepted, w)
}

// baseRevision returns the revision that the file replaces, or an error if it must be given by a flag.
func baseRevision(f file, current query.ConfigSection, expected model.Revision, replace bool) (model.Revision, error) {
	switch {
	case expected >= 0:
		return expected, nil
	case replace, current.Text == f.text:
		return current.Revision, nil
	case f.hasBase:
		return f.base, nil
	case current.Revision == 0:
		return 0, nil
	}
	return 0, refusedf("section %q is at revision %d and differs; look at it by config diff, then say --expected %d or --replace", f.name, current.Revision, current.Revision)
}

// withAcceptedSections adds the sections that were accepted before the error to its message. The
// verdict becomes may-have-run, because part of the command was carried out.
func withAcceptedSections(accepted []config.EditResult, err error) error {
	var f *failure
	if len(accepted) == 0 || !errors.As(err, &f) {
		return err
	}
	for _, a := range accepted {
		f.Message += fmt.Sprintf("\nsection %q was accepted before that, as revision %d", a.Section, a.Revision)
	}
	f.code, f.Verdict = exitUnknown, verdict.MayHaveRun
	return f
}

// put replaces one section.
func (c *cli) put(ctx context.Context, f file, base model.Revision) (config.EditResult, error) {
	var accepted config.EditResult
	path := fmt.Sprintf("/v1/config/sections/%s?expected=%d", url.PathEscape(f.name), base)
	err := c.client.call(ctx, http.MethodPut, path, []byte(f.text), &accepted)
	return accepted, err
}

// finishEdit waits until the accepted edits are in force, if the flags ask for it, and prints them.
func (c *cli) finishEdit(ctx context.Context, accepted []config.EditResult, w waitOptions) error {
	highest := model.Revision(0)
	for _, a := range accepted {
		highest = max(highest, a.Revision)
	}
	if w.wait {
		if err := c.waitInForce(ctx, highest, w.limit); err != nil {
			return err
		}
	}
	return c.show(editResult{Accepted: accepted, InForce: w.wait}, func() {
		for _, a := range accepted {
			c.printf("%s", describeAccepted(a))
		}
		if w.wait {
			c.printf("%s", c.styles.good("in force on every live instance"))
		}
	})
}

// editResult is the JSON form of a finished edit.
type editResult struct {
	Accepted []config.EditResult `json:"accepted"`
	// InForce is set if the command waited until every live instance had the revision in force.
	InForce bool `json:"inForce"`
}

// describeAccepted returns a line about the result of one edit.
func describeAccepted(a config.EditResult) string {
	if a.Unchanged {
		return fmt.Sprintf("%s: unchanged at revision %d", a.Section, a.Revision)
	}
	return fmt.Sprintf("%s: accepted as revision %d", a.Section, a.Revision)
}

func addEdit(parent *kingpin.CmdClause, all commands) {
	var w waitOptions
	cmd := parent.Command("edit", "Write a section to a file, and apply it when you say so.")
	cmd.HelpLong("The file says which revision it is from. Change it with any editor, then press Enter. A text with faults, and one that another edit came before, can be changed and applied again; nothing is lost. Without a terminal the file is written, and config apply applies it.\n\nExample:\n\n    geraniumwick config edit levy")
	name := cmd.Arg("section", "Section to edit; a new one if it does not exist.").Required().String()
	path := cmd.Flag("file", "File to write; the section's name and .yaml by default.").String()
	addWait(cmd, &w)
	all["config edit"] = func(ctx context.Context, c *cli) error { return c.edit(ctx, *name, *path, w) }
}

// edit writes a section to a file, and on a terminal applies the file each time Enter is pressed.
func (c *cli) edit(ctx context.Context, name, path string, w waitOptions) error {
	if path == "" {
		path = name + ".yaml"
	}
	document, err := c.document(ctx)
	if err != nil {
		return err
	}
	current := section(document, name)
	if err := writeNew(path, withBase(current.Text, current.Revision)); err != nil {
		return err
	}
	if !isTerminal(c.in) {
		return c.show(current, func() {
			c.printf("wrote %s at revision %d; change it, then: geraniumwick config apply %s", path, current.Revision, path)
		})
	}
	return c.applyOnEnter(ctx, name, path, w)
}

// writeNew writes a file that must not exist yet.
func writeNew(path, text string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return usagef("%v", err)
	}
	_, err = f.WriteString(text)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// applyOnEnter applies the file each time Enter is pressed, until it is accepted or the input ends.
func (c *cli) applyOnEnter(ctx context.Context, name, path string, w waitOptions) error {
	input := bufio.NewReader(c.in)
	for {
		c.printf("Change %s, then press Enter to apply it; Ctrl-D leaves it as it is.", path)
		if _, err := input.ReadString('\n'); err != nil {
			return refusedf("left %s as it is", path)
		}
		accepted, err := c.applyOnce(ctx, name, path)
		if err == nil {
			return c.finishEdit(ctx, accepted, w)
		}
		var f *failure
		if !errors.As(err, &f) || f.code != exitRefused {
			return err
		}
		report(c.streams, c.opts, err)
		if f.Conflict != nil {
			c.printf("Merge the other edit into %s and set its first line to: %s%d", path, revisionComment, f.Conflict.Current)
		}
	}
}

// applyOnce reads, checks and applies the file.
func (c *cli) applyOnce(ctx context.Context, name, path string) ([]config.EditResult, error) {
	f, err := readFile(path)
	if err != nil {
		return nil, err
	}
	f.name = name
	if !f.hasBase {
		return nil, refusedf("the first line of %s must be: %sN", path, revisionComment)
	}
	accepted, err := c.put(ctx, f, f.base)
	return []config.EditResult{accepted}, err
}
