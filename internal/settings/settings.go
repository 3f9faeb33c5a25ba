// Package settings reads the settings of an entry instance from flags and environment variables
// and checks them.
package settings

import (
	"crypto/tls"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// EnvironmentPrefix is the prefix of the name of every environment variable.
const EnvironmentPrefix = "GERANIUMWICK_"

// Settings are the checked settings of one instance.
type Settings struct {
	InstanceID model.InstanceID
	DataCentre model.DataCentre

	// CallerListen, OperatorListen and PeerListen are the addresses of the three listeners.
	CallerListen   string
	OperatorListen string
	PeerListen     string
	// PeerAdvertise is the address that other instances connect to, OperatorAdvertise the one at
	// which operators reach this instance.
	PeerAdvertise     string
	OperatorAdvertise string

	// Stores are the base URLs of the store's endpoints. Inventory is the base URL of the
	// inventory.
	Stores    []string
	Inventory string

	// MemberLeaseTTL is the time after which a silent instance counts as gone.
	MemberLeaseTTL time.Duration
	// WorkerLeaseTTL is the time after which a worker without renewal stops its tasks.
	WorkerLeaseTTL time.Duration
	// CommitInterval is the shortest time between two appends of a partition.
	CommitInterval time.Duration
	// ConfigMaxAge is the longest time from the decision on a start to its arrival at the
	// worker. The configuration is confirmed after the decision and before the arrival, so no
	// start relies on an older confirmation.
	ConfigMaxAge time.Duration
	// StoreWritesPerSecond is this instance's share of the store's write rate.
	StoreWritesPerSecond int

	Limits Limits
	// AuditEntries is the number of entries that the audit trail keeps in memory.
	AuditEntries int
	// DrainTimeout is the time limit of a planned stop.
	DrainTimeout time.Duration
	LogLevel     zerolog.Level

	// TLS holds the certificate of the callers' and operators' listeners; nil means plain HTTP.
	TLS *tls.Config
	// OperatorToken is the bearer token of operators. If it is empty, every call on the
	// operators' listener without a token counts as an operator's.
	OperatorToken string
}

// Limits are the limits on connections and headers of the callers' and operators' listeners.
type Limits struct {
	HeaderBytes       int
	Connections       int
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// BodyMemoryMB is the memory for requests that callers are sending, in megabytes of 1,048,576 bytes.
	BodyMemoryMB int
}

// Error lists all problems of the settings.
type Error struct {
	Problems []string
}

// Error implements error in one line.
func (e *Error) Error() string { return strings.Join(e.Problems, "; ") }

// Parse reads the settings from the arguments, which exclude the program's name, and from the
// environment. Flags take precedence over the environment. The error is an *Error, or a kingpin
// error for arguments that kingpin cannot parse. For --help it prints the flags and ends the
// process.
func Parse(args []string) (Settings, error) {
	return parse(args, os.Stdout, os.Exit)
}

// parse is Parse with the output and the exit function as parameters.
func parse(args []string, out io.Writer, exit func(int)) (Settings, error) {
	app := kingpin.New("geraniumwickd", "Entry instance of geraniumwick, a scheduler for latency-critical and batch work.")
	app.UsageWriter(out).ErrorWriter(out).Terminate(exit)
	var s Settings
	table := definitions(&s)
	values := make([]*string, len(table))
	for i, d := range table {
		values[i] = app.Flag(d.name, d.help).Envar(d.environment()).PlaceHolder(d.placeholder()).Default(d.value).String()
	}
	if _, err := app.Parse(args); err != nil {
		return Settings{}, err
	}
	var problems []string
	for i, d := range table {
		if err := d.set(*values[i]); err != nil {
			problems = append(problems, "--"+d.name+" ("+d.environment()+"): "+err.Error())
		}
	}
	if len(problems) == 0 {
		problems = s.checkCombined(*values[index(table, tlsCert)], *values[index(table, tlsKey)])
	}
	if len(problems) > 0 {
		return Settings{}, &Error{Problems: problems}
	}
	return s, nil
}

// index returns the index of the definition with the name.
func index(table []definition, name string) int {
	for i, d := range table {
		if d.name == name {
			return i
		}
	}
	panic("no setting " + name)
}
