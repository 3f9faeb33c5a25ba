// Command testverdict reads the output of go test -json and prints it as plain text. It exits with
// status 1 if a test failed that the list of known failures does not name, or if no test passed, and
// with status 2 if it cannot read a file.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// summary counts the results of the tests and names the failed tests and packages.
type summary struct {
	passed, failed, skipped int
	failedTests             []string
	failedPackages          []string
}

func main() {
	results := flag.String("results", "", "file with the output of go test -json")
	known := flag.String("known", "KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	failures, err := run(*results, *known, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(2)
	}
	if failures > 0 {
		os.Exit(1)
	}
}

// run prints the results and returns the number of failures that are not known. If no test passed
// it returns 1, since the results are then missing or incomplete.
func run(results, known string, out io.Writer) (int, error) {
	accepted, err := readKnown(known)
	if err != nil {
		return 0, err
	}
	f, err := os.Open(results)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	s, err := summarize(f, out)
	if err != nil {
		return 0, err
	}
	unknown := report(s, accepted, out)
	if s.passed == 0 {
		return 1, nil
	}
	return unknown, nil
}

// readKnown returns the test names of the list, in the form package.Test.
func readKnown(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	accepted := map[string]bool{}
	for line := range strings.SplitSeq(string(data), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "\t")
		accepted[name] = true
	}
	return accepted, nil
}

// summarize prints the plain text of the events and counts the tests.
func summarize(in io.Reader, out io.Writer) (summary, error) {
	var s summary
	withFailedTest := map[string]bool{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Fprintln(out, scanner.Text())
			continue
		}
		switch e.Action {
		case "output", "build-output":
			fmt.Fprint(out, e.Output)
		case "pass":
			if e.Test != "" {
				s.passed++
			}
		case "skip":
			if e.Test != "" {
				s.skipped++
			}
		case "fail":
			if e.Test != "" {
				s.failed++
				withFailedTest[e.Package] = true
				s.failedTests = append(s.failedTests, e.Package+"."+e.Test)
			} else if !withFailedTest[e.Package] {
				s.failedPackages = append(s.failedPackages, e.Package)
			}
		}
	}
	return s, scanner.Err()
}

// report prints the failures, the list of known failures and the totals, of which the failed ones
// leave out the known failures. It returns the number of failures that the list does not name.
func report(s summary, accepted map[string]bool, out io.Writer) int {
	unknown := 0
	for _, name := range append(s.failedTests, s.failedPackages...) {
		if accepted[name] || accepted[topLevel(name)] {
			fmt.Fprintln(out, "known failure:", name)
			continue
		}
		fmt.Fprintln(out, "FAILED:", name)
		unknown++
	}
	for name := range accepted {
		fmt.Fprintln(out, "listed in KNOWN-RED.txt:", name)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", s.passed, unknown, s.skipped)
	return unknown
}

// topLevel returns the name of the top-level test that a test, in the form package.Test, belongs to.
func topLevel(name string) string {
	pkg, test, found := strings.Cut(name, ".Test")
	if !found {
		return name
	}
	test, _, _ = strings.Cut(test, "/")
	return pkg + ".Test" + test
}
