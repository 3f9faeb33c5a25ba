package configcheck

import "fmt"

// Severity says whether a configuration may be sent in spite of a finding.
type Severity string

// The severities.
const (
	// Error is a fault: some entry cannot do what it is there for.
	Error Severity = "error"
	// Warning is something that may be meant so.
	Warning Severity = "warning"
)

// Field names the field of a finding, in the terms of this project.
type Field string

// The fields that findings are about.
const (
	FieldNone           Field = ""
	FieldVersion        Field = "version"
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPrefix         Field = "prefix"
	FieldService        Field = "service"
	FieldPriority       Field = "priority"
	FieldMaxAttempts    Field = "max attempts"
	FieldStretch        Field = "stretch"
	FieldSlack          Field = "slack"
	FieldCallTimeout    Field = "call timeout"
	FieldAdvice         Field = "advice"
	FieldMaxConns       Field = "max connections"
	FieldMaxBody        Field = "max body"
	FieldMaxHeader      Field = "max header"
	FieldHeaderTimeout  Field = "header timeout"
	FieldIdleTimeout    Field = "idle timeout"
	FieldKeys           Field = "keys"
	FieldWeight         Field = "weight"
	FieldCapCPU         Field = "cap of CPU"
	FieldCapMemory      Field = "cap of memory"
	FieldCapAccelerator Field = "cap of accelerators"
)

// Finding is something about a configuration that its authors should know.
type Finding struct {
	Severity Severity
	// Subject names the entry, such as `route 3 "r-1"`; empty if the finding is about the whole document.
	Subject string
	Field   Field
	// Message never contains an API key.
	Message string
}

// findings collects findings.
type findings []Finding

func (f *findings) errorf(subject string, field Field, format string, args ...any) {
	*f = append(*f, Finding{Error, subject, field, fmt.Sprintf(format, args...)})
}

func (f *findings) warnf(subject string, field Field, format string, args ...any) {
	*f = append(*f, Finding{Warning, subject, field, fmt.Sprintf(format, args...)})
}

// HasErrors reports whether any finding is an error.
func HasErrors(all []Finding) bool {
	for _, f := range all {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Subject returns how findings name the entry of a list, by its kind, its position from 0 on, and its name.
func Subject(kind string, index int, name string) string {
	if name == "" {
		return fmt.Sprintf("%s %d", kind, index+1)
	}
	return fmt.Sprintf("%s %d %q", kind, index+1, name)
}
