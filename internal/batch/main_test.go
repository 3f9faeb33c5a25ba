package batch

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the generated tests a fixed seed, so that each run comes to the same
// verdict. Another one is set by -rapid.seed.
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
