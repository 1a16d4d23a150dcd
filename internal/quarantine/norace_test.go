//go:build !race

package quarantine

// raceEnabled says that the tests run with the race detector.
const raceEnabled = false
