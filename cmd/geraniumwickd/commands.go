package main

import (
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/geraniumwick/geraniumwick/internal/settings"
)

// command names what a command line asks for.
type command string

const (
	// serveCommand runs an instance with the settings of its flags. It is the default.
	serveCommand command = "serve"
	// platformCommand runs an instance on the users' platform.
	platformCommand command = "platform"
	// checkSettingsCommand validates a settings file of the platform.
	checkSettingsCommand command = "check-settings"
	// helpShown means that the help was asked for and has been printed.
	helpShown command = "help"
)

// commandLine is a command with its arguments.
type commandLine struct {
	command command
	// settings are those of serveCommand.
	settings settings.Settings
	// file is the argument of checkSettingsCommand.
	file string
}

// parseCommandLine parses the arguments, which exclude the program's name, and the environment. The help goes to out.
func parseCommandLine(args []string, out io.Writer) (commandLine, error) {
	exited := false
	app := kingpin.New("geraniumwickd", "Entry instance of geraniumwick, a scheduler for latency-critical and batch work.")
	app.UsageWriter(out).ErrorWriter(out).Terminate(func(int) { exited = true })
	app.UsageTemplate(usageTemplate())
	flags := settings.AddFlags(app.Command(string(serveCommand), "Run an instance with the settings of its flags (default).").Default())
	app.Command(string(platformCommand), "Run an instance on the users' platform. GERANIUMWICK_BOOT holds the path of its settings file.")
	check := app.Command(string(checkSettingsCommand), "Check a settings file of the users' platform, without a start.")
	file := check.Arg("file", "Path of the settings file.").Required().String()
	name, err := app.Parse(args)
	switch {
	case exited:
		return commandLine{command: helpShown}, nil
	case err != nil:
		return commandLine{}, err
	}
	c := commandLine{command: command(name), file: *file}
	if c.command == serveCommand {
		c.settings, err = flags.Settings()
	}
	return c, err
}

// usageTemplate returns kingpin's default template, extended by the flags of each command, so that the help names all
// settings.
func usageTemplate() string {
	const help = `{{.Help|Wrap 4}}
`
	const flags = `{{with .Flags|FlagsToTwoColumns}}{{FormatTwoColumnsWithIndent . 4 2}}
{{end -}}
`
	return strings.Replace(kingpin.DefaultUsageTemplate, help, help+flags, 1)
}
