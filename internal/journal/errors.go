package journal

import (
	"fmt"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// DeposedError says that another owner took the partition.
type DeposedError struct {
	Partition model.Partition
	NewOwner  model.InstanceID
	Epoch     model.Epoch
	// NotWritten says that the entry of the failed Append is not in the journal and never will
	// be. If it is false, the entry may be in the journal.
	NotWritten bool
}

// Error implements error.
func (e *DeposedError) Error() string {
	return fmt.Sprintf("partition %d: deposed by %q with epoch %d", e.Partition, e.NewOwner, e.Epoch)
}

// PendingError says that the outcome of a write is not known yet: it may have taken
// effect or may still do so.
type PendingError struct {
	Partition model.Partition
	Sequence  uint64
	Cause     error
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("partition %d: outcome of write %d unknown: %v", e.Partition, e.Sequence, e.Cause)
}

// Unwrap returns the cause.
func (e *PendingError) Unwrap() error { return e.Cause }

// TooLargeError says that a value is larger than MaxValueBytes.
type TooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %d bytes exceeds %d", e.Bytes, MaxValueBytes)
}

// CorruptError says that the stored journal is inconsistent, for example because the store lost
// acknowledged writes.
type CorruptError struct {
	Partition model.Partition
	Problem   string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("partition %d: journal is corrupt: %s", e.Partition, e.Problem)
}

// ReleasedError says that the owner has released the partition.
type ReleasedError struct {
	Partition model.Partition
}

// Error implements error.
func (e *ReleasedError) Error() string {
	return fmt.Sprintf("partition %d: journal was released", e.Partition)
}
