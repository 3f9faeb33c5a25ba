package batch

import (
	"github.com/geraniumwick/geraniumwick/internal/forecast"
	"github.com/geraniumwick/geraniumwick/internal/placement"
)

// lookAhead is what placement expects of tasks and workers. It is learned anew by each owner.
type lookAhead struct {
	// shortDemands is what was learned of short tasks, by service, and headrooms what the present decision leaves to them.
	shortDemands map[string]*shortDemand
	headrooms    map[headroomKey]*placement.Headroom
	durations    *forecast.Durations

	// reservations are those of each service, and holders their holders with their places in the order of the present decision.
	reservations map[string]*reservations
	holders      map[*step]openStepEntry
	// roomSearches is how many more searches for room to reserve may be made until the next check, and endsBuffer is reused by
	// them.
	roomSearches int
	endsBuffer   []placement.End

	// largeWaits holds the largest need that has found no room lately, by service.
	largeWaits map[string]largeWait
	// placing is the step that is placed, without a step between decisions, and largeWait the need for which its tasks should leave
	// room.
	placing   openStepEntry
	largeWait Resources
}

func newLookAhead() lookAhead {
	return lookAhead{
		shortDemands: map[string]*shortDemand{},
		headrooms:    map[headroomKey]*placement.Headroom{},
		durations:    forecast.NewDurations(),
		reservations: map[string]*reservations{},
		holders:      map[*step]openStepEntry{},
		largeWaits:   map[string]largeWait{},
	}
}
