package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a command or a flag that the help does not name.
func TestHelpNamesAllCommands(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"help"}} {
		is := is.New(t)
		var stdout, stderr bytes.Buffer
		is.Equal(execute(args, nil, &stdout, &stderr), exitDone)
		is.Equal(stderr.String(), "")
		for _, name := range []string{"serve*", "platform\n", "check-settings <file>", "--data-centre=", "GERANIUMWICK_BOOT"} {
			if !strings.Contains(stdout.String(), name) {
				t.Errorf("%v does not name %q:\n%s", args, name, stdout.String())
			}
		}
	}
}

func TestHelpOfOneCommand(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	is.Equal(execute([]string{"check-settings", "--help"}, nil, &stdout, &stderr), exitDone)
	is.True(strings.Contains(stdout.String(), "usage: geraniumwickd check-settings <file>"))
	is.Equal(stderr.String(), "")
}

func TestCommandLines(t *testing.T) {
	required := []string{"--data-centre=a", "--store=http://127.0.0.1:1", "--inventory=http://127.0.0.1:2"}
	cases := []struct {
		name string
		args []string
		want command
		err  string
	}{
		{"flags alone run an instance", required, serveCommand, ""},
		{"the default can be named", append([]string{"serve"}, required...), serveCommand, ""},
		{"the platform needs no flags", []string{"platform"}, platformCommand, ""},
		{"a settings file is checked", []string{"check-settings", "local.yaml"}, checkSettingsCommand, ""},
		{"the settings file must be named", []string{"check-settings"}, "", "required argument 'file' not provided"},
		{"the platform takes no arguments", []string{"platform", "extra"}, "", "unexpected extra"},
		{"the platform takes no flags", []string{"platform", "--data-centre=a"}, "", "unknown long flag '--data-centre'"},
		{"an unknown command is named", []string{"plattform"}, "", "unexpected plattform"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			line, err := parseCommandLine(c.args, &bytes.Buffer{})
			if c.err != "" {
				is.True(err != nil)
				is.Equal(err.Error(), c.err)
				return
			}
			is.NoErr(err)
			is.Equal(line.command, c.want)
		})
	}
}
