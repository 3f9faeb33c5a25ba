package main

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// environmentPrefix is the prefix of the names of all environment variables.
const environmentPrefix = "GERANIUMWICK_"

const appHelp = `Operators' command line of geraniumwick, a scheduler for latency-critical and batch work.

Exit codes: 0 done; 1 refused, nothing was changed; 2 wrong arguments; 3 the outcome is not known; 4 accepted, but not in force on every live instance in time; 5 no instance answered, nothing was changed; 6 not found.

Completion for bash: eval "$(geraniumwick --completion-script-bash)". For zsh: eval "$(geraniumwick --completion-script-zsh)".`

// options are the flags that all commands share.
type options struct {
	addresses string
	token     string
	actor     string
	caFile    string
	output    string
	colour    string
	timeout   time.Duration
}

// cli holds what the commands need.
type cli struct {
	streams
	opts   options
	client *client
	styles styles
	// now returns the current time.
	now func() time.Time
	// progressShown is set while progress shows a message.
	progressShown atomic.Bool
}

// action executes a command.
type action func(ctx context.Context, c *cli) error

// commands maps the full name of a command to its action.
type commands map[string]action

// newApp returns the parser of the command line and the commands. The parser calls exit, in place of
// os.Exit, after it has printed help or completions.
func newApp(s streams, opts *options, exit func(int)) (*kingpin.Application, commands) {
	app := kingpin.New("geraniumwick", appHelp)
	app.UsageWriter(s.out).ErrorWriter(s.err).Terminate(exit)
	app.HelpFlag.Short('h')
	app.UsageTemplate(usageTemplate())
	addOptions(app, opts)
	all := commands{}
	addConfigCommands(app, all)
	addDataCentreCommands(app, all)
	addJobCommands(app, all)
	addPlatformCommands(app, all)
	addReadCommands(app, all)
	return app, all
}

// usageTemplate returns kingpin's default template, extended by the long help of the selected command,
// which holds its examples.
func usageTemplate() string {
	const usage = `{{template "FormatUsage" .Context.SelectedCommand}}`
	const long = `{{if .Context.SelectedCommand.HelpLong}}
{{.Context.SelectedCommand.HelpLong|Wrap 0}}{{end}}`
	return strings.Replace(kingpin.DefaultUsageTemplate, usage, usage+long, 1)
}

// addOptions adds the shared flags.
func addOptions(app *kingpin.Application, o *options) {
	app.Flag("address", "URLs of the operators' listeners, separated by commas; the next is used if one cannot be connected to.").
		Envar(environmentPrefix + "ADDRESS").Default("http://127.0.0.1:7401").StringVar(&o.addresses)
	app.Flag("token", "Bearer token; better given by the environment.").
		Envar(environmentPrefix + "TOKEN").StringVar(&o.token)
	app.Flag("actor", "Name of the person for the audit trail.").
		Envar(environmentPrefix + "ACTOR").StringVar(&o.actor)
	app.Flag("ca-file", "File with the certificates that an https address is checked against, in PEM.").
		Envar(environmentPrefix + "CA_FILE").StringVar(&o.caFile)
	app.Flag("output", "Form of the output: text or json.").Short('o').
		Envar(environmentPrefix+"OUTPUT").Default("text").EnumVar(&o.output, "text", "json")
	app.Flag("colour", "Colours in text output: auto, always or never.").
		Envar(environmentPrefix+"COLOUR").Default("auto").EnumVar(&o.colour, "auto", "always", "never")
	app.Flag("timeout", "Longest time of one call.").
		Envar(environmentPrefix + "TIMEOUT").Default("20s").DurationVar(&o.timeout)
}

// run executes one command line and returns the exit code. After help and completion it calls exit,
// which must not return.
func run(ctx context.Context, args []string, s streams, exit func(int)) int {
	var opts options
	app, all := newApp(s, &opts, exit)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(s.err, "geraniumwick: %v; see geraniumwick --help\n", err)
		return exitUsage
	}
	c, err := newCLI(s, opts)
	if err == nil {
		err = all[name](ctx, c)
	}
	if err == nil {
		return exitDone
	}
	return report(s, opts, err)
}

// newCLI checks the shared flags and returns the state of a command line.
func newCLI(s streams, opts options) (*cli, error) {
	if opts.timeout <= 0 {
		return nil, usagef("--timeout must be above 0")
	}
	c := &cli{streams: s, opts: opts, now: time.Now, styles: newStyles(s.out, opts.colour)}
	client, err := newClient(opts, c.progress)
	if err != nil {
		return nil, err
	}
	c.client = client
	return c, nil
}
