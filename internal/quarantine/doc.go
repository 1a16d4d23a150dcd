// Package quarantine stops requests that crash the upstreams which run them.
//
// A request may crash every upstream that starts to run it. Retries and repeats by its caller carry it from
// one upstream to the next, and each crash also breaks the requests that ran beside it. Limits on the number
// of retries do not stop this: they forget the request once it has got a response. So a Tracker remembers
// crashes by what is the same in every repeat of a request (Fingerprint), and nodes exchange what they know.
//
// The evidence is a Crash: an upstream closed or reset the connection under a request, had not announced that
// it leaves, and has refused connections since, while other upstreams of its hall accept them. The caller of
// ObserveCrash checks all of this, since upstreams that are up but reset some connections, and partitions that
// reset connections, make harmless requests look like the cause of a crash. Most requests that observe a crash
// were there by chance, so crashes count against a request only until it gets one complete response
// (ObserveResponse).
//
// A request under which CrashThreshold upstreams crashed is quarantined: it is not sent, and its caller is told
// when to retry. After the quarantine, one node after the other admits one repeat as a probe. A response clears
// the request; another crash quarantines it for twice as long.
//
// Similar requests, such as bodies that differ in a counter, have different fingerprints; shape.go handles
// these. In addition, a request that has been sent to one upstream is not retried if another copy of it has
// crashed another upstream.
//
// The state of a request is derived from the set of its crashes. Sets can be merged in any order, so nodes need
// no agreement, and an update that arrives twice or late does no harm.
//
// Alternatives considered: quarantine after one crash (in a wave in which most upstreams stop, most requests
// observe one); a share of failures as evidence (a request that repeats once a minute never reaches it, and a
// harmless one among many at an unhealthy upstream does); probing suspects at a dedicated upstream (an extra VM
// to pay for, which would have to crash, too); ignoring crashes under a request beside one that is already
// quarantined, as explained by it (of several requests that crash upstreams at once, one explains away the
// crashes of another, and nothing is gained: TestFleets); taking an upstream as up as soon as it responds to
// another request (in a large fleet a node learns of that some seconds later, and by then it may be another
// process under the same ID). What else an upstream does under a request, such as to hang, is no evidence here:
// time-outs handle it. Nor is a broken connection without anything else: an upstream that listens again within
// a round trip is not known to have crashed.
//
// The package does no I/O and reads no clock: callers pass times in and send the updates. A Tracker is safe for
// concurrent use.
package quarantine
