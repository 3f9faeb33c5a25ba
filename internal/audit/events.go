package audit

// The stable names of the events that do not belong to a single job or request.
const (
	// EventConfigAccepted is an accepted edit.
	EventConfigAccepted = "config.accepted"
	// EventConfigRefused is an edit that failed a check, conflicted with another edit or was not
	// authorised.
	EventConfigRefused = "config.refused"
	// EventConfigUnknown is an edit whose outcome is not known.
	EventConfigUnknown = "config.unknown"
	// EventConfigInForce is a section that an instance put in force.
	EventConfigInForce = "config.in-force"
	// EventConfigInvalid is a stored section that an instance did not put in force.
	EventConfigInvalid = "config.invalid"
	// EventConfigOlder is a response of the store that is older than the configuration in force
	// and is not used.
	EventConfigOlder = "config.older"
	// EventCallRefused is a call that was refused before it had any effect.
	EventCallRefused = "call.refused"
	// EventDropped says that older entries of an instance are no longer kept.
	EventDropped = "audit.dropped"
	// EventConfigProblem is a conflict between sections that are both in force.
	EventConfigProblem = "config.problem"
)
