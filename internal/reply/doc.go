// Package reply says whether what was read in place of an HTTP response is one, and whether it is whole, for all clients of
// this repository: of upstreams, of other nodes, of the platform.
//
// net/http reads what it can make sense of. Two things matter beyond that:
//
//   - A body without a length ends with its connection. Linux tells of a reset once, to whichever call comes first: a write that
//     fails with it leaves an end to the read, which looks regular. So such a body is whole only where all of the request has
//     reached the other side (see Conn).
//   - A peer in trouble may send a head that is none, and net/http passes some of these on (see Check).
//
// A response that is complete by its length or its chunks is sound however its connection ends.
//
//	check.go      what a head is
//	conn.go       whether a connection's end is the end of a body
//	transport.go  applies both to the responses of a transport
//
// Alternatives considered: a reader of responses of its own in place of net/http's, which would have to be kept in step with it
// in all else; refusing bodies without a length, which upstreams may send.
package reply
