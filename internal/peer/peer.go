// Package peer implements remote calls between instances over WebSocket connections with
// CBOR messages. Each error of a call says whether the call may have been executed.
package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Kind identifies a type of call between instances. The package that serves the calls
// defines the kinds and the types of their arguments and replies.
type Kind uint8

// Handler serves one kind of call. The body is the CBOR encoding of the caller's argument and
// the reply is sent as CBOR. An error without a verdict reaches the caller as MayHaveRun.
// The context ends at the caller's deadline.
type Handler func(ctx context.Context, from model.InstanceID, body []byte) (reply any, err error)

const (
	// Version is the version of the protocol. A server refuses all other versions.
	Version = 1

	// MaxMessageBytes is the largest size of one message, in bytes. It leaves room for a
	// store value of 1 MB.
	MaxMessageBytes = 2 << 20
	// maxHelloBytes is the largest size of the handshake message, in bytes.
	maxHelloBytes = 4 << 10
	// defaultBudgetBytes is what the messages that a server receives at a time may hold unless SetBudget is called, in
	// bytes.
	defaultBudgetBytes = 64 << 20
	// MaxInFlight bounds the calls of one connection that wait for a response.
	MaxInFlight = 1024
	// MaxCallsPerKind bounds the calls of one kind that a server executes at once, so that
	// slow calls of one kind cannot exhaust the server for the other kinds.
	MaxCallsPerKind = 256

	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// dialTimeout bounds the dial and the handshake.
	dialTimeout = time.Second
	// pingInterval is the time between two pings of a connection.
	pingInterval = time.Second
	// pingTimeout is the time after which an unanswered ping closes the connection.
	pingTimeout = 2 * time.Second
	// writeTimeout bounds the write of one message.
	writeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed dial.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// hello is the handshake message, which each side sends first.
type hello struct {
	Version int              `cbor:"1,keyasint"`
	Sender  model.InstanceID `cbor:"2,keyasint"`
}

// request is the message that carries one call.
type request struct {
	ID   uint64 `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	// Timeout is the time left until the caller's deadline. It is a duration, so that the
	// clocks of the instances need not agree.
	Timeout time.Duration   `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
}

// response is the result of the request with the same ID.
type response struct {
	ID   uint64          `cbor:"1,keyasint"`
	Err  *verdict.Error  `cbor:"2,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// decMode refuses duplicate map keys and bounds the nesting and the size of collections.
var decMode = func() cbor.DecMode {
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

// encMode encodes times with nanoseconds.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode decodes the body of a call into out.
func Decode(body []byte, out any) error {
	if err := decMode.Unmarshal(body, out); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "cannot decode call: %v", err)
	}
	return nil
}
