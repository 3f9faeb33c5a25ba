// Package peer carries calls between instances over WebSocket connections with CBOR
// messages. Each error of a call says whether the call may have been executed.
package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Kind names a call between instances. The package that serves the calls defines the kinds
// and their types.
type Kind uint8

// Handler serves one kind of call. The body is the CBOR form of the caller's argument and
// the reply is sent as CBOR. An error without a verdict reaches the caller as MayHaveRun.
// The context ends at the caller's deadline.
type Handler func(ctx context.Context, from model.InstanceID, body []byte) (reply any, err error)

const (
	// Version is the version of the protocol. A server refuses any other one.
	Version = 1

	// MaxMessageBytes bounds one message, in bytes. It holds a store value of 1 MB.
	MaxMessageBytes = 2 << 20
	// MaxInFlight bounds the calls of one connection that wait for an answer.
	MaxInFlight = 1024
	// MaxCallsPerKind bounds the calls of one kind that a server executes at once, so that
	// slow calls of one kind cannot take the place of all others.
	MaxCallsPerKind = 256

	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// dialTimeout bounds the dial and the exchange of hellos.
	dialTimeout = time.Second
	// pingInterval is the time between two pings of a connection.
	pingInterval = time.Second
	// pingTimeout is the time after which an unanswered ping closes the connection.
	pingTimeout = 2 * time.Second
	// writeTimeout bounds the write of one message.
	writeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed dial.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// hello is the first message in each direction.
type hello struct {
	Version int              `cbor:"1,keyasint"`
	Sender  model.InstanceID `cbor:"2,keyasint"`
}

// request is one call.
type request struct {
	ID   uint64 `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	// Timeout is the time left to the caller. It is relative, so that the clocks of the
	// instances need not agree.
	Timeout time.Duration   `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
}

// response answers the request with the same id.
type response struct {
	ID   uint64          `cbor:"1,keyasint"`
	Err  *verdict.Error  `cbor:"2,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// decoding bounds what a message may contain.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  32,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encoding keeps the fraction of a second of times.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode reads the body of a call.
func Decode(body []byte, out any) error {
	if err := decoding.Unmarshal(body, out); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "unreadable call: %v", err)
	}
	return nil
}
