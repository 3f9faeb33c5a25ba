// Command standins2 plays one case of the review: it starts three instances of geraniumwickd as processes, and stand-ins of
// the platform's store, the runners and the consumers, all on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	binary := flag.String("binary", "target/geraniumwickd", "program of the instances")
	keep := flag.Bool("keep-logs", false, "keep the logs of the instances")
	flag.IntVar(&statusSeconds, "status-s", 0, "for case retention: status_s of the settings, if not its default")
	flag.Parse()
	os.Exit(play(*name, *dir, *binary, *keep))
}

var cases = map[string]func(w *world) (broken int, err error){
	"retention": playRetention,
	"withdrawn": playWithdrawn,
	"advice":    playAdvice,
	"images":    playImages,
	"entry":     playEntry,
}

func play(name, dir, binary string, keepLogs bool) int {
	playCase := cases[name]
	if playCase == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return cannotRun
	}
	w, err := newWorld(dir, binary, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	w.rec.note("case %s, trouble: %t", name, w.trouble)
	broken, err := playCase(w)
	code := ruleHeld
	switch {
	case err != nil:
		w.rec.note("the case could not run: %v", err)
		code = cannotRun
	case broken > 0:
		w.rec.note("the rule was broken %d times", broken)
		code = ruleBroken
	default:
		w.rec.note("the rule held")
	}
	w.close(keepLogs)
	return code
}
