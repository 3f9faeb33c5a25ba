//go:build !race

package e2e

// raceDetector says that the tests, and so the instances, run with the race detector.
const raceDetector = false
