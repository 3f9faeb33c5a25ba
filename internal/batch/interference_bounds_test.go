package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// measurePair corrects the weight of a pair by a measurement.
func measurePair(im *interferenceModel, bestEffort, latencySensitive string, at time.Time) {
	j := &Job{ID: latencySensitive}
	im.loads[j] = newLoadFilter(0.3, 0.01, at)
	im.applyMeasurement(measurement{job: j, image: latencySensitive, utilisation: 0.5, tasks: 1}, map[string]float64{bestEffort: 0.1}, at)
	im.removeJob(j)
}

// Guards against an owner that stops for good (review case 7, LOST): what it learned of pairs of images was handed on as one value, which grew
// with each new image and name until the store took it no more.
func TestWhatIsLearnedOfImagesIsBounded(t *testing.T) {
	const images, maxValueBytes = 90, 256 << 10
	for _, c := range []struct {
		name  string
		bytes int // of the name of an image
	}{{"short names", 20}, {"names with a digest", 124}, {"names as long as a body", 200_000}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := New(1, Timing{}), time.Now()
			var fill, serve []string
			for n := range images {
				filler := strings.Repeat("x", c.bytes-len("serve-000"))
				fill = append(fill, imageKey(fmt.Sprintf("fill-%03d%s", n, filler)))
				serve = append(serve, imageKey(fmt.Sprintf("serve-%03d%s", n, filler)))
			}
			for _, f := range fill {
				for _, latencySensitive := range serve {
					measurePair(s.interferenceModel, f, latencySensitive, now)
				}
				s.interferenceModel.age(checkInterval)
			}
			is.True(len(s.interferenceModel.weights) <= maxWeights)
			stored, err := cbor.Marshal(s.Interference())
			is.NoErr(err)
			is.True(len(stored) <= maxValueBytes)

			next := New(2, Timing{})
			next.RestoreInterference(s.Interference())
			last := ImagePair{fill[images-1], serve[0]}
			is.Equal(next.interferenceModel.weight(last).mean, s.interferenceModel.weight(last).mean) // what was measured last is handed on
		})
	}
}

// Guards against weights that are forgotten while their images still run side by side, or kept for good after they do.
func TestWeightsAreForgottenByUse(t *testing.T) {
	is := is.New(t)
	im, now := newInterferenceModel(), time.Now()
	measurePair(im, "old", "web", now)
	for range int(maxWeightIdle/checkInterval) + 1 {
		measurePair(im, "fill", "web", now)
		im.age(checkInterval)
	}
	_, kept := im.weights[ImagePair{"fill", "web"}]
	is.True(kept)
	is.Equal(len(im.weights), 1)
}

// Guards against a former owner's weights that are beyond the bound.
func TestRestoredWeightsAreBounded(t *testing.T) {
	is := is.New(t)
	s := New(2, Timing{})
	var all []InterferenceWeight
	for n := range 2 * maxWeights {
		all = append(all, InterferenceWeight{Pair: ImagePair{fmt.Sprint(n), "web"}, Mean: 1, Variance: 1})
	}
	s.RestoreInterference(all)
	s.interferenceModel.age(checkInterval)
	is.Equal(len(s.interferenceModel.weights), maxWeights)
	is.Equal(len(s.Interference()), maxStoredWeights)
}
