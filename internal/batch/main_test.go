package batch

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that all runs have the same result, and 150
// steps a history. -rapid.seed and -rapid.steps override the two.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		if err := seed.Set("20261204"); err != nil {
			panic(err)
		}
	}
	if steps := flag.Lookup("rapid.steps").Value; steps.String() == "30" {
		if err := steps.Set("150"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
