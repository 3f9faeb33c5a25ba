package settings

import (
	"bytes"
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// required holds the required arguments.
var required = []string{"--data-centre=a", "--store=http://127.0.0.1:1", "--inventory=http://127.0.0.1:2"}

// parseQuietly parses arguments without printing or ending the process.
func parseQuietly(args ...string) (Settings, error) {
	app := kingpin.New("test", "").UsageWriter(&bytes.Buffer{}).ErrorWriter(&bytes.Buffer{}).Terminate(func(int) {})
	flags := AddFlags(app)
	if _, err := app.Parse(args); err != nil {
		return Settings{}, err
	}
	return flags.Settings()
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := parseQuietly(required...)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(s.InstanceID), "i-"))
	is.Equal(s.PeerAdvertise, s.PeerListen)
	is.Equal(s.OperatorAdvertise, s.OperatorListen)
	is.Equal(s.LogLevel, zerolog.InfoLevel)
	is.True(s.TLS == nil)
	other, err := parseQuietly(required...)
	is.NoErr(err)
	is.True(s.InstanceID != other.InstanceID)
}

func TestEnvironmentAndFlags(t *testing.T) {
	is := is.New(t)
	t.Setenv("GERANIUMWICK_DATA_CENTRE", "from-environment")
	t.Setenv("GERANIUMWICK_STORE", "http://10.0.0.1:2379, http://10.0.0.2:2379/")
	t.Setenv("GERANIUMWICK_INVENTORY", "http://10.0.0.3:80")
	t.Setenv("GERANIUMWICK_MAX_CONNECTIONS", "7")
	s, err := parseQuietly("--data-centre=from-flag")
	is.NoErr(err)
	is.Equal(string(s.DataCentre), "from-flag")
	is.Equal(s.Stores, []string{"http://10.0.0.1:2379", "http://10.0.0.2:2379"})
	is.Equal(s.Limits.Connections, 7)
}

func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want []string
	}{
		{"missing settings are all named", []string{"--data-centre="}, []string{"--data-centre (GERANIUMWICK_DATA_CENTRE): is required", "--store (GERANIUMWICK_STORE): is required", "--inventory (GERANIUMWICK_INVENTORY): is required"}},
		{"a host name instead of an IP address is refused", []string{"--caller-listen=localhost:80"}, []string{"--caller-listen", "must be an IP address and a port"}},
		{"an address without a port is refused", []string{"--peer-listen=10.0.0.1"}, []string{"--peer-listen", "must be an IP address and a port"}},
		{"an unspecified address cannot be advertised", []string{"--peer-listen=0.0.0.0:7402"}, []string{"--peer-advertise", "not an address that other processes can connect to"}},
		{"a store that is not a URL is refused", []string{"--store=10.0.0.1:2379"}, []string{"--store", "must be an http or https URL"}},
		{"a duration without a unit is refused", []string{"--member-lease-ttl=5"}, []string{"--member-lease-ttl", "must be a duration such as"}},
		{"a lease that is too short is refused", []string{"--worker-lease-ttl=1ms"}, []string{"--worker-lease-ttl", "must be from 1s to 10m0s"}},
		{"a number out of range is refused", []string{"--max-header-bytes=-1"}, []string{"--max-header-bytes", "must be from 1024"}},
		{"a value that is not a number is refused", []string{"--max-connections=many"}, []string{"--max-connections", "must be a whole number"}},
		{"an unknown log level is refused", []string{"--log-level=loud"}, []string{"--log-level", "must be debug, info, warn or error"}},
		{"a short token is refused and not repeated in the error", []string{"--operator-token=secret"}, []string{"--operator-token", "at least 16 characters"}},
		{"a name with an invalid character is refused", []string{"--instance-id=a/b"}, []string{"--instance-id", "letters, digits"}},
		{"two listeners with the same address are refused", []string{"--peer-listen=127.0.0.1:7400"}, []string{"--peer-listen", "is the address of --caller-listen too"}},
		{"a certificate without a key is refused", []string{"--tls-cert=x"}, []string{"--tls-cert and --tls-key must be given together"}},
		{"a certificate file that does not exist is refused", []string{"--tls-cert=missing", "--tls-key=missing"}, []string{"--tls-cert, --tls-key", "no such file"}},
		{"an unknown flag is refused", []string{"--nosuch"}, []string{"unknown long flag '--nosuch'"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			args := c.args
			if c.args[0] != "--data-centre=" {
				args = append(args, required...)
				args = withoutRepeats(args)
			}
			_, err := parseQuietly(args...)
			is.True(err != nil)
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %q, want %q", err, want)
				}
			}
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

// withoutRepeats keeps only the first value of each flag, so that the flags of a case replace the
// required ones.
func withoutRepeats(args []string) []string {
	seen := map[string]bool{}
	var list []string
	for _, a := range args {
		name, _, _ := strings.Cut(a, "=")
		if !seen[name] {
			list = append(list, a)
		}
		seen[name] = true
	}
	return list
}

func TestErrorsAreOneTypeAndOneLine(t *testing.T) {
	is := is.New(t)
	_, err := parseQuietly("--max-connections=0", "--log-level=x")
	var all *Error
	is.True(errors.As(err, &all))
	is.Equal(len(all.Problems), 5) // the two given and three that are required
	is.True(!strings.Contains(err.Error(), "\n"))
}

// tableRow matches a row of the table in SETTINGS.md: flag, variable, default, meaning.
var tableRow = regexp.MustCompile("(?m)^\\| `--([a-z-]+)` \\| `([A-Z_]+)` \\| (.*?) \\| (.*?) \\|$")

func TestPageListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	section, _, found := strings.Cut(string(page), "## geraniumwick\n")
	is.True(found)
	var got, want []string
	for _, m := range tableRow.FindAllStringSubmatch(section, -1) {
		got = append(got, strings.Join(m[1:], " | "))
	}
	for _, d := range definitions(&Settings{}) {
		value := "none"
		if d.value != "" {
			value = "`" + d.value + "`"
		}
		want = append(want, strings.Join([]string{d.name, d.environment(), value, d.help}, " | "))
	}
	is.Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}
