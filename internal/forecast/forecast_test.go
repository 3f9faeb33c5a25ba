package forecast

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDemandIsWhatSufficesMostOfTheTime(t *testing.T) {
	is := is.New(t)
	var d Demand
	is.Equal(d.High(), int64(0)) // nothing was seen
	const burst = demandSamples / 5
	for range burst {
		d.Observe(700)
	}
	for range demandSamples - burst {
		d.Observe(100)
	}
	is.Equal(d.High(), int64(700)) // a fifth of the time
	for range burst {
		d.Observe(100)
	}
	is.Equal(d.High(), int64(100)) // the burst is forgotten
	for range demandSamples / 20 {
		d.Observe(700)
	}
	is.Equal(d.High(), int64(100)) // a twentieth of the time
}

func TestSizesTellWhatHalfOfTheTasksNeed(t *testing.T) {
	is := is.New(t)
	var s Sizes
	is.Equal(s.Typical(), int64(0)) // nothing was seen
	for i := range 10 {
		s.Observe(int64(1000 * (i + 1)))
	}
	is.Equal(s.Typical(), int64(5000))
}

func TestDurationsAreLearnedForEachKind(t *testing.T) {
	is := is.New(t)
	d := NewDurations()
	k := Kind{Queue: "q", Image: "i", Size: SizeClass(2000, time.Second)}
	for i := range minDurations {
		_, known := d.Of(k).Quantile(0.5)
		is.True(!known) // too few
		d.Of(k).Observe(time.Duration(i+1) * time.Second)
	}
	median, known := d.Of(k).Quantile(0.5)
	is.True(known)
	is.Equal(median, 3*time.Second)
	_, known = d.Of(Kind{Queue: "q", Image: "other", Size: k.Size}).Quantile(0.5)
	is.True(!known) // another kind
}

func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	d := NewDurations()
	for i := range maxKinds + 100 {
		h := d.Of(Kind{Size: i})
		for range minDurations {
			h.Observe(time.Second)
		}
	}
	is.Equal(len(d.kinds), maxKinds)
	_, known := d.Of(Kind{Size: maxKinds}).Quantile(0.5)
	is.True(!known) // it is not kept
}

func TestEndsFollowProgressThenDurations(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	after := func(d time.Duration) time.Time { return began.Add(d) }
	for _, c := range []struct {
		name  string
		run   Run
		now   time.Time
		end   time.Time
		known bool
	}{
		{"half done after 2 s", Run{Started: began, Seen: after(2 * time.Second), Percent: 50, Expected: time.Minute}, after(2 * time.Second), after(4 * time.Second), true},
		{"resumed at half, at three quarters after 1 s", Run{Started: began, Seen: after(time.Second), FirstPercent: 50, Percent: 75}, after(time.Second), after(2 * time.Second), true},
		{"too little progress to tell", Run{Started: began, Seen: after(time.Second), Percent: 5, Expected: 3 * time.Second}, after(time.Second), after(3 * time.Second), true},
		{"resumed at half without progress yet", Run{Started: began, Seen: began, FirstPercent: 50, Percent: 50, Expected: 4 * time.Second}, began, after(2 * time.Second), true},
		{"longer than expected", Run{Started: began, Seen: after(3 * time.Second), Percent: 5, Expected: 2 * time.Second}, after(3 * time.Second), after(6 * time.Second), true},
		{"done, not reported yet", Run{Started: began, Seen: after(time.Second), Percent: 100}, after(2 * time.Second), after(2 * time.Second), true},
		{"nothing is known", Run{Started: began, Seen: began}, after(time.Second), time.Time{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			end, known := c.run.End(c.now)
			is.Equal(known, c.known)
			is.True(end.Equal(c.end)) // expected end
		})
	}
}
