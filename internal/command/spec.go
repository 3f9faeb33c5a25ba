package command

import (
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// maxNameBytes bounds the name in a job id, which follows the team.
const maxNameBytes = 128

// DecodeSpec decodes a job in JSON and performs the checks that need no configuration.
func DecodeSpec(body []byte) (model.JobSpec, error) {
	var spec model.JobSpec
	if err := reply.DecodeBytes(body, &spec); err != nil {
		return model.JobSpec{}, err
	}
	if err := checkID(spec.Team, spec.ID); err != nil {
		return model.JobSpec{}, err
	}
	d := spec.Declared
	switch {
	case spec.Priority > model.PriorityService:
		return spec, invalid("priority is %d, it must be 0 (batch), 1 (urgent) or 2 (service)", spec.Priority)
	case d.MilliCPU < 0 || d.MemoryMB < 0 || d.Accelerators < 0:
		return spec, invalid("declared must not be negative")
	case spec.DeclaredRun < 0:
		return spec, invalid("declaredRun must not be negative")
	case len(spec.Payload) > model.MaxPayload:
		return spec, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the payload has more than %d bytes", model.MaxPayload)
	}
	return spec, nil
}

// checkID checks that a job id has the form team/name with the given team.
func checkID(team model.Team, id model.JobID) error {
	prefix, name, found := strings.Cut(string(id), "/")
	if !found || team == "" || prefix != string(team) {
		return invalid("job id %q must have the form team/name with team %q", id, team)
	}
	if name == "" || len(name) > maxNameBytes {
		return invalid("the name in job id %q must have 1 to %d characters", id, maxNameBytes)
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return invalid("the name in job id %q may have letters, digits, '-', '_' and '.' only", id)
		}
	}
	return nil
}

// ValidateAndDefault checks the job against the document in force and sets the fields that the job
// leaves empty to the defaults of its class.
func ValidateAndDefault(spec model.JobSpec, document func() (*config.Document, bool)) (model.JobSpec, error) {
	doc, ok := document()
	if !ok {
		return spec, verdict.New(verdict.NotRun, verdict.ReasonConfigStale, "this instance has no configuration yet")
	}
	team, ok := doc.Teams[spec.Team]
	if !ok {
		return spec, invalid("team %q has no section in the configuration", spec.Team)
	}
	if spec.Priority == model.PriorityService {
		return spec, checkServiceTask(spec, team)
	}
	template, ok := findTemplate(team, spec.Class)
	if !ok {
		return spec, invalid("team %q has no job class %q", spec.Team, spec.Class)
	}
	if spec.Priority == model.PriorityUrgent && !template.Urgent {
		return spec, invalid("job class %q is not urgent", spec.Class)
	}
	return applyClassDefaults(spec, template, doc)
}

// checkServiceTask checks that the class of a latency-critical task is the name of a service of its
// team.
func checkServiceTask(spec model.JobSpec, team config.TeamSection) error {
	for _, s := range team.Services {
		if string(s.Name) == string(spec.Class) {
			return nil
		}
	}
	return invalid("team %q has no service %q for a service task", spec.Team, spec.Class)
}

// findTemplate returns the team's job class.
func findTemplate(team config.TeamSection, class model.JobClass) (config.JobTemplate, bool) {
	for _, t := range team.Jobs {
		if t.Class == class {
			return t, true
		}
	}
	return config.JobTemplate{}, false
}

// applyClassDefaults sets the empty fields of the job to the defaults of its class.
func applyClassDefaults(spec model.JobSpec, t config.JobTemplate, doc *config.Document) (model.JobSpec, error) {
	if spec.Declared == (model.Resources{}) {
		spec.Declared = t.Declared
	}
	if spec.DeclaredRun == 0 {
		spec.DeclaredRun = t.DeclaredRun
	}
	if t.Urgent {
		spec.Priority = model.PriorityUrgent
	}
	if len(spec.DataCentres) == 0 {
		spec.DataCentres = t.DataCentres
		return spec, nil
	}
	for _, dc := range spec.DataCentres {
		if !allowsDataCentre(t.DataCentres, doc, dc) {
			return spec, invalid("job class %q may not run in data centre %q", spec.Class, dc)
		}
	}
	return spec, nil
}

// allowsDataCentre reports whether the list contains the data centre. An empty list means all data
// centres of the document.
func allowsDataCentre(list []model.DataCentre, doc *config.Document, name model.DataCentre) bool {
	for _, dc := range list {
		if dc == name {
			return true
		}
	}
	if len(list) > 0 {
		return false
	}
	for _, dc := range doc.Operators.DataCentres {
		if dc.Name == name {
			return true
		}
	}
	return false
}

// invalid returns an error for an invalid call, which was refused before it changed anything.
func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.ReasonInvalid, format, args...)
}
