package soak

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/owner"
)

// Guards against a series of kills of owners that kills the one before instead, which the claim names too.
func TestTheOwnerIsNotTheFormerOne(t *testing.T) {
	is := is.New(t)
	claim, err := cbor.Marshal(owner.Claim{Epoch: 2, Address: "127.1.1.12:7720", Former: &owner.Process{Address: "127.1.1.11:7720"}})
	is.NoErr(err)
	is.Equal(ownerIP(claim), "127.1.1.12")
	is.Equal(ownerIP(nil), "")
}
