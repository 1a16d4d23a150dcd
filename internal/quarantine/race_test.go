//go:build race

package quarantine

// raceEnabled says that the tests run with the race detector, which slows a simulation tenfold.
const raceEnabled = true
