// Command geraniumwickd runs an instance of geraniumwick: with the settings of its flags (serve, the default), or on the
// users' platform (platform). With check-settings FILE it only validates a settings file of the platform.
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
	line, err := parseCommandLine(args, stdout)
	if err != nil {
		fmt.Fprintln(stderr, "geraniumwickd:", err)
		return exitUsage
	}
	switch line.command {
	case helpShown:
		return exitDone
	case platformCommand:
		return executePlatform(stdout, stderr)
	case checkSettingsCommand:
		return checkSettings(line.file, stdout, stderr)
	default:
		return serve(line.settings, signals, stdout, stderr)
	}
}

// serve runs an instance with the settings of its flags and returns the exit code of the process.
func serve(s settings.Settings, signals <-chan os.Signal, stdout, stderr io.Writer) int {
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
