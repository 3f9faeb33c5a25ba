package configcheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// changesText returns changes, one a line.
func changesText(all []Change) string {
	var lines []string
	for _, c := range all {
		lines = append(lines, fmt.Sprintf("%s %s: %s", c.Subject, c.Kind, strings.Join(c.Details, "; ")))
	}
	return strings.Join(lines, "\n")
}

func TestCompare(t *testing.T) {
	for _, c := range []struct {
		sentence string
		modify   func(*Document)
		changes  string // without the change of the version
		findings string
	}{
		{"only the version differs", func(*Document) {}, "", ""},
		{"an older version is set aside by instances", func(d *Document) { d.Version = 6 }, "", "error||version|is 6 and must be higher than 7, which is in force"},
		{"a changed document needs a new version", func(d *Document) { d.Version, d.Services = 7, append(d.Services, Service{Name: "x"}) }, `service "x" added: `, "error||version|is 7 and must be higher than 7, which is in force"},
		{"the same document needs none", func(d *Document) { d.Version = 7 }, "", ""},
		{"a field of a route changes", func(d *Document) { d.Routes[0].Values = []Value{{Name: "f", Text: "2"}} }, `route "r1" changed: f: from 1 to 2`, ""},
		{"a field of a route comes and one goes", func(d *Document) { d.Routes[0].Values = []Value{{Name: "g", Text: "2"}} }, `route "r1" changed: g added: 2; f removed: 1`, ""},
		{"a hidden value is not shown", func(d *Document) { d.Routes[0].Values = []Value{{Name: "f", Text: "secret", Hidden: true}} }, `route "r1" changed: f: from 1 to (hidden)`, ""},
		{"a route is removed", func(d *Document) { d.Routes = d.Routes[:1] }, `route "r2" removed: `, `warning|route "r2"||is removed: calls to it will be answered 404, unless a shorter prefix matches`},
		{"a route is renamed", func(d *Document) { d.Routes[1].Name = "r3" }, "route \"r3\" added: \nroute \"r2\" removed: ", `warning|route "r2"||is removed: calls to it will go to route "r3"`},
		{"a limit changes", func(d *Document) { d.Limits.Values = []Value{{Name: "l", Text: "2"}} }, "limits changed: l added: 2", ""},
		{"keys are counted", func(d *Document) {
			d.Tenants[0].Keys = []Key{NewKey("secret-1"), NewKey("secret-8"), NewKey("secret-9")}
		}, `tenant "t1" changed: keys added: 2; keys revoked: 1`, ""},
		{"a tenant is removed", func(d *Document) { d.Tenants = d.Tenants[:1] }, `tenant "t2" removed: keys revoked: 1`, `warning|tenant "t2"||is removed: its keys will be refused, except those of other tenants`},
		{"a tenant is added", func(d *Document) {
			d.Tenants = append(d.Tenants, Tenant{Name: "t3", Keys: []Key{NewKey("secret-7")}})
		}, `tenant "t3" added: keys added: 1`, ""},
		{"a key moves to another tenant", func(d *Document) { d.Tenants[0].Keys = append(d.Tenants[0].Keys, NewKey("secret-3")) }, `tenant "t1" changed: keys added: 1`, `warning|tenant "t1"|keys|key 3 is a key of tenant "t2" in the version in force`},
		{"a cap is lowered", func(d *Document) { d.Tenants[0].Cap.CPU = 3000 }, "", `warning|tenant "t1"|cap of CPU|is lowered from 4000 to 3000`},
		{"a cap is set where there was none", func(d *Document) { d.Tenants[0].Cap.GPU = 1 }, "", `warning|tenant "t1"|cap of accelerators|is lowered from no bound to 1`},
		{"a cap is raised", func(d *Document) { d.Tenants[0].Cap.CPU = 5000 }, "", ""},
		{"a cap is taken away", func(d *Document) { d.Tenants[0].Cap.CPU = 0 }, "", ""},
	} {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			inForce, next := valid(), valid()
			inForce.Routes[0].Values = []Value{{Name: "f", Text: "1"}}
			next.Routes[0].Values = []Value{{Name: "f", Text: "1"}}
			next.Version = 8
			c.modify(&next)
			changes, findings := Compare(next, inForce)
			if next.Version != inForce.Version {
				is.Equal(changesText(changes[:1]), fmt.Sprintf("version changed: from 7 to %d", next.Version))
				changes = changes[1:]
			}
			is.Equal(changesText(changes), c.changes)
			is.Equal(text(findings), c.findings)
		})
	}
}
