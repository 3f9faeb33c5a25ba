// Command geraniumwickd runs an instance of geraniumwick: by default with the settings of its flags, or
// on the users' platform with the argument platform. With check-settings FILE it only validates a
// settings file of the platform.
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
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2 // invalid arguments or settings, and any failure on the platform
)

// signalBuffer is the capacity of the channel of signals.
const signalBuffer = 8

func main() {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	os.Exit(execute(os.Args[1:], signals, os.Stdout, os.Stderr))
}

// execute carries out the command line and returns the exit code of the process. An instance runs until
// a signal requests a planned stop.
func execute(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	if len(args) == 1 && args[0] == platformCommand {
		return executePlatform(stdout, stderr)
	}
	if len(args) == 2 && args[0] == checkSettingsCommand {
		return checkSettings(args[1], stdout, stderr)
	}
	s, err := settings.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitUsage
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

// run serves until ctx ends and the planned stop is complete. A stop during the start is not an error.
func run(ctx context.Context, s settings.Settings, log zerolog.Logger) error {
	instance, err := server.New(ctx, s, log)
	if errors.Is(err, server.ErrStopped) {
		log.Info().Str("event", "instance.stopped").Str("reason", err.Error()).Send()
		return nil
	}
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// stopOnSignal calls stop on the first signal. Further signals are only logged: the planned stop has its
// own time limit, and ending it early would abort requests in progress.
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
