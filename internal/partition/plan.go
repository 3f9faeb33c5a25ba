package partition

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// planSoon asks for a decision as soon as the spacing allows.
func (p *loop) planSoon() { p.planWanted = true }

// planIfDue decides if something has happened, or if the last decision is old.
func (p *loop) planIfDue(now time.Time) {
	age := now.Sub(p.lastPlan)
	if p.stopping || age < planSpacing || (!p.planWanted && age < planPeriod) {
		return
	}
	p.lastPlan = now
	p.planWanted = false
	p.plan(now)
}

// plan asks the policy and turns its plan into ledger commands.
func (p *loop) plan(now time.Time) {
	doc, ok := p.cfg.ConfigSource.Current()
	if !ok {
		return
	}
	snapshot := p.snapshot(now, doc)
	plan := p.cfg.Policy.Plan(snapshot)
	if len(plan.Placements)+len(plan.Signals)+len(plan.Parked) > 0 {
		p.urgent = true
	}
	for _, placement := range plan.Placements {
		p.place(now, placement)
	}
	for _, relief := range plan.Signals {
		p.relieve(now, relief)
	}
	for _, parking := range plan.Parked {
		p.logError("park", p.ledger.Park(now, parking.Job, parking.Reason))
	}
	p.transferStranded(now, snapshot)
}

// snapshot is the state that the policy decides on.
func (p *loop) snapshot(now time.Time, doc *config.Document) *schedule.Snapshot {
	s := &schedule.Snapshot{
		Now:      now,
		Document: doc,
		Queue:    p.ledger.Queue(),
		TeamUse:  p.teamUse(),
	}
	for _, link := range p.links.ordered() {
		view := schedule.WorkerView{
			Worker:    link.worker,
			Committed: p.ledger.Committed(link.worker.ID),
			Attempts:  p.ledger.Attempts(link.worker.ID),
			Reachable: link.reachable(now, p.cfg.Timing),
		}
		for i := range view.Attempts {
			view.Attempts[i].Throttle = link.throttle(view.Attempts[i].ID)
		}
		if p.cfg.Services != nil {
			view.Services = p.cfg.Services(link.worker.ID)
		}
		s.Workers = append(s.Workers, view)
	}
	return s
}

// teamUse adds what the teams hold in this partition to what they hold in others.
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
	link, ok := p.links.get(placement.Worker)
	if !ok {
		return
	}
	err := p.ledger.Place(now, ledger.Placement{
		Job:         placement.Job,
		Worker:      link.worker,
		Reservation: placement.Reservation,
		NotAfter:    now.Add(p.cfg.Timing.StartWindow),
		Reason:      placement.Reason,
	})
	p.logError("place", err)
}

// relieve throttles an attempt or records its eviction.
func (p *loop) relieve(now time.Time, r schedule.Signal) {
	if r.Kind != platform.SignalThrottle {
		p.logError("evict", p.ledger.Evict(now, r.Attempt, r.Kind, r.Reason))
		return
	}
	link, ok := p.links.get(r.Worker)
	if !ok {
		return
	}
	link.setThrottle(r.Attempt, r.Share)
	signal := ledger.Signal{Worker: r.Worker, Attempt: r.Attempt, Kind: r.Kind, Share: r.Share}
	// A lost throttle is harmless, so a full channel drops it.
	select {
	case p.o.actions <- ledger.Actions{Signals: []ledger.Signal{signal}}:
	default:
	}
}
