package partition

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// requestPlan requests a plan as soon as minPlanInterval allows.
func (p *loop) requestPlan() { p.planRequested = true }

// planIfDue makes a plan if one was requested or the last one is older than planPeriod.
func (p *loop) planIfDue(now time.Time) {
	age := now.Sub(p.lastPlan)
	if p.stopping || age < minPlanInterval || (!p.planRequested && age < planPeriod) {
		return
	}
	p.lastPlan = now
	p.planRequested = false
	p.plan(now)
}

// plan lets the policy make a plan and applies it to the ledger.
func (p *loop) plan(now time.Time) {
	doc, ok := p.cfg.ConfigSource.Current()
	if !ok {
		return
	}
	snapshot := p.snapshot(now, doc)
	plan := p.cfg.Policy.Plan(snapshot)
	if len(plan.Placements)+len(plan.Signals)+len(plan.Parked) > 0 {
		p.appendUrgent = true
	}
	for _, placement := range plan.Placements {
		p.place(now, placement)
	}
	for _, signal := range plan.Signals {
		p.applySignal(now, signal)
	}
	for _, parked := range plan.Parked {
		p.logError("park", p.ledger.Park(now, parked.Job, parked.Reason))
	}
	p.transferUnplaced(now, snapshot)
}

// snapshot returns the state of the partition from which the policy makes its plan.
func (p *loop) snapshot(now time.Time, doc *config.Document) *schedule.Snapshot {
	s := &schedule.Snapshot{
		Now:      now,
		Document: doc,
		Queue:    p.ledger.Queue(),
		TeamUse:  p.teamUse(),
	}
	for _, session := range p.sessions.ordered() {
		view := schedule.WorkerView{
			Worker:    session.worker,
			Reserved:  p.ledger.Reserved(session.worker.ID),
			Attempts:  p.ledger.Attempts(session.worker.ID),
			Reachable: session.reachable(now, p.cfg.Timing),
		}
		for i := range view.Attempts {
			view.Attempts[i].Throttle = session.throttle(view.Attempts[i].ID)
		}
		if p.cfg.Services != nil {
			view.Services = p.cfg.Services(session.worker.ID)
		}
		s.Workers = append(s.Workers, view)
	}
	return s
}

// teamUse returns the resources that the teams hold in all partitions.
func (p *loop) teamUse() map[model.Team]model.Resources {
	use := p.ledger.TeamUse()
	if p.cfg.RemoteUse == nil {
		return use
	}
	for team, held := range p.cfg.RemoteUse() {
		use[team] = use[team].Add(held)
	}
	return use
}

// place records the start of an attempt.
func (p *loop) place(now time.Time, placement schedule.Placement) {
	session, ok := p.sessions.get(placement.Worker)
	if !ok {
		return
	}
	err := p.ledger.Place(now, ledger.Placement{
		Job:         placement.Job,
		Worker:      session.worker,
		Reservation: placement.Reservation,
		NotAfter:    now.Add(p.cfg.Timing.StartWindow),
		Reason:      placement.Reason,
	})
	p.logError("place", err)
}

// applySignal throttles an attempt or records its eviction.
func (p *loop) applySignal(now time.Time, r schedule.Signal) {
	if r.Kind != platform.SignalThrottle {
		p.logError("evict", p.ledger.Evict(now, r.Attempt, r.Kind, r.Reason))
		return
	}
	session, ok := p.sessions.get(r.Worker)
	if !ok {
		return
	}
	session.setThrottle(r.Attempt, r.Share)
	signal := ledger.Signal{Worker: r.Worker, Attempt: r.Attempt, Kind: r.Kind, Share: r.Share}
	// The throttle is dropped if the channel is full, because a lost throttle is harmless.
	select {
	case p.o.actions <- ledger.Actions{Signals: []ledger.Signal{signal}}:
	default:
	}
}
