// Command geraniumwick is the operators' command line: it edits the configuration, takes data
// centres in and out of service, submits jobs, and explains what happened.
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

// streams are the input and the outputs of the command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}
