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

// revisionComment starts the first line of a file that config edit wrote. It says which
// revision the text is from, and is not part of the section.
const revisionComment = "# geraniumwick revision "

// file is a section in a file.
type file struct {
	path string
	name string
	text string
	// base is the revision that the text is from; hasBase says that it is known.
	base    model.Revision
	hasBase bool
}

// readFiles reads the files, one a section, the operators' section first.
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
	slices.SortStableFunc(files, func(a, b file) int { return rank(a) - rank(b) })
	return files, nil
}

// rank orders the operators' section before all others, which refer to it.
func rank(f file) int {
	if f.name == config.OperatorsSection {
		return 0
	}
	return 1
}

// readFile reads one file; its name without extension is that of the section.
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

// splitBase takes the revision comment off the text.
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

// withBase returns the text with its revision comment.
func withBase(text string, revision model.Revision) string {
	return fmt.Sprintf("%s%d\n%s", revisionComment, revision, text)
}

// document reads the document in force.
func (c *cli) document(ctx context.Context) (query.ConfigResponse, error) {
	var answer query.ConfigResponse
	err := c.client.call(ctx, http.MethodGet, "/v1/config", nil, &answer)
	return answer, err
}

// section returns the section with the name, or an empty one of revision zero.
func section(answer query.ConfigResponse, name string) query.ConfigSection {
	for _, s := range answer.Sections {
		if s.Name == name {
			return s
		}
	}
	return query.ConfigSection{Name: name}
}

// checkFiles checks each file and the document that they form together with the rest.
func checkFiles(files []file, rest []query.ConfigSection) []config.Problem {
	var problems []config.Problem
	before, after := config.SectionSet{}, config.SectionSet{}
	for _, s := range rest {
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
