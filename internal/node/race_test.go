//go:build race

package node

// raceScale divides the callers and the memory of load tests, as the race detector makes them some ten times
// slower.
const raceScale = 4
