package edge

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("edge")

// ErrSettings says that a node can't run by its settings.
var ErrSettings = errs.NewType("settings").New("the settings are not valid")

// StoreSettings says where the metadata store is and what it takes.
type StoreSettings struct {
	Address  string
	Writes   float64 // calls a second, from all nodes together
	Reads    float64
	MinLease time.Duration // the shortest lease that it grants
}

// CloudSettings says where the cloud API is and which duties it asks for.
type CloudSettings struct {
	Address string
	Usage   bool
	Scale   bool
	// Rollouts says that roll-outs may be ordered, which the holder of the duties carries out.
	Rollouts bool
}

// Settings is what one node runs by.
type Settings struct {
	Node       string
	Hall       string
	Halls      map[string]string // region by hall
	Front      string            // callers' listener
	Readiness  string
	Peers      string   // other nodes' listener
	Seeds      []string // some nodes' peer listeners
	FirstStart bool     // the whole system starts for the first time

	MemoryBytes int64
	MaxDescriptors int     // that the process may have open; 0: not known
	Cores       float64 // of the VM that this node may use; 0: not known
	Store       StoreSettings
	Cloud       CloudSettings

	StopTimeout        time.Duration // from the stop signal to the kill
	LeaseTTL       time.Duration // of a duty
	RetryRatio  float64       // repeats a request, over all nodes
	RetryWindow time.Duration
	RetryExtra  float64 // repeats in the window beyond the ratio, over all nodes
	Exposure    float64 // share of a service's requests that an untried version may get; 0: unsaid
	UsageWindow time.Duration
	UsageDeadline   time.Duration // a window's report is due so long after its end
}

// Check reports everything that is wrong.
func (s *Settings) Check() error {
	var list []error
	bad := func(format string, a ...any) { list = append(list, fmt.Errorf(format, a...)) }
	if s.Node == "" {
		bad("the node has no name")
	}
	if s.Hall == "" {
		bad("the node has no hall")
	}
	for _, v := range []struct{ name, address string }{
		{"callers' listener", s.Front}, {"readiness listener", s.Readiness}, {"peers' listener", s.Peers}, {"store", s.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(v.address); err != nil {
			bad("the address of the %s is %q: use an IP number with a port, such as 10.0.0.5:8080", v.name, v.address)
		}
	}
	for _, v := range []struct {
		name string
		d    time.Duration
	}{{"the lease of a duty", s.LeaseTTL}, {"the usage window", s.UsageWindow}, {"the time to stop", s.StopTimeout}, {"the retry window", s.RetryWindow}} {
		if v.d <= 0 {
			bad("%s is %v: it has to be longer than 0", v.name, v.d)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return fault.Because(ErrSettings, "%v", errors.Join(list...))
}
