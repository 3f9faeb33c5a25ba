package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/platform/etcdwire"
)

// StoreOptions bound the calls of an EtcdStore; zero values take the defaults.
type StoreOptions struct {
	// CallTimeout bounds every call except a watch, of which it bounds the creation.
	CallTimeout time.Duration
	// WatchIdleTimeout ends a watch that delivers neither a change nor a progress message for this
	// time. The store must send progress messages more often.
	WatchIdleTimeout time.Duration
}

// The defaults of StoreOptions.
const (
	DefaultStoreCallTimeout      = 2 * time.Second
	DefaultStoreWatchIdleTimeout = 5 * time.Second
)

// storeIdleConns is the number of idle connections kept to each endpoint.
const storeIdleConns = 64

// EtcdStore is a client of the etcd v3 API in its JSON form over HTTP. It is safe for concurrent use.
// A call goes to one endpoint and is never repeated. After a call without a usable response, the
// next call goes to the next endpoint.
type EtcdStore struct {
	endpoints []string
	current   atomic.Uint32
	client    *http.Client
	options   StoreOptions
}

var _ Store = (*EtcdStore)(nil)

// NewStore returns a client of the store at the endpoints, which are URLs such as
// http://10.0.0.1:2379.
func NewStore(endpoints []string, o StoreOptions) (*EtcdStore, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("no store endpoint given")
	}
	for _, e := range endpoints {
		if err := checkURL(e); err != nil {
			return nil, errors.Annotate(err, "store endpoint")
		}
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultStoreCallTimeout
	}
	if o.WatchIdleTimeout == 0 {
		o.WatchIdleTimeout = DefaultStoreWatchIdleTimeout
	}
	return &EtcdStore{endpoints: endpoints, client: newHTTPClient(storeIdleConns), options: o}, nil
}

// Get implements Store.
func (s *EtcdStore) Get(ctx context.Context, key string) (KeyValue, int64, error) {
	var out etcdwire.RangeResponse
	if err := s.call(ctx, "get", etcdwire.RangePath, etcdwire.RangeRequest{Key: []byte(key)}, &out, false); err != nil {
		return KeyValue{}, 0, err
	}
	if len(out.KVs) == 0 {
		return KeyValue{Key: key}, out.Header.Revision, nil
	}
	return fromWire(out.KVs[0]), out.Header.Revision, nil
}

// List implements Store.
func (s *EtcdStore) List(ctx context.Context, prefix string) ([]KeyValue, int64, error) {
	in := etcdwire.RangeRequest{Key: []byte(prefix), RangeEnd: etcdwire.PrefixEnd([]byte(prefix))}
	var out etcdwire.RangeResponse
	if err := s.call(ctx, "list", etcdwire.RangePath, in, &out, false); err != nil {
		return nil, 0, err
	}
	list := make([]KeyValue, 0, len(out.KVs))
	for _, kv := range out.KVs {
		list = append(list, fromWire(kv))
	}
	return list, out.Header.Revision, nil
}

