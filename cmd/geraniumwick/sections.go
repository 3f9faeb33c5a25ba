package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
)

// revisionComment is the start of the first line of a file that config edit wrote. The line holds the
// revision that the text was read at and is not part of the section.
const revisionComment = "# geraniumwick revision "

// file is a section that was read from a file.
type file struct {
	path string
	name string
	text string
	// base is the revision that the text is based on; hasBase is set if it is known.
	base    model.Revision
	hasBase bool
}

// readFiles reads one section from each file and returns the operators' section first.
func readFiles(paths []string) ([]file, error) {
	var files []file
	seen := map[string]string{}
	for _, path := range paths {
		f, err := readFile(path)
		if err != nil {
			return nil, err
		}
		if other, doubled := seen[f.name]; doubled {
			return nil, usagef("%s and %s are both section %q", other, path, f.name)
		}
		seen[f.name] = path
		files = append(files, f)
	}
	slices.SortStableFunc(files, func(a, b file) int { return sectionRank(a) - sectionRank(b) })
	return files, nil
}

// sectionRank returns a sort key that orders the operators' section before all others, because they
// refer to it.
func sectionRank(f file) int {
	if f.name == config.OperatorsSection {
		return 0
	}
	return 1
}

// readFile reads a section. The section's name is the name of the file without its extension.
func readFile(path string) (file, error) {
	f, err := os.Open(path)
	if err != nil {
		return file{}, usagef("%v", err)
	}
	defer f.Close()
	const limit = config.MaxSectionBytes + 1<<10
	text, err := io.ReadAll(io.LimitReader(f, limit))
	if err != nil {
		return file{}, usagef("%v", err)
	}
	base := filepath.Base(path)
	return splitBase(file{path: path, name: strings.TrimSuffix(base, filepath.Ext(base)), text: string(text)}), nil
}

// splitBase removes the revision comment from the text and sets base to its revision.
func splitBase(f file) file {
	if !strings.HasPrefix(f.text, revisionComment) {
		return f
	}
	first, rest, _ := strings.Cut(f.text, "\n")
	revision, err := strconv.ParseInt(strings.TrimPrefix(first, revisionComment), 10, 64)
	if err != nil || revision < 0 {
		return f
	}
	f.text, f.base, f.hasBase = rest, model.Revision(revision), true
	return f
}

// withBase returns the text with a revision comment as its first line.
func withBase(text string, revision model.Revision) string {
	return fmt.Sprintf("%s%d\n%s", revisionComment, revision, text)
}

// document reads the document in force.
func (c *cli) document(ctx context.Context) (query.ConfigResponse, error) {
	var document query.ConfigResponse
	err := c.client.call(ctx, http.MethodGet, "/v1/config", nil, &document)
	return document, err
}

// section returns the section with the name, or an empty one of revision zero.
func section(document query.ConfigResponse, name string) query.ConfigSection {
	for _, s := range document.Sections {
		if s.Name == name {
			return s
		}
	}
	return query.ConfigSection{Name: name}
}

// checkFiles checks each file, and then the document that the files form with the other sections.
func checkFiles(files []file, others []query.ConfigSection) []config.Problem {
	var problems []config.Problem
	before, after := config.SectionSet{}, config.SectionSet{}
	for _, s := range others {
		if parsed, err := config.Parse(s.Name, []byte(s.Text)); err == nil {
			before[s.Name] = parsed
			after[s.Name] = parsed
		}
	}
	for _, f := range files {
		parsed, err := config.Parse(f.name, []byte(f.text))
		if check, wrong := err.(*config.CheckError); wrong {
			problems = append(problems, check.Problems...)
			continue
		}
		problems = append(problems, config.CheckChange(before[f.name], parsed)...)
		after[f.name] = parsed
	}
	if len(problems) > 0 {
		return problems
	}
	return after.Check()
}
