package entry

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The kinds of calls between instances.
const (
	kindSubmitted peer.Kind = iota + 1
	kindCancelled
	kindJobStatus
	kindQueuedJobs
	kindYield
	kindCreate
	kindLeadershipEnd
)

type submittedMessage struct {
	ID         string           `cbor:"1,keyasint"`
	Submission owner.Submission `cbor:"2,keyasint"`
	// Revision is the revision of the store at which the job was stored; 0 in messages of earlier versions.
	Revision int64 `cbor:"3,keyasint,omitempty"`
}

type jobIDMessage struct {
	ID string `cbor:"1,keyasint"`
}

type cancelledMessage struct {
	ID string `cbor:"1,keyasint"`
	// Revision is the revision of the store at which the job was stored; 0 in messages of earlier versions.
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

type yieldMessage struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Speed is the processor time that the requesting instance gets, in cores.
	Speed float64 `cbor:"2,keyasint"`
}

// leadershipEndMessage tells the owner with an epoch that the owner before it has ended.
type leadershipEndMessage struct {
	Epoch int64               `cbor:"1,keyasint"`
	End   owner.LeadershipEnd `cbor:"2,keyasint"`
}

// createMessage asks the owner to create a key.
type createMessage struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	// Conditions must hold for the creation. Messages of earlier versions have none: they ask for a key that does not exist.
	Conditions []conditionMessage `cbor:"3,keyasint,omitempty"`
}

// conditionMessage is a kv.Condition.
type conditionMessage struct {
	Key string `cbor:"1,keyasint"`
	Rev int64  `cbor:"2,keyasint,omitempty"`
}

func newCreateMessage(key newKey) createMessage {
	msg := createMessage{Key: key.key, Value: key.value}
	for _, c := range key.conditions {
		msg.Conditions = append(msg.Conditions, conditionMessage(c))
	}
	return msg
}

// newKey returns the key to create.
func (m createMessage) newKey() newKey {
	key := newKey{key: m.Key, value: m.Value}
	for _, c := range m.Conditions {
		key.conditions = append(key.conditions, kv.Condition(c))
	}
	if len(key.conditions) == 0 {
		key.conditions = []kv.Condition{{Key: m.Key}}
	}
	return key
}

type createReply struct {
	Outcome creation `cbor:"1,keyasint"`
	// Revision is the revision of the store at which the key was created, if Outcome is creationDone; 0 in replies of earlier versions.
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

type queueMessage struct {
	Queue string `cbor:"1,keyasint"`
}

type countMessage struct {
	Count int `cbor:"1,keyasint"`
}

// RegisterPeerCalls registers the handlers of calls from other instances.
func (i *Instance) RegisterPeerCalls(server *peer.Server) {
	server.Handle(kindYield, func(ctx context.Context, _ model.InstanceID, body []byte) (any, error) {
		var msg yieldMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, err
		}
		return nil, notOwnerError(i.owner.Yield(ctx, msg.Epoch, msg.Speed))
	})
	server.Handle(kindLeadershipEnd, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var msg leadershipEndMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, err
		}
		return nil, notOwnerError(i.owner.FormerOwnerEnded(msg.Epoch, msg.End))
	})
	server.Handle(kindSubmitted, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		msg, err := decodeSubmitted(body)
		if err != nil {
			return nil, err
		}
		return nil, notOwnerError(i.owner.NotifySubmitted(msg.ID, msg.Revision, msg.Submission))
	})
	server.Handle(kindCancelled, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var msg cancelledMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, err
		}
		return nil, notOwnerError(i.owner.NotifyCancelled(msg.ID, msg.Revision))
	})
	server.Handle(kindJobStatus, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var msg jobIDMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, err
		}
		status, ok := i.owner.JobStatus(msg.ID, ownerCallTimeout)
		return status, notOwnerError(ok)
	})
	server.Handle(kindCreate, func(ctx context.Context, _ model.InstanceID, body []byte) (any, error) {
		var msg createMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, err
		}
		if !owner.IsCallerKey(msg.Key) {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "key %q is not one that calls of callers create", msg.Key)
		}
		a := i.createHere(ctx, msg.newKey())
		return createReply{Outcome: a.outcome, Revision: a.revision}, nil
	})
	server.Handle(kindQueuedJobs, func(_ context.Context, _ model.InstanceID, body []byte) (any, error) {
		var msg queueMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, err
		}
		count, ok := i.owner.QueuedJobs(msg.Queue, ownerCallTimeout)
		return countMessage{count}, notOwnerError(ok)
	})
}

