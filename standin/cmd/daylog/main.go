// Command daylog reads logs of instances, from files or standard input, and prints where the time of the
// jobs went. With -svg it also plots the jobs that wait and run on the day's time axis.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/geraniumwick/geraniumwick/standin/daylog"
)

func main() {
	plot := flag.String("svg", "", "file for a plot; none if empty")
	flag.Parse()
	if err := run(flag.Args(), *plot); err != nil {
		fmt.Fprintln(os.Stderr, "daylog:", err)
		os.Exit(1)
	}
}

func run(files []string, plot string) error {
	day := daylog.New()
	if len(files) == 0 {
		if err := read(day, "standard input", os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = read(day, name, f)
		_ = f.Close() // only read
		if err != nil {
			return err
		}
	}
	if err := day.WriteTable(os.Stdout); err != nil || plot == "" {
		return err
	}
	f, err := os.Create(plot)
	if err != nil {
		return err
	}
	day.WritePlot(f)
	return f.Close()
}

func read(day *daylog.Day, name string, r io.Reader) error {
	ignored, err := day.Read(r)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if ignored > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are no events and were ignored\n", name, ignored)
	}
	return nil
}
