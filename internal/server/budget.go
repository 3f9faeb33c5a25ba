package server

import "time"

// journalShare is the part of the store's write budget that appends may use; the rest is
// left for leases, snapshots and edits.
const journalShare = 0.8

// writeBudget spreads an instance's store writes over the partitions that it holds.
type writeBudget struct {
	writesPerSecond int
	shortest        time.Duration
	held            func() int
}

// interval returns the least time between two appends of one partition.
func (b writeBudget) interval() time.Duration {
	rate := float64(b.writesPerSecond) * journalShare / float64(max(b.held(), 1))
	return max(b.shortest, time.Duration(float64(time.Second)/rate))
}
