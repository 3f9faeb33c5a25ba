package schedule

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// learnedState is the part of a Scheduler that is handed on when the partition changes its owner.
type learnedState struct {
	Classes       map[model.JobClass]*classEstimate  `cbor:"1,keyasint"`
	Services      map[model.Service]*serviceEffects  `cbor:"2,keyasint"`
	Quarantine    map[model.WorkerID]savedQuarantine `cbor:"3,keyasint"`
	MinimumMemory map[model.JobID]int64              `cbor:"4,keyasint"`
	FailedOn      map[model.JobID][]model.WorkerID   `cbor:"5,keyasint"`
}

// savedQuarantine is the quarantine of one worker.
type savedQuarantine struct {
	Until  time.Time     `cbor:"1,keyasint"`
	Length time.Duration `cbor:"2,keyasint"`
}

// Marshal returns the learned state in CBOR: size estimates, interference, quarantines and the
// failures of jobs. Tracked attempts, latency monitors and pending samples are left out, because
// they are rebuilt from the next snapshots and samples.
func (s *Scheduler) Marshal() ([]byte, error) {
	l := learnedState{
		Classes:       s.classes,
		Services:      s.services,
		Quarantine:    map[model.WorkerID]savedQuarantine{},
		MinimumMemory: map[model.JobID]int64{},
		FailedOn:      map[model.JobID][]model.WorkerID{},
	}
	for id, w := range s.workers {
		if w.health.probing {
			l.Quarantine[id] = savedQuarantine{w.health.until, w.health.quarantine}
		}
	}
	for id, j := range s.jobs {
		if j.minimumMemory > 0 {
			l.MinimumMemory[id] = j.minimumMemory
		}
		for _, f := range j.failedOn {
			l.FailedOn[id] = append(l.FailedOn[id], f.worker)
		}
	}
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, errors.Annotate(err, "learned state")
	}
	data, err := mode.Marshal(l)
	return data, errors.Annotate(err, "learned state")
}

// Load replaces the learned state by one that Marshal returned. If data cannot be decoded, the
// scheduler is unchanged: a new one then decides by its built-in priors.
func (s *Scheduler) Load(data []byte, now time.Time) error {
	var l learnedState
	if err := cbor.Unmarshal(data, &l); err != nil {
		return errors.Annotate(err, "learned state")
	}
	s.classes = map[model.JobClass]*classEstimate{}
	for name, c := range l.Classes {
		if c != nil {
			s.classes[name] = c
		}
	}
	s.loadServices(l.Services)
	for id, q := range l.Quarantine {
		s.worker(id).health = workerHealth{until: q.Until, quarantine: q.Length, probing: true}
	}
	for id, memory := range l.MinimumMemory {
		s.job(id, now).minimumMemory = memory
	}
	for id, workers := range l.FailedOn {
		for _, w := range workers {
			j := s.job(id, now)
			j.failedOn = append(j.failedOn, failure{worker: w, reason: "failed under an earlier owner"})
		}
	}
	return nil
}

func (s *Scheduler) loadServices(services map[model.Service]*serviceEffects) {
	s.services = map[model.Service]*serviceEffects{}
	s.allBands = nil
	for name, e := range services {
		if e == nil {
			continue
		}
		s.services[name] = e
		for i := range e {
			e[i].index = len(s.allBands)
			s.allBands = append(s.allBands, &e[i])
		}
	}
	for _, w := range s.workers {
		w.refresh(s)
	}
}
