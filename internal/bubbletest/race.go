//go:build race

package bubbletest

const raceDetector = true
