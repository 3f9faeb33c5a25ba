package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
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

// reborn: two runners of sixteen at a time lose power for a moment and start again under their ids, while jobs come in.
func reborn(s *System, trouble bool) ([]string, error) {
	const (
		runners = 16
		atOnce  = 2
		lasts   = 2500 * time.Millisecond
		rounds  = 20
		darkFor = 1200 * time.Millisecond
	)
	s.Configure(1, defaultRoute())
	if err := s.AddRunners(runners, func(string) time.Duration { return lasts }); err != nil {
		return nil, err
	}
	if err := s.AddInstances(3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var jobs sync.WaitGroup
	jobs.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			jobs.Go(func() {
				s.Submit(newID(), Step{Count: 13, CPU: 1000, Mem: 500, Estimate: lasts.Milliseconds(), AntiAffinity: 1})
			})
		}
	})
	time.Sleep(4 * time.Second)
	for round := 0; round < rounds && len(s.checker.Broken()) == 0; round++ {
		if trouble {
			var victims []*Runner
			for n := range atOnce {
				victims = append(victims, s.runners[(round*atOnce+n)%runners])
			}
			for _, v := range victims {
				s.record.Line("power  %s off for %s", v.ID, darkFor)
				v.PowerOff()
			}
			time.Sleep(darkFor)
			for _, v := range victims {
				v.PowerOn()
				s.record.Line("power  %s on again", v.ID)
			}
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	jobs.Wait()
	time.Sleep(5 * time.Second)
	return s.checker.Broken(), nil
}

// waiting: all runners but one are full, and that one refuses what it is told to start. Consumers ask how many jobs wait.
func waiting(s *System, trouble bool) ([]string, error) {
	const (
		runners  = 10
		perEach  = 8 // tasks of 4 cores on a runner of 32
		jobs     = 8
		refusing = 6500 * time.Millisecond
		known    = 5 * time.Second // visible-ms and 2 s
	)
	s.Configure(1, defaultRoute())
	long := newID()
	lasts := func(task string) time.Duration {
		if jobOf(task) == long {
			return 20 * time.Second
		}
		return time.Second
	}
	if err := s.AddRunners(runners, lasts); err != nil {
		return nil, err
	}
	if err := s.AddInstances(3); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	s.runners[runners-1].SetUnwell(trouble)
	began := time.Now()
	s.record.Line("info   %s refuses all starts: %v", s.runners[runners-1].ID, trouble)
	task := Step{Count: 1, CPU: 4000, Mem: 8000, Estimate: 1000}
	full := task
	full.Count, full.Estimate = (runners-1)*perEach, 20000
	if !s.Submit(long, full) {
		return nil, fmt.Errorf("the long job was not accepted: %w", errCannotRun)
	}
	time.Sleep(200 * time.Millisecond)
	accepted := map[string]time.Time{}
	for range jobs {
		id := newID()
		if s.Submit(id, task) {
			accepted[id] = time.Now()
		}
	}
	var broken []string
	for time.Since(began) < refusing {
		for _, in := range s.instances {
			waits := 0
			for id, at := range accepted {
				if time.Since(at) > known && !s.checker.Begun(id) {
					waits++
				}
			}
			status, body := s.Call(in, http.MethodGet, "", nil)
			var answer struct {
				Waiting *int `json:"waiting"`
			}
			if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil || answer.Waiting == nil {
				continue
			}
			for id := range accepted { // only jobs that still haven't begun after the answer count
				if waits > 0 && s.checker.Begun(id) {
					waits--
				}
			}
			if 2**answer.Waiting < waits {
				broken = append(broken, fmt.Sprintf("%s says that %d jobs wait; %d have waited for over %s", in.Name, *answer.Waiting, waits, known))
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	for id := range accepted {
		s.Call(s.instances[0], http.MethodGet, id, nil)
		break
	}
	s.runners[runners-1].SetUnwell(false)
	for id := range accepted {
		if !s.WaitState(id, "completed", 40*time.Second) {
			return nil, fmt.Errorf("a job has not completed: %w", errCannotRun)
		}
	}
	return broken, nil
}