// decodeSubmitted decodes the message about a new job and validates the job.
func decodeSubmitted(body []byte) (submittedMessage, error) {
	var msg submittedMessage
	if err := peer.Decode(body, &msg); err != nil {
		return msg, err
	}
	if err := msg.Submission.Spec.Validate(); err != nil {
		return msg, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "job %s: %v", msg.ID, err)
	}
	return msg, nil
}

// notOwnerError returns nil if this instance is the owner, otherwise the error for the calling
// instance.
func notOwnerError(isOwner bool) error {
	if isOwner {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "this instance is not the owner")
}

// notifySubmitted tells the owner about a job that was stored at a revision so that it starts without delay. If the message is
// lost, the owner finds the job in the store.
func (i *Instance) notifySubmitted(id string, revision int64, submission owner.Submission) {
	if i.owner.NotifySubmitted(id, revision, submission) {
		return
	}
	i.notifyOwner(kindSubmitted, submittedMessage{ID: id, Submission: submission, Revision: revision}, id)
}

// notifyCancelled tells the owner about the cancellation of a job that was stored at a revision, so that it is carried out without
// delay. If the message is lost, the owner finds the cancellation in the store.
func (i *Instance) notifyCancelled(id string, revision int64) {
	if i.owner.NotifyCancelled(id, revision) {
		return
	}
	i.notifyOwner(kindCancelled, cancelledMessage{ID: id, Revision: revision}, id)
}

// notifyOwner sends a message about a job to the owner in the background. A failure is only logged.
func (i *Instance) notifyOwner(kind peer.Kind, msg any, id string) {
	claim := i.claim()
	if claim == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := i.peers.Call(ctx, claim.Address, kind, msg, nil); err != nil {
			i.log.Warn().Str("event", "owner.not-notified").Str("job", id).Str("owner", claim.Instance).Err(err).Send()
		}
	}()
}

// peerDisconnected checks, when the connection to the owner has ended, whether its process has ended
// too. If so, it revokes the owner's claim, so that another instance takes over at once.
func (i *Instance) peerDisconnected(addr string) {
	claim := i.claim()
	if claim == nil || claim.Address != addr || !peer.ConnectionRefused(context.Background(), addr) {
		return
	}
	i.owner.RevokeClaim(*claim, "its process has ended")
}

// queryJobStatus asks the owner for the status of a job; false if there was no response.
func (i *Instance) queryJobStatus(ctx context.Context, id string) (owner.JobStatus, bool) {
	if status, ok := i.owner.JobStatus(id, ownerCallTimeout); ok {
		return status, true
	}
	var status owner.JobStatus
	ok := i.queryOwner(ctx, kindJobStatus, jobIDMessage{id}, &status)
	return status, ok
}

// QueuedJobs asks the owner for the number of jobs of a queue that have not started.
func (i *Instance) QueuedJobs(ctx context.Context, queue string) (int, Result) {
	if count, ok := i.owner.QueuedJobs(queue, ownerCallTimeout); ok {
		return count, Done
	}
	var msg countMessage
	for ctx.Err() == nil {
		if i.queryOwner(ctx, kindQueuedJobs, queueMessage{queue}, &msg) {
			return msg.Count, Done
		}
		pause.For(ctx, retryInterval)
	}
	return 0, NotRun
}

// queryOwner calls the owner, if another instance is the owner, and decodes its response. It reports
// whether that succeeded.
func (i *Instance) queryOwner(ctx context.Context, kind peer.Kind, msg, response any) bool {
	claim := i.claim()
	if claim == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	return i.peers.Call(ctx, claim.Address, kind, msg, response) == nil
}
