package owner

import (
	"bytes"
	"context"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// count returns the number of lines that hold both texts.
func (b *logBuffer) count(event, detail string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, event) && strings.Contains(line, detail) {
			n++
		}
	}
	return n
}

// Guards against an odd entry among those of the workers that ends the owner, keeps it from following the others, or
// floods the log. The entry names no worker to use, and takes none away that is known by a good one.
func TestOddEntriesAmongTheWorkers(t *testing.T) {
	withHarness(t, func(h *harness) {
		var log logBuffer
		h.store.set("w/", []byte("odd"))
		h.store.set("w/odd", []byte("odd"))
		o := New(Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second},
			h.store, h.workers, fakeRegistry{}, testConfig, zerolog.New(&log))
		ctx, cancel := context.WithCancel(h.ctx)
		h.stops["a"] = cancel
		go o.Run(ctx)
		h.sleep(2 * time.Second)
		for range 5 { // a listing and five changes
			h.store.set("w/odd", []byte("odd"))
			h.sleep(time.Second)
		}
		h.is.Equal(log.count("worker.unreadable", `"w/odd"`), 1)
		h.submit("j", tasks(2))
		h.sleep(5 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed) // on the other worker

		h.store.set("w/w1", []byte("odd"))
		h.sleep(time.Second)
		h.submit("k", tasks(1))
		h.sleep(3 * time.Second)
		h.is.Equal(h.storedStatus("k"), batch.Completed) // the last good entry of the worker holds
		h.store.set("w/w1", []byte("ok"))
		h.sleep(time.Second)
		h.store.set("w/w1", []byte("odd"))
		h.sleep(time.Second)
		h.is.Equal(log.count("worker.unreadable", `"w/w1"`), 2) // once each time
	}, "w1")
}

// Guards against a report without a reading of the clock, on which leases and starts have their end.
func TestReportsWithoutAClock(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.workers.clockless = true
		h.startInstance("a")
		h.sleep(time.Second)
		h.submit("j", tasks(1))
		h.sleep(4 * time.Second)
		h.is.Equal(h.workers.starts(batch.TaskID{Job: "j"}), 0)
		h.workers.setClockless(false)
		h.sleep(time.Second)
		h.workers.setClockless(true) // the last reading counts
		h.sleep(4 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
	}, "w1")
}

// Guards against a stored job or record that ends each process that reads it.
func TestOddRecordsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, step := range []batch.Step{
		{Count: -1}, {Count: 0}, {Count: math.MaxInt}, {Count: 1, After: []int{5}}, {Count: 1, After: []int{-1}},
		{Count: 1, Resources: batch.Resources{CPU: math.MaxInt64}}, {Count: 1, Estimate: math.MaxInt64},
	} {
		_, err := decodeJob("j", kv.Item{Value: EncodeSubmission(Submission{Queue: "q", Spec: batch.Spec{Steps: []batch.Step{step}}})})
		is.True(err != nil)
	}
	deep := bytes.Repeat([]byte{0x81}, 100_000) // lists in lists
	for _, value := range [][]byte{nil, {0xff}, {0x1b, 0xff}, []byte("text"), deep} {
		_, err := decodeJob("j", kv.Item{Value: value})
		is.True(err != nil)
		_, err = DecodeRecord(value)
		is.True(err != nil)
		_, err = decodeClaim(value)
		is.True(err != nil)
		_, err = decodeHead(value)
		is.True(err != nil)
	}
	_, err := DecodeRecord(encode(batch.Record{Status: batch.Cancelled + 1}))
	is.True(err != nil)
}

