package entry

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
)

// String returns the name used in logs and metrics.
func (d Denial) String() string {
	return [...]string{"allowed", "key-missing", "key-unknown"}[d]
}

// Access is the decision whether a call may be served.
type Access struct {
	Denial Denial
	// Tenant is the caller's tenant; empty if no API key is required.
	Tenant string
}

// access decides whether a call to a route with an API key, which is empty if the call has none, may be served.
func (c *Config) access(route Route, key string) Access {
	if route.Public || c.Keys == nil {
		return Access{}
	}
	if key == "" {
		return Access{Denial: KeyMissing}
	}
	tenant, ok := c.Keys.Tenant(key)
	if !ok {
		return Access{Denial: KeyUnknown}
	}
	return Access{Tenant: tenant}
}

// Authorize decides by the newest keys whether a call to a route with an API key, which is empty if the call has none, may be
// served. There must be a configuration.
func (i *Instance) Authorize(route Route, key string) Access {
	return i.Config().access(route, key)
}
