package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCheckSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.yaml")
	is.NoErr(os.WriteFile(path, []byte("node-name: \"n\"\nip: \"10.0.0.1\"\n"), 0o600))
	var stdout, stderr bytes.Buffer
	is.Equal(execute([]string{"check-settings", path}, nil, &stdout, &stderr), exitUsage)
	is.True(strings.Contains(stderr.String(), "listen.front")) // the field is named
	is.Equal(execute([]string{"check-settings", path + ".none"}, nil, &stdout, &stderr), exitUsage)
}

func TestPlatformNeedsItsSettingsFile(t *testing.T) {
	is := is.New(t)
	t.Setenv("GERANIUMWICK_BOOT", "")
	var stdout, stderr bytes.Buffer
	is.Equal(execute([]string{"platform"}, nil, &stdout, &stderr), exitUsage)
	is.True(strings.Contains(stderr.String(), "GERANIUMWICK_BOOT"))
}
