package apikey

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against a key that is accepted for the wrong tenant, or still after it has been taken away.
func TestARingFindsTheTenantOfAKey(t *testing.T) {
	is := is.New(t)
	former, ring := NewRing(), NewRing()
	former.Add("kept", "a")
	former.Add("moved", "a")
	former.Add("revoked", "a")
	ring.Add("kept", "a")
	ring.Add("moved", "b")
	ring.Add("moved", "c") // the first one keeps it
	ring.Replace(former)
	for key, want := range map[string]string{"kept": "a", "moved": "b", "revoked": "", "unknown": "", "": ""} {
		tenant, ok := ring.Tenant(key)
		is.Equal(tenant, want)
		is.Equal(ok, want != "")
	}
	for key, want := range map[string]bool{"kept": false, "moved": false, "revoked": true, "unknown": false} {
		_, ok := ring.Revoked(key)
		is.Equal(ok, want)
	}
}

// Guards against a revoked key that is forgotten with the next configuration, and against memory that grows with each one.
func TestARingRemembersRevokedKeysUpToALimit(t *testing.T) {
	is := is.New(t)
	former := NewRing()
	for i := range maxRevoked + 10 {
		former.Add(strconv.Itoa(i), "a")
	}
	one, two, restored := NewRing(), NewRing(), NewRing()
	one.Replace(former)
	two.Replace(one)
	is.Equal(len(two.revoked), maxRevoked)
	restored.Add("1", "a")
	restored.Replace(two)
	_, ok := restored.Revoked("1")
	is.True(!ok)
}

func BenchmarkTenant(b *testing.B) {
	ring := NewRing()
	for i := range 5000 {
		ring.Add("key-"+strconv.Itoa(i), "a")
	}
	for b.Loop() {
		ring.Tenant("key-4711")
	}
}
