// Package apikey finds the tenant to which an API key belongs.
package apikey

import "crypto/sha256"

// Ring holds the API keys of all tenants as digests, so that the time of a look-up says nothing about a key and no
// key can reach a log. A Ring is filled once and is then safe for concurrent use.
type Ring struct {
	tenants map[digest]string
	// revoked holds keys of former rings that are not in tenants.
	revoked map[digest]string
}

// digest is the hash of a key.
type digest [sha256.Size]byte

// NewRing returns a ring without keys.
func NewRing() *Ring { return &Ring{tenants: map[digest]string{}, revoked: map[digest]string{}} }

// Add adds a key of a tenant. A key that several tenants have belongs to the first one.
func (r *Ring) Add(key, tenant string) {
	d := digest(sha256.Sum256([]byte(key)))
	if _, known := r.tenants[d]; !known {
		r.tenants[d] = tenant
	}
}

// Tenant returns the tenant to which a key belongs.
func (r *Ring) Tenant(key string) (tenant string, ok bool) {
	tenant, ok = r.tenants[digest(sha256.Sum256([]byte(key)))]
	return tenant, ok
}

// maxRevoked bounds the number of revoked keys that a ring remembers.
const maxRevoked = 10_000

// Replace remembers which keys of a former ring this one no longer has. It must be called before this ring is shared.
func (r *Ring) Replace(former *Ring) {
	if former == nil || former == r {
		return
	}
	for _, keys := range []map[digest]string{former.tenants, former.revoked} {
		for d, tenant := range keys {
			if _, held := r.tenants[d]; !held && len(r.revoked) < maxRevoked {
				r.revoked[d] = tenant
			}
		}
	}
}

// Revoked returns the tenant that had a key which the ring no longer has, as far as it is remembered.
func (r *Ring) Revoked(key string) (tenant string, ok bool) {
	tenant, ok = r.revoked[digest(sha256.Sum256([]byte(key)))]
	return tenant, ok
}

// Len returns the number of keys.
func (r *Ring) Len() int { return len(r.tenants) }
