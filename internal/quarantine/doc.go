// Package quarantine holds back requests that end the upstreams which run them.
//
// A request may crash each upstream that begins to run it. Retries and its caller's own
// repeats carry it from one upstream to the next, and each end takes the requests with it
// that ran beside it. Bounds on the number of retries don't stop that: they forget the
// request as soon as it is answered. So a Book remembers what broke, by what is the same
// whenever a request comes again (Print), and nodes tell each other.
//
// Evidence is an End: an upstream closed or reset the connection under a request, hadn't
// announced that it leaves, and refuses connections from then on, while others of its hall
// don't. Who notes it has looked: upstreams that live and reset some connections, and cuts that reset
// connections, make harmless requests look like this. Most requests that see an end were there by chance: so ends count
// against a request until it is answered whole once (Answered).
//
// A request under which Proof upstreams ended is held back: it isn't sent, and is told when to
// come again. After a while one node after the other lets one repeat through; an answer clears
// the request, another end holds it back for twice as long.
//
// Requests that are alike, as bodies that differ in a counter, are new each: family.go is about these.
// And whoever has reached one upstream isn't sent a second time where a copy of it has ended another.
//
// The state of a request is derived from the set of its ends. Sets merge in any order, so
// nodes need to agree on nothing, and a word that comes twice or late does no harm.
//
// Weighed: holding back after one end (in a wave in which most upstreams end, most requests
// see one); a share of failures as evidence (a request that comes again each minute never
// reaches it, and one among many at an upstream that is ill does); probing a suspect at an
// upstream set apart (one more to pay for, and it has to end, too); passing over ends under a
// request that is held already, as explained by it (of several requests that end upstreams at once,
// one explains away another's ends, and nothing is gained: TestFleets); taking an upstream for
// alive as soon as it answers another request (in a large fleet a node hears of it again some
// seconds later, and by then it may be another process under the same id). What an upstream
// does under a request other than to end, as to hang, isn't evidence here: that is what
// time-outs are for. Nor is an end of which the connection is all that is seen: an upstream
// that listens again within a round trip isn't known to have ended.
//
// The package is pure: time comes in, words go out. A Book is safe for concurrent use.
package quarantine
