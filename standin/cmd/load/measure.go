package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/store"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// usage is what a process has used since its start, and its current memory.
type usage struct {
	cpuTime time.Duration
	// read and written are the bytes of all read and write calls. An instance uses no files, so
	// nearly all of them are those of its connections.
	read, written int64
	memoryMB      float64
}

// usageOf reads the usage of a process from /proc.
func usageOf(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// utime and stime are the 12th and 13th fields after the process name, which is in brackets.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return u, err
		}
		u.cpuTime += time.Duration(ticks) * clockTick
	}
	if u.read, err = procField(pid, "io", "rchar:"); err != nil {
		return u, err
	}
	if u.written, err = procField(pid, "io", "wchar:"); err != nil {
		return u, err
	}
	kb, err := procField(pid, "status", "VmRSS:")
	u.memoryMB = float64(kb) / 1024
	return u, err
}

// procField reads a number from a file of a process in /proc.
func procField(pid int, file, name string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name); found {
			return strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("/proc/%d/%s has no %s", pid, file, name)
}

// snapshot holds the values of all counters at one time.
type snapshot struct {
	at        time.Time
	instances []usage
	store     store.Counts
	fleet     fleet.Counts
}

// takeSnapshot reads all counters.
func takeSnapshot(ctx context.Context, c *cluster.Cluster) (snapshot, error) {
	s := snapshot{at: time.Now()}
	for _, i := range c.Instances {
		u, err := usageOf(i.PID())
		if err != nil {
			return s, err
		}
		s.instances = append(s.instances, u)
	}
	var err error
	if s.store, err = c.StoreCounts(ctx); err != nil {
		return s, err
	}
	s.fleet, err = c.Counts(ctx)
	return s, err
}

// row is the resource usage measured at one size, per second unless the name or a comment says
// otherwise.
type row struct {
	corePercent   float64 // of one core, mean of the instances
	memoryMB      float64 // largest of the instances
	readKB        float64 // mean of the instances
	writtenKB     float64 // mean of the instances
	storeWrites   float64
	journalWrites float64
	journalKB     float64
	storeReads    float64
	leaseCalls    float64
	watches       float64 // open at the end
	workerBytes   float64 // both directions, per worker
	starts        float64
	running       float64
}

// rowOf returns the resource usage between two snapshots.
func rowOf(s size, from, to snapshot) row {
	seconds := to.at.Sub(from.at).Seconds()
	rate := func(a, b int64) float64 { return float64(b-a) / seconds }
	var r row
	n := float64(len(to.instances))
	for k := range to.instances {
		a, b := from.instances[k], to.instances[k]
		r.corePercent += 100 * (b.cpuTime - a.cpuTime).Seconds() / seconds / n
		r.memoryMB = max(r.memoryMB, b.memoryMB)
		r.readKB += rate(a.read, b.read) / 1000 / n
		r.writtenKB += rate(a.written, b.written) / 1000 / n
	}
	r.storeWrites = rate(from.store.Writes, to.store.Writes)
	r.storeReads = rate(from.store.Reads, to.store.Reads)
	r.leaseCalls = rate(from.store.LeaseCalls, to.store.LeaseCalls)
	r.watches = float64(to.store.OpenWatches)
	r.journalWrites = rate(from.store.WritesBySegment["journal"].Writes, to.store.WritesBySegment["journal"].Writes)
	r.journalKB = rate(from.store.WritesBySegment["journal"].Bytes, to.store.WritesBySegment["journal"].Bytes) / 1000
	bytes := to.fleet.BytesIn + to.fleet.BytesOut - from.fleet.BytesIn - from.fleet.BytesOut
	r.workerBytes = float64(bytes) / seconds / float64(s.Workers)
	r.starts = float64(to.fleet.Starts-from.fleet.Starts) / seconds
	r.running = float64(to.fleet.Running)
	return r
}
