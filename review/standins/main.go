// Command standins plays one case of the review: the project's processes with stand-ins for the store, the runners
// and the consumers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseFunc plays a case. trouble is false for the same without the disruption. It returns the breaches.
type caseFunc func(s *System, trouble bool) ([]string, error)

var cases = map[string]caseFunc{"many-ends": manyEnds, "reborn": reborn, "waiting": waiting}

// caseLimit ends a case that hangs.
const caseLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run caseFunc, path string) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Line("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.Close()
	timer := time.AfterFunc(caseLimit, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		s.Close()
		record.Close()
		os.Exit(2)
	})
	defer timer.Stop()
	broken, err := run(s, trouble)
	if err != nil {
		record.Line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		record.Line("BROKEN %s", b)
	}
	record.Line("%d breaches", len(broken))
	if len(broken) > 0 {
		fmt.Printf("broken: %d, the first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
