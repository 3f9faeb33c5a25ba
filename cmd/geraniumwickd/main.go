// Command geraniumwickd is an entry instance of geraniumwick.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/server"
	"github.com/geraniumwick/geraniumwick/internal/settings"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

// signalBound is the number of signals that may wait to be handled.
const signalBound = 8

func main() {
	signals := make(chan os.Signal, signalBound)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	os.Exit(execute(os.Args[1:], signals, os.Stdout, os.Stderr))
}

// execute runs an instance until a signal asks for a planned stop, and returns the exit
// code of the process.
func execute(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	if len(args) == 1 && args[0] == platformCommand {
		return executePlatform(stdout, stderr)
	}
	if len(args) == 2 && args[0] == checkCommand {
		return checkSettings(args[1], stdout, stderr)
	}
	s, err := settings.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitSettings
	}
	log := zerolog.New(stdout).Level(s.LogLevel).With().Timestamp().Logger()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go stopOnSignal(ctx, signals, stop, log)
	if err := run(ctx, s, log); err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitFailed
	}
	return exitDone
}

// run serves until ctx ends and the planned stop is done. A stop during the start is no
// failure.
func run(ctx context.Context, s settings.Settings, log zerolog.Logger) error {
	v, err := server.New(ctx, s, log)
	if errors.Is(err, server.ErrStopped) {
		log.Info().Str("event", "instance.stopped").Str("reason", err.Error()).Send()
		return nil
	}
	if err != nil {
		return err
	}
	return v.Run(ctx)
}

// stopOnSignal calls stop at the first signal. Further signals are only logged: the planned
// stop has its own time limit, and ending it early would cut off requests.
func stopOnSignal(ctx context.Context, signals <-chan os.Signal, stop func(), log zerolog.Logger) {
	select {
	case s := <-signals:
		log.Info().Str("event", "signal.received").Str("signal", s.String()).Send()
		stop()
	case <-ctx.Done():
		return
	}
	for s := range signals {
		log.Info().Str("event", "signal.repeated").Str("signal", s.String()).Send()
	}
}
