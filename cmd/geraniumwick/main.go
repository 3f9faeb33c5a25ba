// Command geraniumwick is the command line of operators. It edits the configuration, takes data centres
// out of service and back in, submits jobs, and shows the status and the audit trail.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}, os.Exit)
	stop()
	os.Exit(code)
}

// streams holds the standard streams of the command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}
