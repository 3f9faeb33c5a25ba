package main

import (
	"fmt"
	"time"
)

// manyEnds: a job of many small tasks; one runner of six is cut off while its tasks end, and runs on.
func manyEnds(s *System, trouble bool) ([]string, error) {
	const (
		tasks   = 3900
		lasts   = 4 * time.Second
		cutFor  = 4 * time.Second
		runners = 6
	)
	s.Configure(1, defaultRoute())
	if err := s.AddRunners(runners, func(string) time.Duration { return lasts }); err != nil {
		return nil, err
	}
	if err := s.AddInstances(3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := newID()
	if !s.Submit(id, Step{Count: tasks, CPU: 40, Mem: 100, Estimate: lasts.Milliseconds()}) {
		return nil, fmt.Errorf("the job was not accepted: %w", errCannotRun)
	}
	accepted := time.Now()
	total := func() int {
		n := 0
		for _, r := range s.runners {
			started, _, _ := r.Counts()
			n += started
		}
		return n
	}
	for total() < tasks && time.Since(accepted) < lasts-500*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
	}
	victim := s.runners[0]
	for _, r := range s.runners {
		started, _, _ := r.Counts()
		s.record.Line("info   %s has started %d", r.ID, started)
	}
	if trouble {
		s.record.Line("cut    %s from all instances for %s", victim.ID, cutFor)
		victim.link.Cut()
	}
	time.Sleep(cutFor)
	_, running, ended := victim.Counts()
	s.record.Line("info   %s runs %d and lists %d ends", victim.ID, running, ended)
	if trouble {
		victim.link.Heal()
		s.record.Line("cut    healed")
	}
	if !s.WaitState(id, "completed", 60*time.Second) {
		return nil, fmt.Errorf("the job has not completed: %w", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	return s.checker.Broken(), nil
}

// reborn: a runner loses power for less than a second and starts again under its id.
func reborn(s *System, trouble bool) ([]string, error) {
	return nil, errCannotRun
}
