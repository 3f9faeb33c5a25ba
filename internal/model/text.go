package model

import "fmt"

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *JobState) UnmarshalText(b []byte) error {
	for state := JobQueued; state <= JobTransferred; state++ {
		if state.String() == string(b) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("unknown job state %q", b)
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *AttemptState) UnmarshalText(b []byte) error {
	for state := AttemptRunning; state <= AttemptRefused; state++ {
		if state.String() == string(b) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("unknown attempt state %q", b)
}
