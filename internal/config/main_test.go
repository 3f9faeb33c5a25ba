package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the generated histories, so that every run gives the same result.
// The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		_ = seed.Set("20")
	}
	os.Exit(m.Run())
}
