package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// The limits that the checks enforce.
const (
	MaxPartitions = 1024
	// maxResource limits the amount of each resource, so that sums over all workers cannot
	// overflow.
	maxResource = int64(1) << 50
	maxWeight   = 1_000_000.0
	minDeadline = time.Millisecond
	// MaxDeadline is the longest deadline of a class of requests.
	MaxDeadline    = time.Hour
	maxDeclaredRun = 60 * 24 * time.Hour
	maxPathBytes   = 200
)

// check returns the problems that can be found without the other sections.
func (s *Section) check(tree *ast.File) []Problem {
	l := &problemList{section: s, tree: tree}
	if s.Operators != nil {
		checkOperators(l, s.Operators)
	} else {
		checkTeam(l, s.Team)
	}
	return l.list
}

// checkOperators checks the operators' section.
func checkOperators(l *problemList, o *Operators) {
	if len(o.DataCentres) == 0 {
		l.add("$", "dataCentres must list at least one data centre")
	}
	known := map[model.DataCentre]bool{}
	for i, dc := range o.DataCentres {
		path := fmt.Sprintf("$.dataCentres[%d].name", i)
		checkName(l, path, "data centre", string(dc.Name))
		if known[dc.Name] {
			l.add(path, "data centre %q is listed twice", dc.Name)
		}
		known[dc.Name] = true
	}
	if o.Partitions < 1 || o.Partitions > MaxPartitions {
		l.add("$.partitions", "partitions is %d, it must be from 1 to %d", o.Partitions, MaxPartitions)
	}
	checkRacks(l, o, known)
	checkWeights(l, o.Weights)
	checkAccess(l, o.Teams)
}

// checkRacks checks the assignment of racks to data centres and partitions.
func checkRacks(l *problemList, o *Operators, known map[model.DataCentre]bool) {
	seen := map[model.Rack]bool{}
	for i, r := range o.Racks {
		path := fmt.Sprintf("$.racks[%d]", i)
		checkName(l, path+".name", "rack", string(r.Name))
		if seen[r.Name] {
			l.add(path+".name", "rack %q is listed twice", r.Name)
		}
		seen[r.Name] = true
		if !known[r.DataCentre] {
			l.add(path+".dataCentre", "rack %q is in data centre %q, which dataCentres does not list", r.Name, r.DataCentre)
		}
		if r.Partition < 0 || int(r.Partition) >= o.Partitions {
			l.add(path+".partition", "partition %d of rack %q must be from 0 to %d", r.Partition, r.Name, o.Partitions-1)
		}
	}
}

// checkWeights checks the weights of the scheduling objectives.
func checkWeights(l *problemList, w Weights) {
	checkWeightValue(l, "$.weights.tailLatency", w.TailLatency)
	checkWeightValue(l, "$.weights.throughput", w.Throughput)
	checkWeightValue(l, "$.weights.evictions", w.Evictions)
	if w.TailLatency == 0 && w.Throughput == 0 && w.Evictions == 0 {
		l.add("$.weights", "at least one weight must be above 0")
	}
}

// checkAccess checks the teams' credentials and quota limits.
func checkAccess(l *problemList, teams []TeamAccess) {
	seen := map[model.Team]bool{}
	tokens := map[string]bool{}
	for i, t := range teams {
		path := fmt.Sprintf("$.teams[%d]", i)
		checkTeamName(l, path+".team", t.Team)
		if seen[t.Team] {
			l.add(path+".team", "team %q is listed twice", t.Team)
		}
		seen[t.Team] = true
		checkToken(l, path+".tokenSHA256", t.TokenSHA256, tokens)
		if t.MaxQuota != nil {
			checkResources(l, path+".maxQuota", *t.MaxQuota)
		}
	}
}

// checkToken checks the hash of a token. Two teams must not have the same token, because a caller's
// token determines the team that it acts for.
func checkToken(l *problemList, path, hash string, seen map[string]bool) {
	if hash == "" {
		return
	}
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
		l.add(path, "tokenSHA256 must have 64 hexadecimal digits")
	}
	key := strings.ToLower(hash)
	if seen[key] {
		l.add(path, "another team has the same token")
	}
	seen[key] = true
}

// checkTeam checks a team's section.
func checkTeam(l *problemList, t *TeamSection) {
	if string(t.Team) != l.section.Name {
		l.add("$.team", "team is %q, but the section is named %q", t.Team, l.section.Name)
	}
	checkResources(l, "$.quota", t.Quota.Resources)
	checkWeightValue(l, "$.quota.share", t.Quota.Share)
	checkServices(l, t.Services)
	checkJobs(l, t)
}

// checkServices checks the services of a team.
func checkServices(l *problemList, services []Service) {
	seen := map[model.Service]bool{}
	for i, s := range services {
		path := fmt.Sprintf("$.services[%d]", i)
		checkName(l, path+".name", "service", string(s.Name))
		if seen[s.Name] {
			l.add(path+".name", "service %q is listed twice", s.Name)
		}
		seen[s.Name] = true
		checkDataCentres(l, path+".dataCentres", s.DataCentres)
		if len(s.Requests) == 0 {
			l.add(path, "service %q must list at least one request", s.Name)
		}
		checkRequests(l, path, s.Requests)
	}
}

