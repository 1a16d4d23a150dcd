package lineage

// This file decides which version a stream goes on at that is taken up, from what a node knows.

// Sight is what a node has seen of the versions that may have begun streams.
type Sight struct {
	InStep bool // it lacks none that others use
	Steady bool // it is in step, and has been for so long that it has known each for as long as they have
	Whole  bool // it is in step, and can't have missed one that came and went since the oldest stream began
	Heard  bool // what it has missed is known from others
}

// By is how it is known which version began a stream.
type By string

// The ways.
const (
	ByItself  By = "alone"   // there is no other
	ByRecord  By = "record"  // a node remembers the stream
	ByUse     By = "used"    // no other has had requests
	ByDenial  By = "denied"  // others know none either, or would remember a stream of it and don't
	ByNothing By = "unknown" // it isn't known
)

// OnlyVersion returns the version that began any stream of a service, if there can have been no other one: nobody needs to be
// asked. What a node happens to know of one version alone says nothing where it may have missed another.
func OnlyVersion(v Sight, known []string) (version string, alone bool) {
	if !v.Whole || len(known) != 1 {
		return "", false
	}
	return known[0], true
}

// LikelyVersion returns the only version that can have begun a stream which nobody remembers, if there is one. A node goes by
// those that have had requests if it can't have missed any, or knows from others what it has missed. Else it needs others that
// deny to know the stream, and have said which versions they know: they are told of each stream while there are several. To a
// node that hasn't known the versions for as long as others have (Steady), used ones may look new.
func LikelyVersion(v Sight, denied bool, known, used []string) (version string, by By) {
	seen := v.Whole || v.InStep && v.Heard
	switch {
	case len(used) == 1 && v.Steady && (seen || denied):
		return used[0], ByUse
	case len(known) == 1 && (seen || denied):
		return known[0], ByDenial
	}
	return "", ByNothing
}
