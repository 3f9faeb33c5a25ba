package journal

// Uncovered returns the number of entries after the snapshot. It never waits for another
// call.
func (j *Journal) Uncovered() int { return int(j.uncovered.Load()) }
