package owner

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a list of waiting parameters that grows with each report of a worker while records wait for the store,
// until the owner is busy with nothing else.
func TestPendingParametersOfAWorkerAreBounded(t *testing.T) {
	is := is.New(t)
	var c committer
	rn := &renewer{}
	for i := range 100 {
		c.addPending(rn, pendingParams{params: renewalParams{ackSeq: int64(i)}, txnNumber: int64(i)})
		c.addPending(rn, pendingParams{params: renewalParams{awaitsAck: true}, txnNumber: int64(i)})
	}
	is.Equal(len(c.pending[rn]), 2*maxPendingParams)
	is.Equal(c.pending[rn][0].txnNumber, int64(0)) // the oldest stays, as it becomes durable first
	c.addPending(rn, pendingParams{params: renewalParams{generation: 1}})
	is.Equal(len(c.pending[rn]), 1)
}
