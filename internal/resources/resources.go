// Package resources adds, compares and describes amounts of processor time, memory and accelerators.
package resources

import "fmt"

// Amount is an amount of each kind of resource.
type Amount struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether a is at most available in each kind of resource.
func (a Amount) Fits(available Amount) bool {
	return a.CPU <= available.CPU && a.MemoryMB <= available.MemoryMB && a.GPU <= available.GPU
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(o Amount) Amount {
	return Amount{a.CPU + o.CPU, a.MemoryMB + o.MemoryMB, a.GPU + o.GPU}
}

// Minus returns a less o.
func (a Amount) Minus(o Amount) Amount {
	return Amount{a.CPU - o.CPU, a.MemoryMB - o.MemoryMB, a.GPU - o.GPU}
}

// Times returns n times a.
func (a Amount) Times(n int) Amount {
	return Amount{int64(n) * a.CPU, int64(n) * a.MemoryMB, int64(n) * a.GPU}
}

// Min returns the smaller amount of each kind of resource.
func (a Amount) Min(o Amount) Amount {
	return Amount{min(a.CPU, o.CPU), min(a.MemoryMB, o.MemoryMB), min(a.GPU, o.GPU)}
}

// Max returns the larger amount of each kind of resource.
func (a Amount) Max(o Amount) Amount {
	return Amount{max(a.CPU, o.CPU), max(a.MemoryMB, o.MemoryMB), max(a.GPU, o.GPU)}
}

// String describes an amount for the log.
func (a Amount) String() string {
	text := fmt.Sprintf("%d/1000 CPU, %d MB", a.CPU, a.MemoryMB)
	if a.GPU > 0 {
		text += fmt.Sprintf(", %d GPU", a.GPU)
	}
	return text
}
