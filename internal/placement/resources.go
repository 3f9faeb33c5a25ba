// Package placement decides on room: how much of it new long-running tasks leave to short ones, on which worker room is reserved
// for a task that does not fit yet, and which tasks may run there until then. It is pure: it has no clock and no I/O.
package placement

import "fmt"

// Resources is an amount of each kind of resource.
type Resources struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r is at most available in each kind of resource.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// String describes resources for the log.
func (r Resources) String() string {
	text := fmt.Sprintf("%d/1000 CPU, %d MB", r.CPU, r.MemoryMB)
	if r.GPU > 0 {
		text += fmt.Sprintf(", %d GPU", r.GPU)
	}
	return text
}