// CompareAndSwap implements Store.
func (s *EtcdStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (CompareAndSwapResult, error) {
	k := []byte(key)
	in := etcdwire.TxnRequest{
		Compare: []etcdwire.Compare{{Key: k, Target: etcdwire.TargetMod, Result: etcdwire.ResultEqual, ModRevision: expected}},
		Success: []etcdwire.RequestOp{{Put: &etcdwire.PutRequest{Key: k, Value: value, Lease: int64(lease)}}},
		Failure: []etcdwire.RequestOp{{Range: &etcdwire.RangeRequest{Key: k}}},
	}
	var out etcdwire.TxnResponse
	if err := s.call(ctx, "swap", etcdwire.TxnPath, in, &out, true); err != nil {
		return CompareAndSwapResult{}, err
	}
	result := CompareAndSwapResult{Applied: out.Succeeded, Revision: out.Header.Revision}
	if out.Succeeded {
		return result, nil
	}
	if len(out.Responses) != 1 || out.Responses[0].Range == nil {
		return CompareAndSwapResult{}, &StoreError{Op: "swap", Unknown: true, Cause: errors.New("the answer lacks the current entry")}
	}
	result.Current = KeyValue{Key: key}
	if kvs := out.Responses[0].Range.KVs; len(kvs) > 0 {
		result.Current = fromWire(kvs[0])
	}
	return result, nil
}

// Grant implements Store. The TTL of a lease is a whole number of seconds, so ttl is rounded up.
func (s *EtcdStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	in := etcdwire.GrantRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	var out etcdwire.GrantResponse
	if err := s.call(ctx, "grant", etcdwire.GrantPath, in, &out, true); err != nil {
		return 0, err
	}
	return LeaseID(out.ID), nil
}

// Renew implements Store.
func (s *EtcdStore) Renew(ctx context.Context, lease LeaseID) error {
	var out etcdwire.KeepAliveResponse
	if err := s.call(ctx, "renew", etcdwire.KeepAlivePath, etcdwire.LeaseRequest{ID: int64(lease)}, &out, true); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return &StoreError{Op: "renew", Lapsed: true, Cause: errors.New("the lease has lapsed")}
	}
	return nil
}

// Revoke implements Store.
func (s *EtcdStore) Revoke(ctx context.Context, lease LeaseID) error {
	var out etcdwire.RevokeResponse
	return s.call(ctx, "revoke", etcdwire.RevokePath, etcdwire.LeaseRequest{ID: int64(lease)}, &out, true)
}

// call performs one call. Its result is nil or a *StoreError.
func (s *EtcdStore) call(ctx context.Context, op, path string, in, out any, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	index := s.current.Load()
	callErr := callJSON(ctx, s.client, http.MethodPost, s.endpoint(index)+path, in, out)
	if callErr == nil {
		return nil
	}
	if callErr.Status == 0 {
		s.failed(index)
	}
	return storeError(op, callErr, write)
}

// failed notes that a connection to the endpoint with the index n brought no usable response. The next call goes to the
// next endpoint, and on a new connection: unused ones may have gone silent at the same time, and each would cost a
// call its whole timeout.
func (s *EtcdStore) failed(n uint32) {
	s.current.CompareAndSwap(n, n+1)
	s.client.CloseIdleConnections()
}

// endpoint returns the endpoint with the index n modulo the number of endpoints.
func (s *EtcdStore) endpoint(n uint32) string {
	return s.endpoints[int(n)%len(s.endpoints)]
}

// storeError converts a failed call to a StoreError.
func storeError(op string, e *callError, write bool) *StoreError {
	out := &StoreError{Op: op, Unknown: write && e.Sent, Cause: e.Cause}
	if e.Status == 0 {
		return out
	}
	var status etcdwire.Status
	if err := json.Unmarshal(e.Body, &status); err != nil {
		return out
	}
	if status.Message != "" {
		out.Cause = errors.New(status.Message)
	}
	if isRefusal(status.Code) {
		out.Unknown = false
	}
	out.Lapsed = status.Code == etcdwire.CodeNotFound
	out.Compacted = status.Code == etcdwire.CodeOutOfRange
	return out
}

// isRefusal reports whether the store uses the code only for requests that it did not perform. Codes
// for an unavailable or slow store are not among them, because it may still perform the request.
func isRefusal(code int) bool {
	switch code {
	case etcdwire.CodeInvalidArgument, etcdwire.CodeNotFound, etcdwire.CodePermissionDenied,
		etcdwire.CodeResourceExhausted, etcdwire.CodeOutOfRange, etcdwire.CodeUnimplemented,
		etcdwire.CodeUnauthenticated:
		return true
	}
	return false
}

// fromWire converts an entry from its form in the etcd API.
func fromWire(kv etcdwire.KeyValue) KeyValue {
	return KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: LeaseID(kv.Lease)}
}
