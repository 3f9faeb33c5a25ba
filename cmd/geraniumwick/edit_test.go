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

// waitForever is a limit that no test reaches.
const waitForever = time.Hour

// newTestCLI returns a command line for the address that reads the given input.
func newTestCLI(t *testing.T, address, input string) (*cli, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	opts := options{addresses: address, output: "text", colour: "never", timeout: waitForever}
	c, err := newCLI(streams{in: strings.NewReader(input), out: &out, err: &out}, opts)
	if err != nil {
		t.Fatal(err)
	}
	return c, &out
}

// editor is an input that changes a file each time that Enter is read from it.
type editor struct {
	path  string
	texts []string
}

// Read writes the next text to the file and returns Enter.
func (e *editor) Read(p []byte) (int, error) {
	if err := os.WriteFile(e.path, []byte(e.texts[0]), 0o600); err != nil {
		return 0, err
	}
	e.texts = e.texts[1:]
	return copy(p, "\n"), nil
}

func TestEditGoesOnAfterAFaultAndALostRace(t *testing.T) {
	is := is.New(t)
	_, address := startSystem(t, "")
	operators, err := os.ReadFile("../../examples/nilewave/operators.yaml")
	is.NoErr(err)
	s := newSession(t, address)
	s.file("operators.yaml", string(operators))
	s.run("config", "apply", "DIR/operators.yaml")
	s.run("config", "edit", "operators", "--file", "DIR/mine.yaml")
	s.run("datacentre", "out", "cairo-a")

	mine := strings.Replace(string(operators), "tailLatency: 5", "tailLatency: 7", 1)
	both := strings.Replace(mine, "- name: cairo-a\n", "- name: cairo-a\n    out: true\n", 1)
	path := filepath.Join(s.dir, "mine.yaml")
	c, out := newTestCLI(t, address, "")
	c.in = &editor{path: path, texts: []string{
		withBase(strings.Replace(mine, "partitions: 16", "partitions: no", 1), 101), // a fault
		withBase(mine, 101), // another edit came first
		withBase(both, 103), // with the other edit taken over
	}}
	is.NoErr(c.applyOnEnter(t.Context(), "operators", path, waitOptions{wait: true, limit: waitForever}))
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