// checkRequests checks the request types of a service.
func checkRequests(l *problemList, service string, requests []RequestType) {
	seen := map[string]bool{}
	for i, r := range requests {
		path := fmt.Sprintf("%s.requests[%d]", service, i)
		if !validPath(r.Path) {
			l.add(path+".path", "path %q must have 1 to %d of a-z, A-Z, 0-9, '-', '_', '.' and '/', with no empty, '.' or '..' element", r.Path, maxPathBytes)
		}
		if seen[r.Path] {
			l.add(path+".path", "path %q is listed twice", r.Path)
		}
		seen[r.Path] = true
		switch r.Class {
		case model.Idempotent, model.Exclusive, model.AtMostOnce:
		default:
			l.add(path+".class", "class %q must be idempotent, exclusive or once", r.Class)
		}
		if r.Deadline < minDeadline || r.Deadline > MaxDeadline {
			l.add(path+".deadline", "deadline is %v, it must be from %v to %v", r.Deadline, minDeadline, MaxDeadline)
		}
		if r.Hedge && r.Class != model.Idempotent {
			l.add(path+".hedge", "hedge is allowed for idempotent requests only")
		}
	}
}

// checkJobs checks the job classes of a team.
func checkJobs(l *problemList, t *TeamSection) {
	seen := map[model.JobClass]bool{}
	for i, j := range t.Jobs {
		path := fmt.Sprintf("$.jobs[%d]", i)
		checkName(l, path+".class", "job class", string(j.Class))
		if seen[j.Class] {
			l.add(path+".class", "job class %q is listed twice", j.Class)
		}
		seen[j.Class] = true
		checkResources(l, path+".declared", j.Declared)
		if j.Declared.MilliCPU == 0 || j.Declared.MemoryMB == 0 {
			l.add(path+".declared", "job class %q must declare milliCPU and memoryMB above 0", j.Class)
		}
		if !j.Declared.Fits(t.Quota.Resources) {
			l.add(path+".declared", "job class %q declares more than the team's quota", j.Class)
		}
		if j.DeclaredRun <= 0 || j.DeclaredRun > maxDeclaredRun {
			l.add(path+".declaredRun", "declaredRun is %v, it must be above 0 and at most %v", j.DeclaredRun, maxDeclaredRun)
		}
		checkDataCentres(l, path+".dataCentres", j.DataCentres)
	}
}

// checkDataCentres checks a list of data centres for duplicate names.
func checkDataCentres(l *problemList, path string, dataCentres []model.DataCentre) {
	seen := map[model.DataCentre]bool{}
	for i, dc := range dataCentres {
		if seen[dc] {
			l.add(fmt.Sprintf("%s[%d]", path, i), "data centre %q is listed twice", dc)
		}
		seen[dc] = true
	}
}

// checkName checks an identifier.
func checkName(l *problemList, path, kind, name string) {
	if !validName(name) {
		l.add(path, "%s %q must have 1 to 63 of a-z, 0-9 and hyphen, and start with a letter", kind, name)
	}
}

// checkTeamName checks the name of a team, which is also the name of its section.
func checkTeamName(l *problemList, path string, team model.Team) {
	checkName(l, path, "team", string(team))
	if team == OperatorsSection {
		l.add(path, "team must not be named %q", OperatorsSection)
	}
}

// checkWeightValue checks that a weight is a finite number from 0 to maxWeight.
func checkWeightValue(l *problemList, path string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 || v > maxWeight {
		l.add(path, "%s is %v, it must be from 0 to %v", lastElement(path), v, maxWeight)
	}
}

// checkResources checks the amount of each resource.
func checkResources(l *problemList, path string, r model.Resources) {
	checkAmount(l, path+".milliCPU", r.MilliCPU)
	checkAmount(l, path+".memoryMB", r.MemoryMB)
	checkAmount(l, path+".accelerators", r.Accelerators)
}

// checkAmount checks the amount of one resource.
func checkAmount(l *problemList, path string, v int64) {
	if v < 0 || v > maxResource {
		l.add(path, "%s is %d, it must be from 0 to %d", lastElement(path), v, maxResource)
	}
}

// lastElement returns the name of the field at the YAML path.
func lastElement(path string) string {
	return path[strings.LastIndexByte(path, '.')+1:]
}

// validPath reports whether the text is a valid request path of a service.
func validPath(p string) bool {
	if p == "" || len(p) > maxPathBytes {
		return false
	}
	for element := range strings.SplitSeq(p, "/") {
		if element == "" || element == "." || element == ".." {
			return false
		}
	}
	return onlyPathBytes(p)
}

// onlyPathBytes reports whether every byte of the text is allowed in a path.
func onlyPathBytes(p string) bool {
	for _, c := range []byte(p) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-', c == '_', c == '.', c == '/':
		default:
			return false
		}
	}
	return true
}
