// Package apikey finds the tenant to which an API key belongs.
package apikey

import "crypto/sha256"

// Ring holds the API keys of all tenants as digests, so that the time of a look-up says nothing about a key and no
// key can reach a log. A Ring is filled once and is then safe for concurrent use.
type Ring struct {
	tenants map[[sha256.Size]byte]string
}

// NewRing returns a ring without keys.
func NewRing() *Ring { return &Ring{tenants: map[[sha256.Size]byte]string{}} }

// Add adds a key of a tenant. A key that several tenants have belongs to the first one.
func (r *Ring) Add(key, tenant string) {
	digest := sha256.Sum256([]byte(key))
	if _, known := r.tenants[digest]; !known {
		r.tenants[digest] = tenant
	}
}

// Tenant returns the tenant to which a key belongs.
func (r *Ring) Tenant(key string) (tenant string, ok bool) {
	tenant, ok = r.tenants[sha256.Sum256([]byte(key))]
	return tenant, ok
}

// Len returns the number of keys.
func (r *Ring) Len() int { return len(r.tenants) }
