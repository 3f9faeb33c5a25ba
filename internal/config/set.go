package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// SectionSet holds the parsed sections of a document by name.
type SectionSet map[string]*Section

// NewSectionSet returns the set of the sections.
func NewSectionSet(sections ...*Section) SectionSet {
	set := SectionSet{}
	for _, s := range sections {
		set[s.Name] = s
	}
	return set
}

// With returns a copy of the set in which s replaces the section of its name.
func (set SectionSet) With(s *Section) SectionSet {
	next := maps.Clone(set)
	if next == nil {
		next = SectionSet{}
	}
	next[s.Name] = s
	return next
}

// names returns the names of the sections in order.
func (set SectionSet) names() []string {
	return slices.Sorted(maps.Keys(set))
}

// Check returns the problems that involve several sections, in the order of the section names.
func (set SectionSet) Check() []Problem {
	operators := set[OperatorsSection]
	if operators == nil || operators.Operators == nil {
		return []Problem{{Section: OperatorsSection, Message: "the operators' section is missing"}}
	}
	known := map[model.DataCentre]bool{}
	for _, dc := range operators.Operators.DataCentres {
		known[dc.Name] = true
	}
	maxQuotas := map[model.Team]*model.Resources{}
	for _, t := range operators.Operators.Teams {
		maxQuotas[t.Team] = t.MaxQuota
	}
	var problems []Problem
	services := map[model.Service]string{}
	for _, name := range set.names() {
		s := set[name]
		if s.Team == nil {
			continue
		}
		l := &problemList{section: s}
		checkReferences(l, known)
		checkMaxQuota(l, maxQuotas[s.Team.Team])
		checkServiceOwners(l, services)
		problems = append(problems, l.list...)
	}
	return problems
}

// checkReferences checks that the data centres named in a team's section exist.
func checkReferences(l *problemList, known map[model.DataCentre]bool) {
	check := func(path string, dataCentres []model.DataCentre) {
		for i, dc := range dataCentres {
			if !known[dc] {
				l.add(fmt.Sprintf("%s[%d]", path, i), "data centre %q is not in the operators' section", dc)
			}
		}
	}
	for i, s := range l.section.Team.Services {
		check(fmt.Sprintf("$.services[%d].dataCentres", i), s.DataCentres)
	}
	for i, j := range l.section.Team.Jobs {
		check(fmt.Sprintf("$.jobs[%d].dataCentres", i), j.DataCentres)
	}
}

// checkMaxQuota checks a team's quota against the limit in the operators' section.
func checkMaxQuota(l *problemList, maxQuota *model.Resources) {
	if maxQuota != nil && !l.section.Team.Quota.Fits(*maxQuota) {
		l.add("$.quota", "the quota is above the maxQuota of the operators' section")
	}
}

// checkServiceOwners checks that no two teams define the same service.
func checkServiceOwners(l *problemList, owners map[model.Service]string) {
	for i, s := range l.section.Team.Services {
		if owner, defined := owners[s.Name]; defined {
			l.add(fmt.Sprintf("$.services[%d].name", i), "service %q is defined in section %q", s.Name, owner)
			continue
		}
		owners[s.Name] = l.section.Name
	}
}

// CheckChange returns the problems of replacing an accepted section by next. The number of
// partitions and the partition of each rack must not change once they are accepted, because the
// ledger of a partition holds the jobs and claims that hash to it, and the attempts on its workers.
func CheckChange(accepted, next *Section) []Problem {
	if accepted == nil || accepted.Operators == nil || next.Operators == nil {
		return nil
	}
	l := &problemList{section: next}
	before, after := accepted.Operators, next.Operators
	if before.Partitions != after.Partitions {
		l.add("$.partitions", "partitions is fixed at %d and cannot become %d", before.Partitions, after.Partitions)
	}
	index := map[model.Rack]int{}
	for i, r := range after.Racks {
		index[r.Name] = i
	}
	for _, r := range before.Racks {
		i, kept := index[r.Name]
		if !kept {
			l.add("$.racks", "rack %q cannot be removed; its workers are removed through the inventory", r.Name)
			continue
		}
		if after.Racks[i].Partition != r.Partition {
			l.add(fmt.Sprintf("$.racks[%d].partition", i), "rack %q belongs to partition %d for good", r.Name, r.Partition)
		}
	}
	return l.list
}

// Document returns the document that consists of the sections. If two teams define the same service, which only
// concurrent edits can cause, the service belongs to the team whose name sorts first.
func (set SectionSet) Document() (*Document, bool) {
	operators := set[OperatorsSection]
	if operators == nil || operators.Operators == nil {
		return nil, false
	}
	doc := &Document{Operators: *operators.Operators, Teams: map[model.Team]TeamSection{}}
	defined := map[model.Service]bool{}
	for _, name := range set.names() {
		s := set[name]
		doc.Revision = max(doc.Revision, s.Revision)
		if s.Team == nil {
			continue
		}
		team := *s.Team
		team.Revision = s.Revision
		team.Services = slices.DeleteFunc(slices.Clone(team.Services), func(v Service) bool { return defined[v.Name] })
		for _, v := range team.Services {
			defined[v.Name] = true
		}
		doc.Teams[team.Team] = team
	}
	return doc, true
}

// newProblems returns the problems in after that are not in before, so that a problem in one
// section does not block the edit of another.
func newProblems(before, after []Problem) []Problem {
	known := map[Problem]bool{}
	for _, p := range before {
		known[p.key()] = true
	}
	return slices.DeleteFunc(slices.Clone(after), func(p Problem) bool { return known[p.key()] })
}

// key identifies a problem without its position, which other edits can change.
func (p Problem) key() Problem {
	return Problem{Section: p.Section, Message: p.Message}
}

// sortProblems orders problems by section, line and column.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
