//go:build !race

package bench

// raceDetector reports whether the race detector, which multiplies the processor time,
// instruments this binary.
const raceDetector = false
