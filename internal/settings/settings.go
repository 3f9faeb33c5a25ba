// Package settings reads the settings of an entry instance from flags and environment variables
// and checks them.
package settings

import (
	"crypto/tls"
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

// FlagGroup is what flags are added to: a kingpin application or one of its commands.
type FlagGroup interface {
	Flag(name, help string) *kingpin.FlagClause
}

// Flags are the flags of all settings and their environment variables.
type Flags struct {
	settings Settings
	table    []definition
	values   []*string // of the flags, in the order of the table
}

// AddFlags adds the flags of all settings to a group. Flags take precedence over the environment.
func AddFlags(g FlagGroup) *Flags {
	f := &Flags{}
	f.table = definitions(&f.settings)
	for _, d := range f.table {
		value := g.Flag(d.name, d.help).Envar(d.environment()).PlaceHolder(d.placeholder()).Default(d.value).String()
		f.values = append(f.values, value)
	}
	return f
}

// Settings returns the settings once the arguments have been parsed. The error is an *Error.
func (f *Flags) Settings() (Settings, error) {
	var problems []string
	for i, d := range f.table {
		if err := d.set(*f.values[i]); err != nil {
			problems = append(problems, "--"+d.name+" ("+d.environment()+"): "+err.Error())
		}
	}
	if len(problems) == 0 {
		problems = f.settings.checkCombined(*f.values[index(f.table, tlsCert)], *f.values[index(f.table, tlsKey)])
	}
	if len(problems) > 0 {
		return Settings{}, &Error{Problems: problems}
	}
	return f.settings, nil
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
