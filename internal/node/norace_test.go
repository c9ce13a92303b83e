//go:build !race

package node

// raceScale divides the callers and the memory of load tests under the race detector.
const raceScale = 1
