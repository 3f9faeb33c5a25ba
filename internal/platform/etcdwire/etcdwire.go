// Package etcdwire defines the messages of the JSON form of the etcd v3 API that single-key
// compare-and-swap, leases and watches need. As the protobuf JSON mapping defines, 64-bit integers are
// encoded as strings, and keys and values as base64.
package etcdwire

// Paths of the calls.
const (
	RangePath     = "/v3/kv/range"
	TxnPath       = "/v3/kv/txn"
	GrantPath     = "/v3/lease/grant"
	KeepAlivePath = "/v3/lease/keepalive"
	RevokePath    = "/v3/lease/revoke"
	WatchPath     = "/v3/watch"
)

// The gRPC status codes that a Status carries.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodePermissionDenied  = 7
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnimplemented     = 12
	CodeUnavailable       = 14
	CodeUnauthenticated   = 16
)

// Status is the body of a failed call.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one entry of the store.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to, but not including, RangeEnd. Without RangeEnd it reads
// Key only.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest; KVs are ordered by key.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// The only comparison in use is that the modification revision of a key equals a value.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range *RangeRequest `json:"request_range,omitempty"`
	Put   *PutRequest   `json:"request_put,omitempty"`
}

// TxnRequest performs Success if all conditions hold, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// ResponseOp is the outcome of one operation. Exactly one field is set.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
	Put   *PutResponse   `json:"response_put,omitempty"`
}

// PutResponse is the outcome of a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest creates a lease; TTL is in seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// GrantResponse answers a GrantRequest.
type GrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// LeaseRequest names the lease to renew or to revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse is one message of the answer to a renewal; a TTL of zero means that
// the lease does not exist.
type KeepAliveResponse struct {
	Result GrantResponse `json:"result"`
}

// RevokeResponse answers a revocation.
type RevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate holds the parameters of a watch. ProgressNotify asks for messages without events while
// nothing changes.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// EventDelete is the type of an event that deletes a key; a write has an empty type.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the content of one message of a watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Status      `json:"error,omitempty"`
}

// PrefixEnd returns the end of the range of all keys with the prefix.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
