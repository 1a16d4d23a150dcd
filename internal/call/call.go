// Package call holds what a caller says about a request beside its body, and what
// an upstream says about its answer, in the project's own terms. The wire decides
// how it is spelled; a Dialect translates, so that nothing behind it knows a header's
// name.
//
// A map of strings was the first form. It made each reader parse numbers again and
// decide for itself what a malformed one means.
package call

import (
	"net/http"
	"time"
)

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Meta is what a caller says about a request. The zero value of a field means that
// nothing was said.
type Meta struct {
	ID         string        // the caller's name for this try
	Credential string        // an API key, or empty
	WaitLimit       time.Duration // how long the caller waits for the answer
	Model      string
	PromptTokens     int    // tokens of the prompt
	MaxOutput     int    // most tokens of the answer
	HasTokens  bool   // whether Prompt and Output were said
	Parts      []Part // of the prompt, in order; the last one is the request's own
	LastEvent  string // the stream event after which to go on
}

// Order is what goes to an upstream beside the body.
type Order struct {
	TimeLeft      time.Duration // what is left of the caller's wait
	Incarnation  string        // the only upstream life that may run the request
	Workspace string        // empty: none
	LastEvent string        // go on after this event
	Priority  int           // 0 is the most urgent, -1 leaves it unsaid
	FetchFrom     string        // address of an upstream that has more of the prompt cached; empty: none
}

// Answer is what an upstream's head says.
type Response struct {
	RequestID        string        // the request it answers; empty: it doesn't say
	Signed    bool          // it bears the upstream's signature
	NotRun    bool          // the upstream did not and won't run the request
	Misplaced bool          // another life has the address
	IdleTimeout time.Duration // the upstream closes a connection idle for so long; 0: unsaid
	Leaving   bool          // the upstream leaves, and is to get nothing new
	Cooldown      time.Duration // the upstream wants nothing from this node for so long; 0: unsaid
	Limit     Limit         // what the upstream takes from all nodes together
	UnknownHeaders    []string      // names of what else the upstream says of itself, which nothing here reads
}

// Limit is what an answer says of a rate that its upstream takes.
type Limit struct {
	Status LimitStatus
	Rate float64 // requests a second from all nodes together, if one is named
}

// LimitWord is whether an answer names a limit.
type LimitStatus int

// The words.
const (
	LimitNoResponse LimitStatus = iota // there was no answer, which says nothing
	LimitNone                     // the upstream takes whatever it has room for
	LimitNamed                    // it names one
	LimitUnclear                  // it can't be told whether there is one: what was known holds
)

// Dialect translates between headers and these types.
type Dialect struct {
	// ReadMeta reads what a caller said. What can't be read counts as not said.
	ReadMeta func(h http.Header) Meta
	// WriteOrder turns a caller's header into the one for an upstream, in place.
	WriteOrder func(h http.Header, o Order)
	// ReadAnswer reads an upstream's head.
	ReadResponse func(a *http.Response) Response
	// WriteRetryAfter tells a caller when to come back.
	WriteRetryAfter func(h http.Header, d time.Duration)
}
