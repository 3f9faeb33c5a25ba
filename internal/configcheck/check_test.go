package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// valid returns a configuration without findings.
func valid() Document {
	return Document{
		Version: 7,
		Routes: []Route{
			{Name: "r1", Host: "a.example", Prefix: "/p/", Service: "s", MaxAttempts: 3, Stretch: 1.5, Slack: time.Second},
			{Name: "r2", Host: "a.example", Prefix: "/q/", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second, Priority: 2},
		},
		Services: []Service{{Name: "s", MaxConns: 64}},
		Limits:   Limits{MaxBodyBytes: 262144, MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Tenants: []Tenant{
			{Name: "t1", Keys: []Key{NewKey("secret-1"), NewKey("secret-2")}, Weight: 2, Cap: Resources{CPU: 4000}},
			{Name: "t2", Keys: []Key{NewKey("secret-3")}, Weight: 1},
		},
	}
}

// text returns findings, one a line.
func text(all []Finding) string {
	var lines []string
	for _, f := range all {
		lines = append(lines, fmt.Sprintf("%s|%s|%s|%s", f.Severity, f.Subject, f.Field, f.Message))
	}
	return strings.Join(lines, "\n")
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		sentence string
		modify   func(*Document)
		want     string // the start of the only finding; empty for none
	}{
		{"a sound configuration has no finding", func(*Document) {}, ""},
		{"a version of 0 is no configuration", func(d *Document) { d.Version = 0 }, "error||version|must be 1"},
		{"a route needs a name", func(d *Document) { d.Routes[1].Name = "" }, "error|route 2|name|is missing"},
		{"two routes cannot have one name", func(d *Document) { d.Routes[1].Name = "r1" }, `error|route 2 "r1"|name|entry 1 has`},
		{"the second of two routes with one host and prefix never matches", func(d *Document) { d.Routes[1].Prefix = "/p/" }, `error|route 2 "r2"|prefix|can never match: route 1 "r1"`},
		{"the same prefix on another host is another address", func(d *Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/p/", "b.example" }, ""},
		{"a longer prefix is another address", func(d *Document) { d.Routes[1].Prefix = "/p/q/" }, ""},
		{"a prefix without a leading slash never matches", func(d *Document) { d.Routes[1].Prefix = "q/" }, `error|route 2 "r2"|prefix|"q/" can never match`},
		{"an empty prefix matches everything", func(d *Document) { d.Routes[1].Prefix = "" }, `error|route 2 "r2"|prefix|is missing`},
		{"a prefix without a final slash matches longer names", func(d *Document) { d.Routes[1].Prefix = "/q" }, `warning|route 2 "r2"|prefix|`},
		{"a query is not part of a path", func(d *Document) { d.Routes[1].Prefix = "/q?a=" }, `warning|route 2 "r2"|prefix|`},
		{"a host with a port never matches", func(d *Document) { d.Routes[1].Host = "a.example:80" }, `error|route 2 "r2"|host|"a.example:80" can never match`},
		{"an IPv6 host without a port can match", func(d *Document) { d.Routes[1].Host = "[::1]" }, ""},
		{"a host needs to be there", func(d *Document) { d.Routes[1].Host = "" }, `error|route 2 "r2"|host|is missing`},
		{"a host has no spaces", func(d *Document) { d.Routes[1].Host = "a.example " }, `error|route 2 "r2"|host|"a.example " can never match`},
		{"capital letters in a host match few callers", func(d *Document) { d.Routes[1].Host = "A.example" }, `warning|route 2 "r2"|host|`},
		{"a route needs a service", func(d *Document) { d.Routes[1].Service = "" }, `error|route 2 "r2"|service|is missing`},
		{"a service must be listed", func(d *Document) { d.Routes[1].Service = "x" }, `error|route 2 "r2"|service|there is no service "x"`},
		{"a priority is not negative", func(d *Document) { d.Routes[1].Priority = -1 }, `error|route 2 "r2"|priority|`},
		{"attempts are not negative", func(d *Document) { d.Routes[1].MaxAttempts = -1 }, `error|route 2 "r2"|max attempts|`},
		{"no attempts count as one", func(d *Document) { d.Routes[1].MaxAttempts = 0 }, `warning|route 2 "r2"|max attempts|`},
		{"a stretch is not negative", func(d *Document) { d.Routes[1].Stretch = -1 }, `error|route 2 "r2"|stretch|`},
		{"a stretch fits a duration", func(d *Document) { d.Routes[1].Stretch = 1e300 }, `error|route 2 "r2"|stretch|must be at most`},
		{"an objective is not below the job's own length", func(d *Document) { d.Routes[1].Stretch, d.Routes[1].Slack = 0.9, 0 }, `warning|route 2 "r2"|stretch|`},
		{"a time beyond the chain is not negative", func(d *Document) { d.Routes[1].Slack = -1 }, `error|route 2 "r2"|slack|`},
		{"a time of months is probably in the wrong unit", func(d *Document) { d.Routes[1].Slack = 2000 * time.Hour }, `warning|route 2 "r2"|slack|`},
		{"a call's timeout is not negative", func(d *Document) { d.Routes[1].CallTimeout = -1 }, `error|route 2 "r2"|call timeout|`},
		{"times of advice are not negative", func(d *Document) { d.Routes[1].Advice = &Advice{Each: -1, Valid: 1} }, `error|route 2 "r2"|advice|`},
		{"tickets are valid for some time", func(d *Document) { d.Routes[1].Advice = &Advice{Decide: 1} }, `warning|route 2 "r2"|advice|`},
		{"without routes no call is served", func(d *Document) { d.Routes, d.Services = nil, nil }, "warning|||there are no routes"},
		{"a service needs a name", func(d *Document) { d.Services = append(d.Services, Service{}) }, "error|service 2|name|is missing"},
		{"two services cannot have one name", func(d *Document) { d.Services = append(d.Services, Service{Name: "s"}) }, `error|service 2 "s"|name|`},
		{"a service may be unused", func(d *Document) { d.Services = append(d.Services, Service{Name: "x"}) }, `warning|service 2 "x"||no route uses it`},
		{"connections are not negative", func(d *Document) { d.Services[0].MaxConns = -1 }, `error|service 1 "s"|max connections|`},
		{"a bound of bodies may be missing", func(d *Document) { d.Limits.MaxBodyBytes = 0 }, "warning|limits|max body|is 0 or missing"},
		{"a bound of bodies is not negative", func(d *Document) { d.Limits.MaxBodyBytes = -1 }, "error|limits|max body|"},
		{"the store bounds what can be written", func(d *Document) { d.Limits.MaxBodyBytes = maxValueBytes + 1 }, "warning|limits|max body|is 1048577, but"},
		{"the largest value of the store is allowed", func(d *Document) { d.Limits.MaxBodyBytes = maxValueBytes }, ""},
		{"a bound of headers is not negative", func(d *Document) { d.Limits.MaxHeaderBytes = -1 }, "error|limits|max header|"},
		{"instances bound headers themselves", func(d *Document) { d.Limits.MaxHeaderBytes = 1 << 20 }, "warning|limits|max header|"},
		{"a timeout is not negative", func(d *Document) { d.Limits.IdleTimeout = -1 }, "error|limits|idle timeout|"},
		{"instances bound the time for headers themselves", func(d *Document) { d.Limits.HeaderTimeout = 6 * time.Second }, "warning|limits|header timeout|is 6s, but"},
		{"headers may not take longer than a connection may idle", func(d *Document) { d.Limits.IdleTimeout = time.Second }, "warning|limits|header timeout|is 3s, above"},
		{"a tenant needs a name", func(d *Document) { d.Tenants[1].Name = "" }, "error|tenant 2|name|is missing"},
		{"two tenants cannot have one name", func(d *Document) { d.Tenants[1].Name = "t1" }, `error|tenant 2 "t1"|name|entry 1`},
		{"a weight is not negative", func(d *Document) { d.Tenants[1].Weight = -1 }, `error|tenant 2 "t2"|weight|`},
		{"no weight counts as 1", func(d *Document) { d.Tenants[1].Weight = 0 }, `warning|tenant 2 "t2"|weight|`},
		{"a bound of CPU is not negative", func(d *Document) { d.Tenants[1].Cap.CPU = -1 }, `error|tenant 2 "t2"|cap of CPU|`},
		{"a bound of memory is not negative", func(d *Document) { d.Tenants[1].Cap.MemoryMB = -1 }, `error|tenant 2 "t2"|cap of memory|`},
		{"a bound of accelerators is not negative", func(d *Document) { d.Tenants[1].Cap.GPU = -1 }, `error|tenant 2 "t2"|cap of accelerators|`},
		{"less than one core is probably in the wrong unit", func(d *Document) { d.Tenants[1].Cap.CPU = 16 }, `warning|tenant 2 "t2"|cap of CPU|`},
		{"a tenant without keys cannot call", func(d *Document) { d.Tenants[1].Keys = nil }, `warning|tenant 2 "t2"|keys|has no key`},
		{"a key is not empty", func(d *Document) { d.Tenants[1].Keys[0] = NewKey("") }, `error|tenant 2 "t2"|keys|key 1 is empty`},
		{"a key cannot end in a space", func(d *Document) { d.Tenants[1].Keys[0] = NewKey("secret-3 ") }, `error|tenant 2 "t2"|keys|key 1 can never match`},
		{"a key cannot contain a line break", func(d *Document) { d.Tenants[1].Keys[0] = NewKey("secret\n3") }, `error|tenant 2 "t2"|keys|key 1 can never match`},
		{"a key stands once in its tenant", func(d *Document) { d.Tenants[0].Keys[1] = NewKey("secret-1") }, `error|tenant 1 "t1"|keys|key 2 is the same as key 1`},
		{"a key has one tenant", func(d *Document) { d.Tenants[1].Keys[0] = NewKey("secret-2") }, `error|tenant 2 "t2"|keys|key 1 is also key 2 of tenant 1 "t1"`},
		{"without tenants no call needs a key", func(d *Document) { d.Tenants = nil }, ""},
		{"without tenants a route that says it is not public is public", func(d *Document) { d.Tenants, d.Routes[0].PublicStated = nil, true }, "warning|||there are no tenants"},
		{"tenants are of no use if all routes are public", func(d *Document) { d.Routes[0].Public, d.Routes[1].Public = true, true }, "warning|||all routes are public"},
	} {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			d := valid()
			c.modify(&d)
			got := text(Check(d))
			is.True(!strings.Contains(got, "secret")) // no key is shown
			is.True(!strings.Contains(got, "\n"))     // one fault is one finding
			is.Equal(got == "", c.want == "")
			if !strings.HasPrefix(got, c.want) {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestKeysAreNeverShown(t *testing.T) {
	is := is.New(t)
	tenant := valid().Tenants[0]
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		is.True(!strings.Contains(fmt.Sprintf(format, tenant), "secret"))
	}
}
