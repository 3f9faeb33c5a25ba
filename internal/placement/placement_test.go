package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/resources"
)

var began = time.Unix(1_000_000, 0)

// after returns a time so many milliseconds after began.
func after(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// cpu returns so many cores.
func cpu(cores int64) resources.Amount { return resources.Amount{CPU: 1000 * cores} }

func TestTheOutlookFollowsTheEndsInOrder(t *testing.T) {
	ends := []End{{after(300), cpu(1)}, {after(100), cpu(2)}, {after(900), cpu(4)}}
	SortEnds(ends)
	for _, c := range []struct {
		name  string
		need  resources.Amount
		ready time.Time
		spare resources.Amount
		ok    bool
	}{
		{"fits now", cpu(1), began, cpu(0), true},
		{"fits after the first end", cpu(2), after(100), cpu(1), true},
		{"fits after two ends", cpu(4), after(300), cpu(0), true},
		{"fits after the horizon only", cpu(5), time.Time{}, resources.Amount{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o, ok := Forecast(cpu(1), ends, c.need, began, after(500))
			is.Equal(ok, c.ok)
			is.True(o.Ready.Equal(c.ready))
			is.Equal(o.Spare, c.spare)
		})
	}
}

func TestReservedRoomAdmitsWhatEndsBeforeOrFitsBesides(t *testing.T) {
	for _, c := range []struct {
		name string
		need resources.Amount
		end  time.Time
		fits bool
	}{
		{"ends before", cpu(3), after(400), true},
		{"ends as the room is ready", cpu(3), after(500), true},
		{"ends after", cpu(3), after(501), false},
		{"never ends, fits besides", cpu(2), time.Time{}, true},
		{"never ends, does not fit besides", cpu(3), time.Time{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewReservations[string, string]().Reserve("holder", "worker", cpu(8), Outlook{Ready: after(500), Spare: cpu(2)}, began)
			is.Equal(r.Admits(c.need, c.end), c.fits)
		})
	}
}

func TestWhatIsStartedBesidesLeavesLess(t *testing.T) {
	is := is.New(t)
	r := NewReservations[string, string]().Reserve("holder", "worker", cpu(8), Outlook{Ready: after(500), Spare: cpu(2)}, began)
	r.NoteStart(cpu(2), after(400)) // has ended by then
	is.True(r.Admits(cpu(2), time.Time{}))
	r.NoteStart(cpu(1), time.Time{})
	is.True(!r.Admits(cpu(2), time.Time{}))
	is.True(r.Admits(cpu(1), time.Time{}))
}

func TestReservationsAreBounded(t *testing.T) {
	is := is.New(t)
	rs := NewReservations[string, string]()
	is.True(rs.MayReserve("first", cpu(100), 100_000, began)) // a single one may be large
	rs.Reserve("first", "w", cpu(12), Outlook{Ready: after(500)}, began)
	is.True(!rs.MayReserve("first", cpu(1), 100_000, began))  // it has one
	is.True(!rs.MayReserve("second", cpu(1), 100_000, began)) // an eighth is reserved
	is.True(rs.MayReserve("second", cpu(1), 200_000, began))
	for i := range maxReservations - 1 {
		rs.Reserve(fmt.Sprint(i), fmt.Sprint(i), resources.Amount{}, Outlook{}, began)
	}
	is.True(!rs.MayReserve("second", cpu(1), 200_000, began)) // too many
}

func TestAHolderWhoseRoomDidNotComePauses(t *testing.T) {
	is := is.New(t)
	rs := NewReservations[string, string]()
	r := rs.Reserve("holder", "w", cpu(4), Outlook{Ready: after(500)}, began)
	is.Equal(r.Until, began.Add(MaxHold))
	rs.GiveUp(r, r.Until)
	is.Equal(rs.ReservedCPU(), int64(0))
	is.True(!rs.MayReserve("holder", cpu(4), 100_000, r.Until))
	rs.ForgetPauses(r.Until.Add(retryPause))
	is.True(rs.MayReserve("holder", cpu(4), 100_000, r.Until.Add(retryPause)))
	rs.Release(rs.Reserve("holder", "w", cpu(4), Outlook{Ready: after(500)}, r.Until))
	is.True(rs.MayReserve("holder", cpu(4), 100_000, r.Until.Add(retryPause))) // a release is no failure
}

func TestSmallTasksCostPlacesForLargeOnes(t *testing.T) {
	for _, c := range []struct {
		name              string
		free, need, large resources.Amount
		lost              int64
	}{
		{"takes the only place", cpu(4), cpu(1), cpu(4), 1},
		{"leaves the place", cpu(5), cpu(1), cpu(4), 0},
		{"there is no place", cpu(3), cpu(1), cpu(4), 0},
		{"is larger itself", cpu(8), cpu(5), cpu(4), 0},
		{"is as large itself", cpu(4), cpu(4), cpu(4), 0},
		{"no large task waits", cpu(4), cpu(1), resources.Amount{}, 0},
		{"memory is what lacks", resources.Amount{CPU: 9000, MemoryMB: 100}, resources.Amount{CPU: 100, MemoryMB: 60}, resources.Amount{CPU: 1000, MemoryMB: 50}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(SlotsLost(c.free, c.need, c.large), c.lost)
		})
	}
}

// Long-running tasks leave what short ones have needed, in pieces that these fit into, an eighth at least beside short ones, and never
// more than a quarter.
func TestHeadroom(t *testing.T) {
	for _, c := range []struct {
		load         string
		demand, slot int64
		free         []int64 // of workers of eight cores
		age          time.Duration
		admits       bool
	}{
		{"a quarter stays free", 64_000, 1000, []int64{8000, 8000, 8000, 8000}, 0, true},
		{"short tasks have needed nothing", 0, 0, []int64{1000, 0, 0, 0}, 0, true},
		{"short tasks have needed more than stays", 4000, 2000, []int64{4000, 0, 0, 0}, 0, false},
		{"short tasks have needed less", 2000, 1000, []int64{5000, 0, 0, 0}, 0, true},
		{"less than an eighth would stay for long-running tasks of lost workers", 2000, 1000, []int64{4000, 0, 0, 0}, 0, false},
		{"what is free is in pieces too small for them", 2000, 2000, []int64{1900, 1900, 1900, 1000}, 0, false},
		{"the job has waited for long", 4000, 2000, []int64{4000, 0, 0, 0}, HeadroomPatience, true},
	} {
		t.Run(c.load, func(t *testing.T) {
			is := is.New(t)
			h := NewHeadroom(c.demand, c.slot)
			for _, free := range c.free {
				h.AddWorker(8000, free, 0)
			}
			is.Equal(h.Admits(1000, c.age), c.admits)
		})
	}
}

// What is taken piece by piece leaves the same headroom as the workers counted anew.
func TestHeadroomFollowsStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slot := int64(rapid.IntRange(1, 3000).Draw(t, "slot"))
		h, counted := NewHeadroom(0, slot), NewHeadroom(0, slot)
		for range rapid.IntRange(1, 5).Draw(t, "workers") {
			free := int64(rapid.IntRange(-2000, 8000).Draw(t, "free"))
			short := int64(rapid.IntRange(0, 4000).Draw(t, "short"))
			need := int64(rapid.IntRange(0, 4000).Draw(t, "need"))
			h.AddWorker(8000, free, short)
			h.Take(free, short, need)
			counted.AddWorker(8000, free-need, short)
		}
		if *h != *counted {
			t.Fatalf("%+v, counted %+v", *h, *counted)
		}
	})
}
