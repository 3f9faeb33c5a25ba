package batch

import (
	"fmt"
	"strings"
	"time"
)

// unavailability is the reason for which a worker gets no new tasks.
type unavailability uint8

// The reasons, in the order in which they are looked at.
const (
	available              unavailability = iota
	unavailableUnlisted                   // the registry does not have it
	unavailableDraining                   // it is about to leave
	unavailableEvacuated                  // its data centre is evacuated
	unavailableSilent                     // the last call to it failed
	unavailableUndescribed                // the registry has not shown the entry of its present incarnation
	unavailableUnrecorded                 // the store does not hold yet that it may be in use
	unavailableUnreported                 // it has not reported to this owner in its present incarnation
	unavailableUnleased                   // it has confirmed no renewal of its lease since contact was lost
	unavailableLapsing                    // its reports cannot be read in full, and its lease lapses
	unavailableUnknown                    // it runs tasks of unknown jobs, whose resources are not known
	unavailableShunned                    // it is in quarantine
	unavailabilities
)

// unavailabilityNames say in the log how many workers may not get tasks for a reason. The log calls an unreachable worker
// silent and a quarantined one shunned.
var unavailabilityNames = [unavailabilities]string{"may get tasks", "are unlisted", "drain", "are evacuated", "are silent", "wait for an entry",
	"wait for a record", "wait for a report", "wait for a lease", "lapse", "run unknown tasks", "are shunned"}

// unavailability returns why the worker may not get new tasks, or available.
func (w *worker) unavailability(s *State, now time.Time) unavailability {
	if r := w.unavailabilityButForQuarantine(s); r != available {
		return r
	}
	if now.Before(w.quarantinedUntil) {
		return unavailableShunned
	}
	return available
}

// unavailabilityButForQuarantine returns why the worker may not get new tasks once its quarantine has ended, or available.
func (w *worker) unavailabilityButForQuarantine(s *State) unavailability {
	switch {
	case !w.listed:
		return unavailableUnlisted
	case w.info.Draining:
		return unavailableDraining
	case s.config.Evacuated[w.info.DataCentre]:
		return unavailableEvacuated
	case w.unreachable:
		return unavailableSilent
	case !w.described:
		return unavailableUndescribed
	case !w.recorded:
		return unavailableUnrecorded
	case !w.reported:
		return unavailableUnreported
	case w.lapsing:
		return unavailableLapsing
	case !w.leaseConfirmed:
		return unavailableUnleased
	case w.runsUnknownTasks:
		return unavailableUnknown
	default:
		return available
	}
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(s *State, now time.Time) bool { return w.unavailability(s, now) == available }

// usableButForQuarantine reports whether the worker may get new tasks once its quarantine has ended.
func (w *worker) usableButForQuarantine(s *State) bool {
	return w.unavailabilityButForQuarantine(s) == available
}

// describeWorkers describes for the log how many workers of a service that the registry has may get new tasks, and why
// the others may not.
func (s *State) describeWorkers(service string) string {
	var counts [unavailabilities]int
	for _, w := range s.workers {
		if w.listed && w.info.Service == service {
			counts[w.unavailability(s, s.lastPlan)]++
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s", counts[available], unavailabilityNames[available])
	for r, n := range counts {
		if n > 0 && unavailability(r) != available {
			fmt.Fprintf(&b, ", %d %s", n, unavailabilityNames[r])
		}
	}
	return b.String()
}
