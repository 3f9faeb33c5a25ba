// Package config holds the operators' document: its sections, their parser and checks,
// and the revision in force.
package config

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Keys in the store: SectionPrefix + team, SectionPrefix + OperatorsSection, and HeadKey.
const (
	SectionPrefix    = "config/section/"
	OperatorsSection = "operators"
	// HeadKey holds the highest revision of a section whose edit was accepted. It is small, so
	// that one read of it proves that a document is the newest.
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
	// Partitions is the number of partitions; it is fixed once accepted.
	Partitions int     `yaml:"partitions"`
	Weights    Weights `yaml:"weights"`
	// Teams lists the teams' credentials and ceilings. A team that is not listed has no
	// ceiling, and only operators can edit its section.
	Teams []TeamAccess `yaml:"teams,omitempty"`
}

// TeamAccess says how a team proves who it is and how large its quota may be.
type TeamAccess struct {
	Team model.Team `yaml:"team"`
	// TokenSHA256 is the SHA-256 of the team's bearer token in hexadecimal; empty means none.
	TokenSHA256 string `yaml:"tokenSHA256,omitempty"`
	// MaxQuota bounds the quota that the team may set in its own section; nil is no bound.
	MaxQuota *model.Resources `yaml:"maxQuota,omitempty"`
}

// DataCentre is one data centre and whether it is in service.
type DataCentre struct {
	Name model.DataCentre `yaml:"name"`
	// Region groups data centres; regions can lose contact with each other.
	Region string `yaml:"region,omitempty"`
	// Out takes the data centre out of service: nothing starts there.
	Out bool `yaml:"out,omitempty"`
}

// RackBinding says which data centre holds a rack and which partition owns its workers.
type RackBinding struct {
	Name       model.Rack       `yaml:"name"`
	DataCentre model.DataCentre `yaml:"dataCentre"`
	Partition  model.Partition  `yaml:"partition"`
}

// Weights balance the goals of the policy; each is at least 0.
type Weights struct {
	TailLatency float64 `yaml:"tailLatency"`
	Throughput  float64 `yaml:"throughput"`
	Evictions   float64 `yaml:"evictions"`
}

// TeamSection is what one team edits.
type TeamSection struct {
	Team     model.Team     `yaml:"team"`
	Quota    Quota          `yaml:"quota"`
	Services []Service      `yaml:"services,omitempty"`
	Jobs     []JobTemplate  `yaml:"jobs,omitempty"`
	Revision model.Revision `yaml:"-"`
}

// Quota bounds what a team's running tasks may hold together.
type Quota struct {
	model.Resources `yaml:",inline"`
	// Share weighs the team against others when not all work fits; zero means 1.
	Share float64 `yaml:"share,omitempty"`
}

// Service is a latency-critical service that answers requests.
type Service struct {
	Name        model.Service      `yaml:"name"`
	DataCentres []model.DataCentre `yaml:"dataCentres,omitempty"`
	Requests    []RequestType      `yaml:"requests"`
	// HonoursNotAfter says that its targets refuse a request after its not-after header.
	HonoursNotAfter bool `yaml:"honoursNotAfter,omitempty"`
}

// RequestType is one kind of request of a service.
type RequestType struct {
	Path     string             `yaml:"path"`
	Class    model.RequestClass `yaml:"class"`
	Deadline time.Duration      `yaml:"deadline"`
	// Hedge allows a second copy of an idempotent request to a slow target.
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
