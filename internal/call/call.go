// Package call holds what a caller states about a request outside its body, and what an upstream states
// about its response, independent of header names. The wire protocol decides the spelling; a Dialect
// translates, so that no other package knows a header's name.
//
// Alternatives considered: a map of strings, in which each reader parses numbers again and decides for
// itself what a malformed one means.
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

// Meta is what a caller states about a request. The zero value of a field means that it was not stated.
type Meta struct {
	ID           string        // the caller's id of this attempt
	Credential   string        // an API key, or empty
	WaitLimit    time.Duration // how long the caller waits for the response
	Model        string
	PromptTokens int    // tokens of the prompt
	MaxOutput    int    // maximum number of output tokens
	HasTokens    bool   // whether PromptTokens and MaxOutput were stated
	Parts        []Part // of the prompt, in order; the last one is specific to the request
	LastEvent    string // the stream event after which to resume
	Resumes      string // id of the attempt that brought the first event of the stream to resume
}

// Order is what is sent to an upstream beside the body.
type Order struct {
	TimeLeft    time.Duration // what is left of the caller's wait limit
	Incarnation string        // id of the only incarnation of the upstream that may run the request
	Workspace   string        // empty: none
	LastEvent   string        // the stream event after which to resume
	Priority    int           // 0 is the most urgent; -1: not sent
	FetchFrom   string        // address of an upstream that has more of the prompt cached; empty: none
}

// Response is what the headers of an upstream's response state.
type Response struct {
	RequestID      string        // of the request that is responded to; empty: not stated
	Signed         bool          // the response has the upstream's signature
	NotRun         bool          // the upstream did not run the request and won't run it
	Misplaced      bool          // another incarnation has the address
	IdleTimeout    time.Duration // time after which the upstream closes an idle connection; 0: not stated
	Leaving        bool          // the upstream leaves and accepts no new requests
	Cooldown       time.Duration // time for which the upstream wants no requests from this node; 0: not stated
	Limit          Limit         // the rate that the upstream accepts from all nodes together
	Brittle        Brittle
	UnknownHeaders []string // names of other headers about the upstream, which no dialect reads
}

// Brittle is what a response states about the rejections that its upstream bears.
type Brittle struct {
	Stated     bool
	Rejections float64 // in a second; with more, the upstream falls over
}

// Limit is what a response states about the request rate that its upstream accepts.
type Limit struct {
	Status LimitStatus
	Rate   float64 // requests a second from all nodes together, if a limit is named
}

// LimitStatus is whether a response names a limit.
type LimitStatus int

// The limit statuses.
const (
	LimitNoResponse LimitStatus = iota // there was no response, which tells nothing about a limit
	LimitNone                          // the upstream accepts whatever it has room for
	LimitNamed                         // the response names a limit
	LimitUnclear                       // the response is ambiguous; the limit that is known stays
)

// Dialect translates between headers and the types of this package.
type Dialect struct {
	// ReadMeta reads what a caller stated. Values that can't be parsed count as not stated.
	ReadMeta func(h http.Header) Meta
	// WriteOrder turns a caller's headers into those for an upstream, in place.
	WriteOrder func(h http.Header, o Order)
	// ReadResponse reads the headers of an upstream's response.
	ReadResponse func(a *http.Response) Response
	// WriteRetryAfter sets the time after which a caller may retry.
	WriteRetryAfter func(h http.Header, d time.Duration)
}
