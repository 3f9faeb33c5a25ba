package main

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"
)

// TestPageListsEveryFlagWithAVariable compares the flags that have an environment variable with
// SETTINGS.md. Flags without a variable belong to a single command and are described in its help only.
func TestPageListsEveryFlagWithAVariable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	_, got, found := strings.Cut(string(page), "## geraniumwick\n")
	is.True(found)
	app, _ := newApp(streams{}, &options{}, nil)
	seen := map[string]bool{}
	rows := flagRows(app.Model().Flags, seen)
	for _, cmd := range app.Model().FlattenedCommands() {
		rows = append(rows, flagRows(cmd.Flags, seen)...)
	}
	is.True(strings.Contains(got, "\n"+strings.Join(rows, "\n")+"\n"))
	is.Equal(strings.Count(got, "| `--"), len(rows))
}

// flagRows returns the table rows of the flags that have an environment variable and are not in seen.
func flagRows(flags []*kingpin.FlagModel, seen map[string]bool) []string {
	var rows []string
	for _, f := range flags {
		if f.Envar == "" || seen[f.Name] {
			continue
		}
		seen[f.Name] = true
		value := "none"
		if len(f.Default) > 0 {
			value = "`" + f.Default[0] + "`"
		}
		rows = append(rows, "| `--"+f.Name+"` | `"+f.Envar+"` | "+value+" | "+f.Help+" |")
	}
	return rows
}
