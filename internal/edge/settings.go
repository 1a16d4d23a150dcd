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

// ErrSettings reports settings that a node can't run with.
var ErrSettings = errs.NewType("settings").New("the settings are not valid")

// StoreSettings locates the metadata store and states its limits.
type StoreSettings struct {
	Address  string
	Writes   float64 // calls per second, from all nodes together
	Reads    float64
	MinLease time.Duration // shortest lease that the store grants
}

// CloudSettings locates the cloud API and states the duties that it requires.
type CloudSettings struct {
	Address string
	Usage   bool
	Scale   bool
	// Rollouts states that roll-outs may be ordered, which the holder of the duties carries out.
	Rollouts bool
}

// Settings configures one node.
type Settings struct {
	Node       string
	Hall       string
	Halls      map[string]string // region by hall
	Front      string            // address of the callers' listener
	Readiness  string
	Peers      string   // address of the peers' listener
	Seeds      []string // peer addresses of some nodes
	FirstStart bool     // the whole system starts for the first time

	MemoryBytes    int64   // that the process may take; 0: unknown
	MaxDescriptors int     // that the process may open; 0: unknown
	Cores          float64 // of the VM that this node may use; 0: unknown
	LinkRate       float64 // of the VM's network, in bytes a second each way; 0: unknown
	Store          StoreSettings
	Cloud          CloudSettings

	DrainTime     time.Duration // for which a leaving upstream still gets requests at most; 0: unspecified
	StopTimeout   time.Duration // from the stop signal to the kill
	LeaseTTL      time.Duration // of a duty
	RetryRatio    float64       // retries per request, over all nodes
	RetryWindow   time.Duration
	RetryExtra    float64 // retries in the window beyond the ratio, over all nodes
	Exposure      float64 // share of a service's requests that an untried version may get; 0: unspecified
	UsageWindow   time.Duration
	UsageDeadline time.Duration // time after a window's end within which its report is due
}

// Check returns all faults of the settings.
func (s *Settings) Check() error {
	var list []error
	add := func(format string, a ...any) { list = append(list, fmt.Errorf(format, a...)) }
	if s.Node == "" {
		add("the node has no name")
	}
	if s.Hall == "" {
		add("the node has no hall")
	}
	for _, v := range []struct{ name, address string }{
		{"callers' listener", s.Front}, {"readiness listener", s.Readiness}, {"peers' listener", s.Peers}, {"store", s.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(v.address); err != nil {
			add("the address of the %s is %q: use an IP number with a port, such as 10.0.0.5:8080", v.name, v.address)
		}
	}
	for _, v := range []struct {
		name string
		d    time.Duration
	}{{"the lease of a duty", s.LeaseTTL}, {"the usage window", s.UsageWindow}, {"the time to stop", s.StopTimeout}, {"the retry window", s.RetryWindow}} {
		if v.d <= 0 {
			add("%s is %v: it has to be longer than 0", v.name, v.d)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return fault.Because(ErrSettings, "%v", errors.Join(list...))
}
