package edge

import (
	"fmt"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

var crashingFingerprint = quarantine.FingerprintOf(quarantine.Request{Target: "/chat/", Body: []byte("deadly")})

// newTestNode returns a node that runs no background task.
func newTestNode(name string, clock *timer.Manual) *Node {
	return New(Options{Settings: &Settings{Node: name, Hall: "a", Peers: "127.0.0.1:1", UsageWindow: time.Second}, Incarnation: name, Clock: clock.Service(), Log: zap.NewNop(), Era: era.NewTracker()})
}

func (n *Node) observeCrashes(count int) {
	for i := range count {
		now := n.clock.Now()
		n.front.ApplyQuarantine(n.quarantine.ObserveCrash(now, quarantine.Crash{Fingerprint: crashingFingerprint, Upstream: fmt.Sprint("u", i), At: now}), "")
	}
}

func (n *Node) isQuarantined() bool {
	return n.quarantine.Remaining(n.clock.Now(), crashingFingerprint) > 0
}

// TestSuspicionsInEveryMessage checks that each kind of message between nodes carries crash evidence both ways.
func TestSuspicionsInEveryMessage(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	pair := func() (*Node, *Node) { return newTestNode("x", clock), newTestNode("y", clock) }
	messages := map[string]func(t *testing.T, caller, callee *Node){
		"report": func(t *testing.T, x, y *Node) {
			a, err := (&edgeService{y}).Report(t.Context(), connect.NewRequest(&wire.ReportRequest{Report: x.buildReport(pairWindows)}))
			require.NoError(t, err)
			x.applyReport(t.Context(), a.Msg.Report)
		},
		"gather": func(t *testing.T, x, y *Node) {
			a, err := (&edgeService{y}).Gather(t.Context(), connect.NewRequest(&wire.GatherRequest{Report: x.buildReport(relayWindows)}))
			require.NoError(t, err)
			x.applyGatherResponse("y", a.Msg)
		},
		"swap": func(t *testing.T, x, y *Node) {
			a, err := (&edgeService{y}).Swap(t.Context(), connect.NewRequest(&wire.SwapRequest{Group: x.buildGroup("y", "", 0)}))
			require.NoError(t, err)
			x.applyGroup(a.Msg.Group)
		},
	}
	for name, exchange := range messages {
		t.Run(name, func(t *testing.T) {
			x, y := pair()
			x.observeCrashes(quarantine.CrashThreshold)
			exchange(t, x, y)
			assert.True(t, y.isQuarantined(), "request")
			x, y = pair()
			y.observeCrashes(quarantine.CrashThreshold)
			exchange(t, x, y)
			assert.True(t, x.isQuarantined(), "response")
		})
	}
	t.Run("new evidence is propagated", func(t *testing.T) {
		x, y := pair()
		z := newTestNode("z", clock)
		x.observeCrashes(1)
		messages["swap"](t, x, y)
		messages["gather"](t, z, y)
		assert.Equal(t, 1, z.quarantine.CrashCount(crashingFingerprint))
	})
}

// TestSuspicionsOfAnotherVersion checks that fingerprints of another length, as another version may send, are
// ignored.
func TestSuspicionsOfAnotherVersion(t *testing.T) {
	m := &wire.Suspicions{Ends: []*wire.End{{Print: []byte("short"), Upstream: "u"}}, Answers: []*wire.Answered{{Print: nil}}}
	assert.True(t, quarantine.UpdateFromWire(time.Unix(1000, 0), m).Empty())
}

// TestReachesHall checks that a hall is reachable if one of its nodes listens.
func TestReachesHall(t *testing.T) {
	n := newTestNode("x", timer.NewManual(time.Unix(1000, 0)))
	addNode := func(name string, listens bool) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		n.peers.GetOrAdd(name, l.Addr().String()).Hall = "b"
		if !listens {
			require.NoError(t, l.Close())
			return
		}
		t.Cleanup(func() { _ = l.Close() })
	}
	assert.True(t, n.reachesHall(t.Context(), "b"), "no node of the hall is known")
	addNode("ended", false)
	assert.False(t, n.reachesHall(t.Context(), "b"))
	addNode("listening", true)
	assert.True(t, n.reachesHall(t.Context(), "b"))
}

// TestSuspensionIsLoggedOnce checks for one log line per suspension of the VM.
func TestSuspensionIsLoggedOnce(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	n := newTestNode("x", clock)
	core, logs := observer.New(zap.DebugLevel)
	n.log = zap.New(core)
	clock.Suspend(4 * time.Second)
	n.logSuspension()
	n.logSuspension()
	l := logs.FilterMessage("vm_suspended").All()
	require.Len(t, l, 1)
	assert.Equal(t, 4*time.Second, l[0].ContextMap()["for"])
}
