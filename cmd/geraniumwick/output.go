package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// progressDelay is the time before the first progress message and between updates of it.
const progressDelay = time.Second

// styles colours text if enabled is set.
type styles struct {
	enabled bool
}

// newStyles returns the styles for the value of --colour. With auto, colours are enabled on a terminal
// unless NO_COLOR is set.
func newStyles(w io.Writer, colour string) styles {
	switch colour {
	case "always":
		return styles{enabled: true}
	case "never":
		return styles{}
	}
	return styles{enabled: isTerminal(w) && os.Getenv("NO_COLOR") == ""}
}

// isTerminal reports whether the writer is a terminal.
func isTerminal(w any) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (s styles) paint(code, text string) string {
	if !s.enabled {
		return text
	}
	return "\x1b[" + code + "m" + text + "\x1b[0m"
}

// good, bad, warn and bold return the text in green, red, yellow and bold.
func (s styles) good(text string) string { return s.paint("32", text) }
func (s styles) bad(text string) string  { return s.paint("31", text) }
func (s styles) warn(text string) string { return s.paint("33", text) }
func (s styles) bold(text string) string { return s.paint("1", text) }

// show prints the value as JSON or calls text to print it, depending on --output.
func (c *cli) show(v any, text func()) error {
	if c.opts.output != "json" {
		text()
		return nil
	}
	encoded, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(c.out, string(encoded))
	return nil
}

// printf prints a line of text output.
func (c *cli) printf(format string, args ...any) {
	fmt.Fprintf(c.out, format+"\n", args...)
}

// table prints rows in columns; the first row is the heading.
func (c *cli) table(rows [][]string) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			row[i] = oneLine(cell)
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}

// oneLine replaces control characters, including line breaks, by spaces, so that a text cannot send
// control sequences to the terminal.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}

// progress shows a message on the error stream once a wait is longer than a second. On a terminal it
// updates the message in place; elsewhere it prints a line every two seconds. While one wait is shown, the
// waits within it show nothing, since two messages would overwrite each other.
func (c *cli) progress(message func() string) (stop func()) {
	if !c.progressShown.CompareAndSwap(false, true) {
		return func() {}
	}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.showProgress(message, done)
	}()
	return func() {
		close(done)
		<-ended
		c.progressShown.Store(false)
	}
}

// showProgress shows the message until done is closed.
func (c *cli) showProgress(message func() string, done <-chan struct{}) {
	terminal := isTerminal(c.err)
	ticker := time.NewTicker(progressDelay)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			if terminal && n > 0 {
				fmt.Fprint(c.err, "\r\x1b[K")
			}
			return
		case <-ticker.C:
		}
		switch {
		case terminal:
			fmt.Fprint(c.err, "\r\x1b[K"+oneLine(message()))
		case n%2 == 0:
			fmt.Fprintln(c.err, oneLine(message()))
		}
	}
}
