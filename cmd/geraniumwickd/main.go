// Command geraniumwickd is an entry instance of geraniumwick.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/server"
	"github.com/geraniumwick/geraniumwick/internal/settings"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	s, err := settings.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "geraniumwickd:", err)
		os.Exit(exitSettings)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "geraniumwickd:", err)
		os.Exit(exitFailed)
	}
}

// run serves until SIGTERM or SIGINT asks for a planned stop.
func run(s settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stdout).Level(s.LogLevel).With().Timestamp().Logger()
	v, err := server.New(ctx, s, log)
	if err != nil {
		return err
	}
	return v.Run(ctx)
}
