package configcheck

import (
	"fmt"
	"slices"
)

// ChangeKind says how an entry differs from the version in force.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference from the version in force.
type Change struct {
	Kind ChangeKind
	// Subject names the entry, such as `route "r-1"`.
	Subject string
	// Details say what changed within the entry. They never contain an API key.
	Details []string
}

// Compare returns how a configuration differs from the one in force, and what about that its authors should know.
func Compare(next, inForce Document) ([]Change, []Finding) {
	c := comparison{}
	c.compareLists("route", routeEntries(next.Routes), routeEntries(inForce.Routes), func(name string) string { return afterRoute(name, next.Routes, inForce.Routes) })
	c.compareLists("service", serviceEntries(next.Services), serviceEntries(inForce.Services), nil)
	if details := valueChanges(next.Limits.Values, inForce.Limits.Values); len(details) > 0 {
		c.changes = append(c.changes, Change{Changed, "limits", details})
	}
	c.compareLists("tenant", tenantEntries(next.Tenants), tenantEntries(inForce.Tenants), func(string) string { return "its keys will be refused, except those of other tenants" })
	c.compareCaps(next.Tenants, inForce.Tenants)
	c.compareKeyOwners(next.Tenants, inForce.Tenants)
	if next.Version < inForce.Version || next.Version == inForce.Version && len(c.changes) > 0 {
		c.findings.errorf("", FieldVersion, "is %d and must be higher than %d, which is in force", next.Version, inForce.Version)
	}
	if next.Version != inForce.Version {
		c.changes = slices.Insert(c.changes, 0, Change{Changed, "version", []string{fmt.Sprintf("from %d to %d", inForce.Version, next.Version)}})
	}
	return c.changes, c.findings
}

// comparison collects the result of a comparison.
type comparison struct {
	changes  []Change
	findings findings
}

// entry is an entry of a list of the document.
type entry struct {
	name   string
	values []Value
	keys   []Key
}

func routeEntries(routes []Route) (all []entry) {
	for _, r := range routes {
		all = append(all, entry{name: r.Name, values: r.Values})
	}
	return all
}

func serviceEntries(services []Service) (all []entry) {
	for _, s := range services {
		all = append(all, entry{name: s.Name, values: s.Values})
	}
	return all
}

func tenantEntries(tenants []Tenant) (all []entry) {
	for _, t := range tenants {
		all = append(all, entry{name: t.Name, values: t.Values, keys: t.Keys})
	}
	return all
}

// afterRoute says where the calls to a removed route go.
func afterRoute(name string, next, inForce []Route) string {
	i := slices.IndexFunc(inForce, func(r Route) bool { return r.Name == name })
	j := slices.IndexFunc(next, func(r Route) bool { return r.Host == inForce[i].Host && r.Prefix == inForce[i].Prefix })
	if j < 0 {
		return "calls to it will be answered 404, unless a shorter prefix matches"
	}
	return fmt.Sprintf("calls to it will go to route %q", next[j].Name)
}

// compareLists compares the entries of two lists by their names. A removed entry is a finding if consequence, which may
// be nil, tells what follows from it.
func (c *comparison) compareLists(kind string, next, inForce []entry, consequence func(name string) string) {
	former := byName(inForce)
	current := byName(next)
	for _, e := range next {
		subject := fmt.Sprintf("%s %q", kind, e.name)
		old, known := former[e.name]
		if !known {
			c.changes = append(c.changes, Change{Added, subject, keyChanges(e.keys, nil)})
		} else if details := append(valueChanges(e.values, old.values), keyChanges(e.keys, old.keys)...); len(details) > 0 {
			c.changes = append(c.changes, Change{Changed, subject, details})
		}
	}
	for _, e := range inForce {
		if _, kept := current[e.name]; kept {
			continue
		}
		subject := fmt.Sprintf("%s %q", kind, e.name)
		c.changes = append(c.changes, Change{Removed, subject, keyChanges(nil, e.keys)})
		if consequence != nil {
			c.findings.warnf(subject, FieldNone, "is removed: %s", consequence(e.name))
		}
	}
}

// byName indexes entries. Of entries with the same name, which are errors, the first counts.
func byName(entries []entry) map[string]entry {
	index := map[string]entry{}
	for _, e := range entries {
		if _, known := index[e.name]; !known {
			index[e.name] = e
		}
	}
	return index
}

// valueChanges returns the fields that differ.
func valueChanges(next, inForce []Value) []string {
	var details []string
	for _, v := range next {
		i := slices.IndexFunc(inForce, func(o Value) bool { return o.Name == v.Name })
		switch {
		case i < 0:
			details = append(details, v.Name+" added: "+v.shown())
		case inForce[i].Text != v.Text:
			details = append(details, v.Name+": from "+inForce[i].shown()+" to "+v.shown())
		}
	}
	for _, old := range inForce {
		if !slices.ContainsFunc(next, func(v Value) bool { return v.Name == old.Name }) {
			details = append(details, old.Name+" removed: "+old.shown())
		}
	}
	return details
}

func (v Value) shown() string {
	if v.Hidden {
		return "(hidden)"
	}
	return v.Text
}

// keyChanges counts the keys that were added and revoked.
func keyChanges(next, inForce []Key) []string {
	var details []string
	if n := countMissing(next, inForce); n > 0 {
		details = append(details, fmt.Sprintf("keys added: %d", n))
	}
	if n := countMissing(inForce, next); n > 0 {
		details = append(details, fmt.Sprintf("keys revoked: %d", n))
	}
	return details
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []Key) int {
	known := map[Key]bool{}
	for _, k := range others {
		known[k] = true
	}
	n := 0
	for _, k := range keys {
		if !known[k] {
			known[k] = true
			n++
		}
	}
	return n
}

// compareCaps finds the caps that are lower than those in force.
func (c *comparison) compareCaps(next, inForce []Tenant) {
	former := map[string]Resources{}
	for _, t := range inForce {
		former[t.Name] = t.Cap
	}
	for _, t := range next {
		old, known := former[t.Name]
		if !known {
			continue
		}
		subject := fmt.Sprintf("tenant %q", t.Name)
		c.compareCap(subject, FieldCapCPU, t.Cap.CPU, old.CPU)
		c.compareCap(subject, FieldCapMemory, t.Cap.MemoryMB, old.MemoryMB)
		c.compareCap(subject, FieldCapAccelerator, t.Cap.GPU, old.GPU)
	}
}

// compareCap compares one bound; 0 is none.
func (c *comparison) compareCap(subject string, field Field, next, old int64) {
	switch {
	case next > 0 && old == 0:
		c.findings.warnf(subject, field, "is lowered from no bound to %d", next)
	case next > 0 && next < old:
		c.findings.warnf(subject, field, "is lowered from %d to %d", old, next)
	}
}

// compareKeyOwners finds the keys that another tenant had.
func (c *comparison) compareKeyOwners(next, inForce []Tenant) {
	owners := map[Key]string{}
	for _, t := range inForce {
		for _, k := range t.Keys {
			if _, known := owners[k]; !known {
				owners[k] = t.Name
			}
		}
	}
	for _, t := range next {
		for i, k := range t.Keys {
			if owner, known := owners[k]; known && owner != t.Name {
				c.findings.warnf(fmt.Sprintf("tenant %q", t.Name), FieldKeys, "key %d is a key of tenant %q in the version in force", i+1, owner)
			}
		}
	}
}
