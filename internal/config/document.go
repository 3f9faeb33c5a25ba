// Package config parses, checks, edits and watches the configuration document, which consists
// of the operators' section and one section for each team.
package config

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Keys in the store: SectionPrefix + team, SectionPrefix + OperatorsSection, and HeadKey.
const (
	SectionPrefix    = "config/section/"
	OperatorsSection = "operators"
	// HeadKey holds the head, the highest section revision among the accepted edits. An edit is
	// accepted when its section is stored and the head has been raised to it. The value is small,
	// so reading this one key is a cheap check whether a document is the newest.
	HeadKey = "config/head"
)

// Document is the whole configuration: the operators' section and one for each team.
type Document struct {
	// Revision is the highest store revision among the sections.
	Revision  model.Revision
	Operators Operators
	Teams     map[model.Team]TeamSection
}

// Operators is the section that only operators edit.
type Operators struct {
	DataCentres []DataCentre  `yaml:"dataCentres"`
	Racks       []RackBinding `yaml:"racks"`
	// Partitions is the number of partitions. It cannot change once accepted, because the
	// partition of a job or request key is its hash modulo this number.
	Partitions int     `yaml:"partitions"`
	Weights    Weights `yaml:"weights"`
	// Teams lists the teams' credentials and quota limits. The quota of a team that is not
	// listed has no limit, and only operators can edit its section.
	Teams []TeamAccess `yaml:"teams,omitempty"`
}

// TeamAccess holds the credentials of a team and the limit of its quota.
type TeamAccess struct {
	Team model.Team `yaml:"team"`
	// TokenSHA256 is the SHA-256 of the team's bearer token in hexadecimal; empty means that the
	// team has no token.
	TokenSHA256 string `yaml:"tokenSHA256,omitempty"`
	// MaxQuota limits the quota that the team may set in its own section; nil means no limit.
	MaxQuota *model.Resources `yaml:"maxQuota,omitempty"`
}

// DataCentre describes one data centre and whether it is in service.
type DataCentre struct {
	Name model.DataCentre `yaml:"name"`
	// Region groups data centres. The network between two regions can fail.
	Region string `yaml:"region,omitempty"`
	// Out takes the data centre out of service: nothing starts there.
	Out bool `yaml:"out,omitempty"`
}

// RackBinding assigns a rack to its data centre and to the partition that owns its workers.
type RackBinding struct {
	Name       model.Rack       `yaml:"name"`
	DataCentre model.DataCentre `yaml:"dataCentre"`
	Partition  model.Partition  `yaml:"partition"`
}

// Weights are the relative weights of the scheduling objectives; each is at least 0.
type Weights struct {
	TailLatency float64 `yaml:"tailLatency"`
	Throughput  float64 `yaml:"throughput"`
	Evictions   float64 `yaml:"evictions"`
}

// TeamSection is the section of one team, which the team may edit.
type TeamSection struct {
	Team     model.Team     `yaml:"team"`
	Quota    Quota          `yaml:"quota"`
	Services []Service      `yaml:"services,omitempty"`
	Jobs     []JobTemplate  `yaml:"jobs,omitempty"`
	Revision model.Revision `yaml:"-"`
}

// Quota limits the total resources of a team's running tasks.
type Quota struct {
	model.Resources `yaml:",inline"`
	// Share is the team's weight relative to other teams when there is not enough capacity for
	// all work; zero means 1.
	Share float64 `yaml:"share,omitempty"`
}

// Service is a latency-critical service with its request types.
type Service struct {
	Name        model.Service      `yaml:"name"`
	DataCentres []model.DataCentre `yaml:"dataCentres,omitempty"`
	Requests    []RequestType      `yaml:"requests"`
	// HonoursNotAfter says that the service's targets refuse a request that arrives after the
	// time in its not-after header.
	HonoursNotAfter bool `yaml:"honoursNotAfter,omitempty"`
}

// RequestType is one kind of request of a service.
type RequestType struct {
	Path     string             `yaml:"path"`
	Class    model.RequestClass `yaml:"class"`
	Deadline time.Duration      `yaml:"deadline"`
	// Hedge allows a second copy of an idempotent request if the first target is slow.
	Hedge bool `yaml:"hedge,omitempty"`
}

// JobTemplate describes a class of batch jobs.
type JobTemplate struct {
	Class       model.JobClass     `yaml:"class"`
	Declared    model.Resources    `yaml:"declared"`
	DeclaredRun time.Duration      `yaml:"declaredRun"`
	DataCentres []model.DataCentre `yaml:"dataCentres,omitempty"`
	Urgent      bool               `yaml:"urgent,omitempty"`
}

// DataCentreOut reports whether the data centre is out of service or unknown.
func (d *Document) DataCentreOut(name model.DataCentre) bool {
	for _, dc := range d.Operators.DataCentres {
		if dc.Name == name {
			return dc.Out
		}
	}
	return true
}

// PartitionOf returns the partition that owns the rack's workers.
func (d *Document) PartitionOf(rack model.Rack) (model.Partition, bool) {
	for _, r := range d.Operators.Racks {
		if r.Name == rack {
			return r.Partition, true
		}
	}
	return 0, false
}

// FindService returns the service with the name.
func (d *Document) FindService(name model.Service) (Service, bool) {
	for _, section := range d.Teams {
		for _, s := range section.Services {
			if s.Name == name {
				return s, true
			}
		}
	}
	return Service{}, false
}

// TeamOf returns the team whose section defines the service.
func (d *Document) TeamOf(name model.Service) (model.Team, bool) {
	for team, section := range d.Teams {
		for _, s := range section.Services {
			if s.Name == name {
				return team, true
			}
		}
	}
	return "", false
}

// FindRequest returns the request type with the path.
func (s *Service) FindRequest(path string) (RequestType, bool) {
	for _, r := range s.Requests {
		if r.Path == path {
			return r, true
		}
	}
	return RequestType{}, false
}
