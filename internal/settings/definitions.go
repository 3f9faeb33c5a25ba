package settings

import (
	"strings"
	"time"
)

// The names of settings that are looked up for the checks in checkCombined.
const (
	tlsCert = "tls-cert"
	tlsKey  = "tls-key"
)

// definition describes one setting.
type definition struct {
	name string
	// value is the default; empty means none.
	value string
	help  string
	set   func(string) error
}

// environment returns the name of the setting's environment variable.
func (d definition) environment() string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(d.name, "-", "_"))
}

// placeholder returns the text that the help shows as the flag's value.
func (d definition) placeholder() string {
	if d.value != "" {
		return d.value
	}
	return "VALUE"
}

// definitions returns all settings, each with a function that sets its field of s.
func definitions(s *Settings) []definition {
	list := identitySettings(s)
	list = append(list, timingSettings(s)...)
	list = append(list, limitSettings(s)...)
	return append(list, operationSettings(s)...)
}

// identitySettings returns the settings for names and addresses.
func identitySettings(s *Settings) []definition {
	return []definition{
		{"instance-id", "", "Name of this process life; random by default.", setInstance(&s.InstanceID)},
		{"data-centre", "", "Data centre that this instance is in. Required.", setName(&s.DataCentre)},
		{"caller-listen", "127.0.0.1:7400", "Address of the callers' listener.", setAddress(&s.CallerListen)},
		{"operator-listen", "127.0.0.1:7401", "Address of the operators' listener.", setAddress(&s.OperatorListen)},
		{"peer-listen", "127.0.0.1:7402", "Address of the listener for other instances.", setAddress(&s.PeerListen)},
		{"peer-advertise", "", "Address that other instances connect to; the peer listener's by default.", setAdvertised(&s.PeerAdvertise, &s.PeerListen)},
		{"operator-advertise", "", "Address at which operators reach this instance; the operators' listener's by default.", setAdvertised(&s.OperatorAdvertise, &s.OperatorListen)},
		{"store", "", "Base URLs of the key-value store, separated by commas. Required.", setURLs(&s.Stores)},
		{"inventory", "", "Base URL of the inventory of workers and targets. Required.", setURL(&s.Inventory)},
	}
}

// timingSettings returns the settings for leases, intervals and the store's write rate.
func timingSettings(s *Settings) []definition {
	return []definition{
		{"member-lease-ttl", "5s", "Time after which a silent instance counts as gone.", setDuration(&s.MemberLeaseTTL, time.Second, time.Minute)},
		{"worker-lease-ttl", "10s", "Time after which a worker without renewal stops its tasks.", setDuration(&s.WorkerLeaseTTL, time.Second, 10*time.Minute)},
		{"commit-interval", "20ms", "Shortest time between two appends of a partition.", setDuration(&s.CommitInterval, time.Millisecond, 10*time.Second)},
		{"config-max-age", "3s", "Longest time from the decision on a start to its arrival at the worker, with the confirmation of the configuration between them; a later start is refused.", setDuration(&s.ConfigMaxAge, 100*time.Millisecond, time.Minute)},
		{"store-writes-per-second", "36", "Store writes that this instance may make a second.", setInt(&s.StoreWritesPerSecond, 1, 10_000)},
	}
}

// limitSettings returns the settings that limit HTTP connections and headers.
func limitSettings(s *Settings) []definition {
	l := &s.Limits
	return []definition{
		{"max-header-bytes", "16384", "Largest headers of a request.", setInt(&l.HeaderBytes, 1<<10, 1<<20)},
		{"max-connections", "4096", "Connections of a listener; beyond them, idle and slow ones are closed in favour of new ones, which wait while all are in use.", setInt(&l.Connections, 1, 1_000_000)},
		{"body-memory-mb", "64", "Megabytes of the requests that callers are sending, headers and bodies; the operators' and the peers' listeners have a quarter of it each. Requests beyond it are refused.", setInt(&l.BodyMemoryMB, 24, 1<<16)},
		{"read-header-timeout", "5s", "Time within which the headers of a request must arrive.", setDuration(&l.ReadHeaderTimeout, 100*time.Millisecond, time.Minute)},
		{"idle-timeout", "1m", "Time after which an idle connection is closed.", setDuration(&l.IdleTimeout, time.Second, time.Hour)},
	}
}

// operationSettings returns the settings for the audit trail, logging, shutdown, TLS and access.
func operationSettings(s *Settings) []definition {
	// checkCombined reads the certificate and its key, since it needs both.
	ignore := func(string) error { return nil }
	return []definition{
		{"audit-entries", "20000", "Entries of the audit trail kept in memory.", setInt(&s.AuditEntries, 100, 10_000_000)},
		{"drain-timeout", "30s", "Longest time of a planned stop.", setDuration(&s.DrainTimeout, time.Second, time.Hour)},
		{"log-level", "info", "Least severe level that is logged: debug, info, warn or error.", setLevel(&s.LogLevel)},
		{tlsCert, "", "File with the certificate of the callers' and operators' listeners, in PEM.", ignore},
		{tlsKey, "", "File with the key of the certificate, in PEM.", ignore},
		{"operator-token", "", "Bearer token of operators, at least 16 characters; better given by the environment.", setToken(&s.OperatorToken)},
	}
}