// Guards against an odd message, or one of an earlier version, that shortens the wait for a former owner which it does not
// name, or ends the instance.
func TestOddEndsOfFormerOwners(t *testing.T) {
	process := func(incarnation uint64) *Process {
		return &Process{Instance: "x", Address: "x", Incarnation: incarnation}
	}
	claim := Claim{Epoch: 7, Former: process(6), Earlier: []FormerOwner{{Epoch: 5, Process: *process(5)}, {Epoch: 3, Process: *process(3)}}}
	for _, c := range []struct {
		name     string
		end      LeadershipEnd
		accepted bool
	}{
		{"former owner", LeadershipEnd{Epoch: 6, Owner: process(6)}, true},
		{"earlier owner", LeadershipEnd{Epoch: 3, Owner: process(3)}, true},
		{"message of an earlier version", LeadershipEnd{Epoch: 6}, true},
		{"longest time", LeadershipEnd{Epoch: 6, Since: math.MaxInt64, Owner: process(6)}, true},
		{"message of an earlier version for an earlier owner", LeadershipEnd{Epoch: 5}, false},
		{"another process with that epoch", LeadershipEnd{Epoch: 5, Owner: process(6)}, false},
		{"epoch that the claim does not name", LeadershipEnd{Epoch: 4, Owner: process(5)}, false},
		{"epoch of the owner that is told", LeadershipEnd{Epoch: 7, Owner: process(6)}, false},
		{"later epoch", LeadershipEnd{Epoch: math.MaxInt64, Owner: process(6)}, false},
		{"no epoch", LeadershipEnd{Owner: process(6)}, false},
		{"negative epoch", LeadershipEnd{Epoch: -1, Owner: process(6)}, false},
		{"negative time", LeadershipEnd{Epoch: 6, Since: -1, Owner: process(6)}, false},
		{"process without a name", LeadershipEnd{Epoch: 6, Owner: &Process{}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := New(Options{}, nil, nil, nil, nil, zerolog.Nop())
			l := newLeader(o, heldClaim{claim: claim}, func(error) {})
			o.leading.Store(l)
			is.Equal(o.FormerOwnerEnded(claim.Epoch, c.end), c.accepted)
			is.Equal(len(l.events) > 0, c.accepted)
			if c.accepted {
				(<-l.events)(l, time.Now())
				is.Equal(len(l.formerEnds), 1)
			}
			is.Equal(o.FormerOwnerEnded(claim.Epoch+1, c.end), false) // it leads with another epoch
		})
	}
}

// Guards against an odd list of earlier owners in a head or a claim: what follows an odd entry, and more than the largest
// number of entries, is left out.
func TestOddListsOfEarlierOwners(t *testing.T) {
	is := is.New(t)
	list := func(epochs ...int64) []FormerOwner {
		var owners []FormerOwner
		for _, e := range epochs {
			owners = append(owners, FormerOwner{Epoch: e})
		}
		return owners
	}
	is.Equal(commitHead{Epoch: 9, Earlier: list(8, 5, 1)}.earlierOwners(), list(8, 5, 1))
	is.Equal(commitHead{Epoch: 9, Settled: true, Earlier: list(8, 5, 1)}.earlierOwners(), nil)
	is.Equal(len(commitHead{Epoch: 9, Earlier: list(9, 8)}.earlierOwners()), 0)          // not before it
	is.Equal(commitHead{Epoch: 9, Earlier: list(8, 8, 7)}.earlierOwners(), list(8))      // twice
	is.Equal(commitHead{Epoch: 9, Earlier: list(4, 0, -1)}.earlierOwners(), list(4))     // no epochs
	is.Equal(len(commitHead{Epoch: math.MinInt64, Earlier: list(4)}.earlierOwners()), 0) // no head
	is.Equal(len(commitHead{Epoch: 100, Earlier: list(99, 98, 97, 96, 95, 94, 93, 92, 91)}.earlierOwners()), maxEarlierOwners)
	is.Equal(len(Claim{Epoch: 1, Earlier: list(4)}.formerOwners()), 0)
	is.Equal(Claim{Epoch: 9, Former: &Process{}, Earlier: list(8, 7)}.formerOwners(), list(8))
	is.Equal(Claim{Epoch: 9, Former: &Process{}, Earlier: list(7)}.formerOwners(), list(8, 7))
}
