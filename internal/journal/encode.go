package journal

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// entry is the value of one slot of the ring: a payload, or the mark of a new owner.
type entry struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Epoch    model.Epoch      `cbor:"2,keyasint"`
	Owner    model.InstanceID `cbor:"3,keyasint"`
	Payload  []byte           `cbor:"4,keyasint,omitempty"`
	// TakesOwnership marks an ownership entry, which has no payload.
	TakesOwnership bool `cbor:"5,keyasint,omitempty"`
}

// snapshotValue is the value of the snapshot key.
type snapshotValue struct {
	// Sequence is the last entry that is included in State and Tail.
	Sequence uint64           `cbor:"1,keyasint"`
	Epoch    model.Epoch      `cbor:"2,keyasint"`
	Owner    model.InstanceID `cbor:"3,keyasint"`
	State    []byte           `cbor:"4,keyasint,omitempty"`
	// Tail holds the payloads after State that were moved out of a full ring.
	Tail [][]byte `cbor:"5,keyasint,omitempty"`
	// SlotRevisions holds the revision of each slot if the owner released the partition, else nothing.
	SlotRevisions []int64 `cbor:"6,keyasint,omitempty"`
}

// The first byte of a value says how the rest is encoded.
const (
	formatPlain byte = iota + 1
	formatFlate
)

// compressAbove is the size from which a value is compressed, in bytes.
const compressAbove = 4 << 10

// encode returns the store value of v.
func encode(v any) ([]byte, error) {
	plain, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	value := append([]byte{formatPlain}, plain...)
	if len(plain) > compressAbove {
		if value, err = compress(plain); err != nil {
			return nil, err
		}
	}
	if len(value) > MaxValueBytes {
		return nil, &TooLargeError{Bytes: len(value)}
	}
	return value, nil
}

// compressors pools flate writers, because allocating their tables costs much more memory than
// most values.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: BestSpeed is a valid level
	}
	return w
}}

// compress returns the compressed store value of the plain bytes.
func compress(plain []byte) ([]byte, error) {
	buffer := bytes.NewBuffer([]byte{formatFlate})
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(buffer)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decode reads a store value into v.
func decode(value []byte, v any) error {
	if len(value) == 0 {
		return io.ErrUnexpectedEOF
	}
	plain := value[1:]
	if value[0] == formatFlate {
		var err error
		if plain, err = io.ReadAll(flate.NewReader(bytes.NewReader(plain))); err != nil {
			return err
		}
	}
	return cbor.Unmarshal(plain, v)
}

// decodeEntry reads the value of a slot.
func decodeEntry(value []byte) (entry, error) {
	var e entry
	err := decode(value, &e)
	return e, err
}
