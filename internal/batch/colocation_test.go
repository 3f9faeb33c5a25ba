package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// imagesByWorker returns the number of tasks of each latency-sensitive image on each worker.
func imagesByWorker(s *State) map[WorkerID]map[string]int {
	out := map[WorkerID]map[string]int{}
	for id, w := range s.workers {
		for _, a := range w.attempts {
			if a.step.spec.LatencyTarget == 0 {
				continue
			}
			if out[id] == nil {
				out[id] = map[string]int{}
			}
			out[id][a.step.spec.Image]++
		}
	}
	return out
}

// Jobs with latency targets of three images arrive by turns and fill most of the cluster. Each image
// gets workers of its own, so that a best-effort image which presses on two of the images still finds
// workers where it presses on none.
func TestImagesWithTargetsGetWorkersOfTheirOwn(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c", "d", "e", "f")
	images := []string{"red", "green", "blue"}
	for i := range 7 {
		for _, image := range images {
			addJob(s, fmt.Sprintf("%s%d", image, i), "q", now, latencySensitiveStep(image, 1))
			planUntilIdle(s, now)
		}
	}
	for id, counts := range imagesByWorker(s) {
		if len(counts) != 1 {
			t.Errorf("worker %s runs tasks of the images %v", id, counts)
		}
	}
	for _, image := range images {
		weight := 8.0
		if image == "blue" {
			weight = 0
		}
		s.interferenceModel.weights[ImagePair{"fill", image}] = weightEstimate{mean: weight, variance: minVariance}
	}
	addJob(s, "fill", "late", now, bestEffortStep("fill", 2))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 2)
	for _, a := range starts {
		is.Equal(imagesByWorker(s)[a.Worker]["blue"] > 0, true)
	}
}

// An image finds no room on workers of its own. It joins a worker that several images share already, and
// leaves the workers of a single image as they are.
func TestImagesAreMixedWhereTheyAreMixedAlready(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	for _, image := range []string{"red", "green"} {
		addJob(s, image, "q", now, latencySensitiveStep(image, 2))
		planUntilIdle(s, now)
	}
	counts := imagesByWorker(s)
	is.Equal(len(counts["a"])+len(counts["b"]), 2) // one image on each
	addJob(s, "blue", "q", now, latencySensitiveStep("blue", 1))
	first := startActions(planUntilIdle(s, now))
	is.Equal(len(first), 1)
	addJob(s, "yellow", "q", now, latencySensitiveStep("yellow", 1))
	second := startActions(planUntilIdle(s, now))
	is.Equal(len(second), 1)
	is.Equal(second[0].Worker, first[0].Worker)
}

// TestImageMix rates a worker by the images that it runs.
func TestImageMix(t *testing.T) {
	for name, c := range map[string]struct {
		running []string
		want    imageMix
	}{
		"nothing with a target":  {nil, startsWorker},
		"the same image":         {[]string{"web"}, extendsWorker},
		"the same and another":   {[]string{"web", "mail"}, extendsMixed},
		"one other image":        {[]string{"mail"}, spoilsWorker},
		"several other images":   {[]string{"mail", "news"}, joinsMixed},
		"the same and two other": {[]string{"mail", "web", "news"}, extendsMixed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			for _, image := range c.running {
				addJob(s, image, "q", now, latencySensitiveStep(image, 1))
			}
			planUntilIdle(s, now)
			w := s.workers["a"]
			s.updateLatencyGroups(w, now.Add(time.Second))
			is.Equal(w.imageMix("web"), c.want)
		})
	}
}

// Two jobs with swinging loads run on a worker each. A best-effort image presses on the one whose load is
// low now, and not on the other, whose load is at its peak. It joins the other: it would press on the first
// when that load rises again.
func TestFillersAvoidALowLoadThatTheyPressOn(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	low := addJob(s, "low", "q", now, latencySensitiveStep("pressed", 1))
	high := addJob(s, "high", "q", now, latencySensitiveStep("spared", 1))
	planUntilIdle(s, now)
	im := s.interferenceModel
	im.loads[low], im.loads[high] = newLoadFilter(0.2, 0, now), newLoadFilter(0.65, 0, now)
	im.loads[low].peak = 0.65
	for _, l := range im.loads {
		l.levelVar = initialLevelVar / 10
	}
	im.weights[ImagePair{"fill", "pressed"}] = weightEstimate{mean: 1.5, variance: minVariance}
	im.weights[ImagePair{"fill", "spared"}] = weightEstimate{mean: 0, variance: minVariance}
	addJob(s, "fill", "late", now, bestEffortStep("fill", 1))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 1)
	is.True(imagesByWorker(s)[starts[0].Worker]["spared"] > 0)
}

// A pair of images that does not interfere is measured with noise, so its weight is not quite 0. Many such
// tasks share a worker with a task whose load is high.
func TestFaintWeightsDoNotKeepFillersAway(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	web := addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
	planUntilIdle(s, now)
	l := newLoadFilter(0.7, 0, now)
	l.levelVar = initialLevelVar / 10
	s.interferenceModel.loads[web] = l
	s.interferenceModel.weights[ImagePair{"fill", "web"}] = weightEstimate{mean: 0.8, variance: minVariance}
	addJob(s, "fill", "late", now, bestEffortStep("fill", 3))
	is.Equal(len(startActions(planUntilIdle(s, now))), 3)
}
