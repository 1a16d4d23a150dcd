package soak

import (
	"net/http"
	"time"
)

// World is how the platform spells what the soak says. All fields are needed.
type World struct {
	// Settings returns the settings file of a daemon, and SettingsVariable the variable that holds its path.
	Settings         func(d DaemonSettings) string
	SettingsVariable string
	// Configuration returns what operators write, and where.
	Configuration func(c Configuration) (key string, value []byte)
	// EntryKey returns where an upstream's entry stands.
	EntryKey func(upstream string) string
	// OddEntry returns what is odd about an entry of another writer, beside or instead of an upstream's.
	OddEntry func(how, upstream string) (key string, value []byte)
	// WriteCall puts a caller's words into a request.
	WriteCall func(r *http.Request, c Call, id string, wait time.Duration)
	// Signed returns the upstream that signed an answer; empty: none.
	Signed    func(h http.Header) string
	ReadyPath string
}

// DaemonSettings is what a daemon's settings file says.
type DaemonSettings struct {
	Name, Hall              string
	Halls                   []string
	Front, Ready, Peers     string // where callers, the balancer and other daemons call
	Store, Cloud            string
	Seeds                   []string
	First                   bool    // the whole system starts
	Cores                   float64 // 0: one
	MemoryMB                int     // 0: enough
	Stop, Lease             time.Duration
	UsageWindow, UsageLate  time.Duration
	RetryRatio, RetryExtra  float64
	RetryWindow             time.Duration
	Drain                   time.Duration // for which an upstream that leaves gets requests at most
	StoreWrites, StoreReads float64
}

// Configuration is what the operators have in force.
type Configuration struct {
	Version   int
	Moved     bool // the moving route goes to the other plain service
	Withdrawn bool // a key is taken away
	Lowered   bool // the narrow workspace's quota is halved
	Tight     bool // routes aim at shorter times
	Hasty     bool // routes have HastyTimeout
}

// The time-outs of routes.
const (
	UsualTimeout = 6 * time.Second
	HastyTimeout = 400 * time.Millisecond
)

// The services.
const (
	ServicePlain  = "api"
	ServiceOther  = "other" // where the moving route goes once it is moved
	ServiceEngine = "llm"
)

// The narrow workspace's quota, in tokens.
const (
	NarrowRate  = 300.0
	NarrowBurst = 600.0
	// WideRate is a quota that no day uses up.
	WideRate = 1e6
)

// MaxAttempts is how many upstreams a request may be sent to.
const MaxAttempts = 2
