//go:build race

package e2e

// raceDetector tells whether the tests, and therefore the instances, run with the race detector.
const raceDetector = true
