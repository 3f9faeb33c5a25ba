package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/apikey"
	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/owner"
)

// keysOf returns a ring with the keys of one tenant.
func keysOf(tenant string, keys ...string) *apikey.Ring {
	ring := apikey.NewRing()
	for _, key := range keys {
		ring.Add(key, tenant)
	}
	return ring
}

// Guards against a revoked key that is accepted after the bound, and against a caller who is told for good that a valid key is
// unknown, or is refused although the bound allows to serve.
func TestAccess(t *testing.T) {
	ring := keysOf("acme", "a")
	ring.Replace(keysOf("acme", "a", "old"))
	limit := newRevocationLimit(5 * time.Second)
	for name, c := range map[string]struct {
		public bool
		keys   *apikey.Ring
		key    string
		age    time.Duration
		limit  revocationLimit
		want   Denial
		tenant string
	}{
		"no tenants":                          {keys: nil, age: time.Hour, limit: limit},
		"public route":                        {public: true, keys: ring, age: time.Hour, limit: limit},
		"public route, unknown key":           {public: true, keys: ring, key: "x", limit: limit},
		"no key":                              {keys: ring, want: KeyMissing},
		"no key, old configuration":           {keys: ring, age: time.Hour, limit: limit, want: KeyMissing},
		"valid key":                           {keys: ring, key: "a", limit: limit, tenant: "acme"},
		"valid key, as old as allowed":        {keys: ring, key: "a", age: limit.maxAge - 1, limit: limit, tenant: "acme"},
		"valid key, too old":                  {keys: ring, key: "a", age: limit.maxAge, limit: limit, want: KeyUnconfirmed},
		"valid key, never confirmed":          {keys: ring, key: "a", age: neverConfirmed, limit: limit, want: KeyUnconfirmed},
		"valid key, old, no bound":            {keys: ring, key: "a", age: neverConfirmed, tenant: "acme"},
		"unknown key":                         {keys: ring, key: "x", age: maxDenialAge, limit: limit, want: KeyUnknown},
		"unknown key, may be new":             {keys: ring, key: "x", age: maxDenialAge + 1, limit: limit, want: KeyUnconfirmed},
		"unknown key, may be new, no bound":   {keys: ring, key: "x", age: maxDenialAge + 1, want: KeyUnconfirmed},
		"revoked key":                         {keys: ring, key: "old", want: KeyRevoked, tenant: "acme"},
		"revoked key, may have been restored": {keys: ring, key: "old", age: maxDenialAge + 1, want: KeyUnconfirmed},
		"all keys revoked":                    {keys: keysOf("acme"), key: "a", want: KeyUnknown},
		"a bound that no read can keep":       {keys: ring, key: "a", limit: newRevocationLimit(100 * time.Millisecond), want: KeyUnconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := &Config{Keys: c.keys}
			got := config.access(Route{Public: c.public}, c.key, c.age, c.limit)
			is.Equal(got.Denial, c.want)
			is.Equal(got.Tenant, c.tenant)
		})
	}
}

// Guards against a bound that is used up to its end: a request may be sent while the check runs, on a clock that is slower than the
// store's.
func TestTheRevocationLimitLeavesAMargin(t *testing.T) {
	is := is.New(t)
	is.Equal(newRevocationLimit(5*time.Second).maxAge, 4650*time.Millisecond)
	is.True(newRevocationLimit(0).allows(neverConfirmed))
}

// Guards against a confirmation that makes the configuration look newer than the read that showed it, or older than another.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	var f freshness
	is.Equal(f.age(time.Hour), neverConfirmed)
	f.confirm(10 * time.Second)
	f.confirm(9 * time.Second) // a read that was sent before and answered after
	is.Equal(f.age(12*time.Second), 2*time.Second)
}

// Guards against a job that another tenant cancels, also by a public route, and against one that nobody can cancel any more since
// its tenant was renamed.
func TestOnlyTheTenantOfAJobCancelsIt(t *testing.T) {
	for name, c := range map[string]struct {
		submitter, caller string
		want              Result
	}{
		"the same tenant":            {"acme", "acme", Done},
		"another tenant":             {"acme", "other", Forbidden},
		"a public route":             {"acme", "", Forbidden},
		"a job of a public route":    {"", "", Done},
		"a job from before the keys": {"", "acme", Done},
		"a tenant that is gone":      {"gone", "acme", Done},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stored := owner.EncodeSubmission(owner.Submission{Queue: "q", Tenant: c.submitter})
			s := &fakeStore{items: map[string]kv.Item{owner.JobKey("id"): {Value: stored}}}
			i := newInstance(s)
			i.watcher.inForce.Store(&Config{Batch: batch.Config{Tenants: map[string]batch.Tenant{"acme": {}, "other": {}}}})
			is.Equal(i.Cancel(t.Context(), "id", c.caller), c.want)
			is.Equal(s.calls > 0, c.want == Done)
		})
	}
}
