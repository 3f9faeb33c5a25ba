package entry

import "time"

// Denial says why a call is not served; Allowed if it is.
type Denial uint8

// The reasons.
const (
	// Allowed says that the call may be served.
	Allowed Denial = iota
	// KeyMissing says that the call carries no API key although its route requires one.
	KeyMissing
	// KeyUnknown says that no tenant has the API key.
	KeyUnknown
	// KeyRevoked says that the API key was revoked.
	KeyRevoked
	// KeyUnconfirmed says that the configuration is too old to tell whether the API key is valid.
	KeyUnconfirmed
)

// String returns the name used in logs and metrics.
func (d Denial) String() string {
	return [...]string{"allowed", "key-missing", "key-unknown", "key-revoked", "key-unconfirmed"}[d]
}

// Access is the decision whether a call may be served.
type Access struct {
	Denial Denial
	// Tenant is the caller's tenant, or that which had the revoked key; empty if no API key is required.
	Tenant string
	// Age is how long ago, at most, the configuration that decided was the newest.
	Age time.Duration
}

// access decides whether a call to a route with an API key, which is empty if the call has none, may be served by a
// configuration that was the newest less than an age ago.
func (c *Config) access(route Route, key string, age time.Duration, limit revocationLimit) Access {
	if route.Public || c.Keys == nil {
		return Access{Age: age}
	}
	if key == "" {
		return Access{Denial: KeyMissing, Age: age}
	}
	if !limit.allows(age) {
		return Access{Denial: KeyUnconfirmed, Age: age}
	}
	if tenant, ok := c.Keys.Tenant(key); ok {
		return Access{Tenant: tenant, Age: age}
	}
	if age > maxDenialAge {
		return Access{Denial: KeyUnconfirmed, Age: age}
	}
	if tenant, ok := c.Keys.Revoked(key); ok {
		return Access{Denial: KeyRevoked, Tenant: tenant, Age: age}
	}
	return Access{Denial: KeyUnknown, Age: age}
}

// Authorize decides by the newest configuration whether a call to a route with an API key, which is empty if the call has none,
// may be served. There must be a configuration.
func (i *Instance) Authorize(route Route, key string) Access {
	// The age is read before the keys: a process that stands still in between decides by keys that are newer than that, never older.
	age := i.watcher.age()
	config := i.Config()
	access := config.access(route, key, age, *i.watcher.revocation.Load())
	i.denials.note(access, route, config)
	if !route.Public && config.Keys != nil {
		i.denials.noteSuspended(!i.watcher.revocation.Load().allows(age), access, config)
	}
	return access
}

// age returns how long ago, at most, the configuration in force was the newest.
func (w *configWatcher) age() time.Duration { return w.freshness.age(w.clock()) }

// acceptsKeys reports whether the configuration in force is new enough to accept API keys.
func (w *configWatcher) acceptsKeys() bool { return w.revocation.Load().allows(w.age()) }

// maxUnconfirmed returns the age of the configuration from which on it is listed anew instead of watched; 0 for none, as no
// decision depends on it without API keys.
func (w *configWatcher) maxUnconfirmed() time.Duration {
	if config := w.inForce.Load(); config == nil || config.Keys == nil {
		return 0
	}
	return w.revocation.Load().maxUnconfirmed()
}
