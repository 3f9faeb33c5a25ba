package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longTimeout is a timeout that no test reaches.
const longTimeout = time.Hour

// newTestCLI returns a command line that calls the address and reads the given input, and the buffer
// that receives its output.
func newTestCLI(t *testing.T, address, input string) (*cli, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	opts := options{addresses: address, output: "text", colour: "never", timeout: longTimeout}
	c, err := newCLI(streams{in: strings.NewReader(input), out: &out, err: &out}, opts)
	if err != nil {
		t.Fatal(err)
	}
	return c, &out
}

// fakeEditor is an input that writes the next text to a file and then yields Enter, each time it is
// read.
type fakeEditor struct {
	path  string
	texts []string
}

// Read writes the next text to the file and returns Enter.
func (e *fakeEditor) Read(p []byte) (int, error) {
	if err := os.WriteFile(e.path, []byte(e.texts[0]), 0o600); err != nil {
		return 0, err
	}
	e.texts = e.texts[1:]
	return copy(p, "\n"), nil
}

func TestEditContinuesAfterProblemAndConflict(t *testing.T) {
	is := is.New(t)
	_, address := startSystem(t, "")
	operators, err := os.ReadFile("../../examples/nilewave/operators.yaml")
	is.NoErr(err)
	s := newSession(t, address)
	s.file("operators.yaml", string(operators))
	s.run("config", "apply", "DIR/operators.yaml")
	s.run("config", "edit", "operators", "--file", "DIR/mine.yaml")
	s.run("datacentre", "out", "cairo-a")

	edited := strings.Replace(string(operators), "tailLatency: 5", "tailLatency: 7", 1)
	merged := strings.Replace(edited, "- name: cairo-a\n", "- name: cairo-a\n    out: true\n", 1)
	path := filepath.Join(s.dir, "mine.yaml")
	c, out := newTestCLI(t, address, "")
	c.in = &fakeEditor{path: path, texts: []string{
		withBase(strings.Replace(edited, "partitions: 16", "partitions: no", 1), 101), // does not pass the checks
		withBase(edited, 101), // conflicts with the edit of cairo-a
		withBase(merged, 103), // contains the other edit
	}}
	is.NoErr(c.applyOnEnter(t.Context(), "operators", path, waitOptions{wait: true, limit: longTimeout}))
	is.True(strings.Contains(out.String(), "operators:12:13: "))
	is.True(strings.Contains(out.String(), "revision 103 by operator"))
	is.True(strings.Contains(out.String(), "accepted as revision 105"))
}

func TestEditIsLeftAtTheEndOfInput(t *testing.T) {
	is := is.New(t)
	_, address := startSystem(t, "")
	c, _ := newTestCLI(t, address, "")
	err := c.applyOnEnter(t.Context(), "t", filepath.Join(t.TempDir(), "t.yaml"), waitOptions{})
	f, ok := err.(*failure)
	is.True(ok)
	is.Equal(f.code, exitRefused)
}
