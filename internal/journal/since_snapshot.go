package journal

// EntriesSinceSnapshot returns the number of entries after the snapshot. It never blocks on
// another call.
func (j *Journal) EntriesSinceSnapshot() int { return int(j.sinceSnapshot.Load()) }
