package entry

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The calls between instances.
const (
	kindSubmitted peer.Kind = iota + 1
	kindCancelled
	kindOutcome
	kindWaiting
	kindYield
)

type submittedMessage struct {
	ID         string           `cbor:"1,keyasint"`
	Submission owner.Submission `cbor:"2,keyasint"`
}

type jobMessage struct {
	ID string `cbor:"1,keyasint"`
}

type yieldMessage struct {
	Epoch int64   `cbor:"1,keyasint"`
	Speed float64 `cbor:"2,keyasint"` // of the machine that asks, in cores
}

type queueMessage struct {
	Queue string `cbor:"1,keyasint"`
}

type countMessage struct {
	Count int `cbor:"1,keyasint"`
}

// RegisterPeerCalls registers the calls that other instances make.
func (i *Instance) RegisterPeerCalls(s *peer.Server) {
	s.Handle(kindYield, func(ctx context.Context, _ model.InstanceID, body []byte) (any, error) {
		var m yieldMessage
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		return nil, notOwnerUnless(i.owner.Yield(ctx, m.Epoch, m.Speed))
	})
	s.Handle(kindSubmitted, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var m submittedMessage
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		return nil, notOwnerUnless(i.owner.NotifySubmitted(m.ID, m.Submission))
	})
	s.Handle(kindCancelled, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var m jobMessage
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		return nil, notOwnerUnless(i.owner.NotifyCancelled(m.ID))
	})
	s.Handle(kindOutcome, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var m jobMessage
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		o, ok := i.owner.JobStatus(m.ID, ownerTimeout)
		return o, notOwnerUnless(ok)
	})
	s.Handle(kindWaiting, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var m queueMessage
		if err := peer.Decode(body, &m); err != nil {
			return nil, err
		}
		n, ok := i.owner.QueuedJobs(m.Queue, ownerTimeout)
		return countMessage{n}, notOwnerUnless(ok)
	})
}

func notOwnerUnless(ok bool) error {
	if ok {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "this instance does not lead")
}

// notifySubmitted tells the owner of a new job, so that it starts at once. The owner finds
// the job in the store if the message is lost.
func (i *Instance) notifySubmitted(id string, s owner.Submission) {
	if i.owner.NotifySubmitted(id, s) {
		return
	}
	i.notify(kindSubmitted, submittedMessage{ID: id, Submission: s}, id)
}

func (i *Instance) notifyCancelled(id string) {
	if i.owner.NotifyCancelled(id) {
		return
	}
	i.notify(kindCancelled, jobMessage{id}, id)
}

// notify sends a message to the owner in the background.
func (i *Instance) notify(k peer.Kind, m any, id string) {
	c := i.owner.Claim()
	if c == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := i.peers.Call(ctx, c.Address, k, m, nil); err != nil {
			i.log.Warn().Str("event", "owner.not-notified").Str("job", id).Str("owner", c.Instance).Err(err).Send()
		}
	}()
}

// peerLost looks whether the owner is gone when the connection to it has ended.
func (i *Instance) peerLost(addr string) {
	c := i.owner.Claim()
	if c == nil || c.Address != addr || !peer.ConnectionRefused(context.Background(), addr) {
		return
	}
	i.owner.RevokeClaim(*c, "its process has ended")
}

// askOutcome asks the owner for a job.
func (i *Instance) askOutcome(ctx context.Context, id string) (owner.JobStatus, bool) {
	if o, ok := i.owner.JobStatus(id, ownerTimeout); ok {
		return o, true
	}
	var o owner.JobStatus
	ok := i.ask(ctx, kindOutcome, jobMessage{id}, &o)
	return o, ok
}

// QueuedJobs asks the owner for the number of jobs of a queue without a start.
func (i *Instance) QueuedJobs(ctx context.Context, queue string) (int, Result) {
	if n, ok := i.owner.QueuedJobs(queue, ownerTimeout); ok {
		return n, Done
	}
	var m countMessage
	for ctx.Err() == nil {
		if i.ask(ctx, kindWaiting, queueMessage{queue}, &m) {
			return m.Count, Done
		}
		pause.For(ctx, retryPause)
	}
	return 0, NotRun
}

// ask puts a question to the owner, if another instance is the owner.
func (i *Instance) ask(ctx context.Context, k peer.Kind, m, answer any) bool {
	c := i.owner.Claim()
	if c == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return i.peers.Call(ctx, c.Address, k, m, answer) == nil
}
