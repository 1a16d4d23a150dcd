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

var deadlyPrint = quarantine.FingerprintOf(quarantine.Request{Target: "/chat/", Body: []byte("deadly")})

// suspiciousNode is a node that runs no duty, and what it knows.
func suspiciousNode(name string, clock *timer.Manual) *Node {
	return New(Options{Settings: &Settings{Node: name, Hall: "a", Peers: "127.0.0.1:1", UsageWindow: time.Second}, Incarnation: name, Clock: clock.Service(), Log: zap.NewNop(), Era: era.NewTracker()})
}

func (n *Node) sawEnds(count int) {
	for i := range count {
		now := n.clock.Now()
		n.front.ApplyQuarantine(n.suspects.ObserveCrash(now, quarantine.Crash{Fingerprint: deadlyPrint, Upstream: fmt.Sprint("u", i), At: now}), "")
	}
}

func (n *Node) holdsBack() bool { return n.suspects.Remaining(n.clock.Now(), deadlyPrint) > 0 }

// TestSuspicionsGoWithEveryMessage: what holds a request back is told by each kind of message
// between nodes, both ways.
func TestSuspicionsGoWithEveryMessage(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	pair := func() (*Node, *Node) { return suspiciousNode("x", clock), suspiciousNode("y", clock) }
	ways := map[string]func(t *testing.T, asker, answerer *Node){
		"report": func(t *testing.T, x, y *Node) {
			a, err := (&edgeService{y}).Report(t.Context(), connect.NewRequest(&wire.ReportRequest{Report: x.report(pairWindows)}))
			require.NoError(t, err)
			x.takeIn(t.Context(), a.Msg.Report)
		},
		"gather": func(t *testing.T, x, y *Node) {
			a, err := (&edgeService{y}).Gather(t.Context(), connect.NewRequest(&wire.GatherRequest{Report: x.report(relayWindows)}))
			require.NoError(t, err)
			x.takeGathered("y", a.Msg)
		},
		"swap": func(t *testing.T, x, y *Node) {
			a, err := (&edgeService{y}).Swap(t.Context(), connect.NewRequest(&wire.SwapRequest{Group: x.groupFor("y", "", 0)}))
			require.NoError(t, err)
			x.takeGroup(a.Msg.Group)
		},
	}
	for name, swap := range ways {
		t.Run(name, func(t *testing.T) {
			x, y := pair()
			x.sawEnds(quarantine.CrashThreshold)
			swap(t, x, y)
			assert.True(t, y.holdsBack(), "asked")
			x, y = pair()
			y.sawEnds(quarantine.CrashThreshold)
			swap(t, x, y)
			assert.True(t, x.holdsBack(), "answered")
		})
	}
	t.Run("news is told on", func(t *testing.T) {
		x, y := pair()
		z := suspiciousNode("z", clock)
		x.sawEnds(1)
		ways["swap"](t, x, y)
		ways["gather"](t, z, y)
		assert.Equal(t, 1, z.suspects.CrashCount(deadlyPrint))
	})
}

// TestSuspicionsOfAnotherVersion: a node of another version may tell prints of another length.
func TestSuspicionsOfAnotherVersion(t *testing.T) {
	m := &wire.Suspicions{Ends: []*wire.End{{Print: []byte("short"), Upstream: "u"}}, Answers: []*wire.Answered{{Print: nil}}}
	assert.True(t, quarantine.UpdateFromWire(time.Unix(1000, 0), m).Empty())
}

// TestTheWayToAHall: one node of a hall that listens shows that the way there is open.
func TestTheWayToAHall(t *testing.T) {
	n := suspiciousNode("x", timer.NewManual(time.Unix(1000, 0)))
	know := func(name string, listens bool) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		n.peers.get(name, l.Addr().String()).hall = "b"
		if !listens {
			require.NoError(t, l.Close())
			return
		}
		t.Cleanup(func() { _ = l.Close() })
	}
	assert.True(t, n.reaches(t.Context(), "b"), "nothing is known of it")
	know("ended", false)
	assert.False(t, n.reaches(t.Context(), "b"))
	know("listening", true)
	assert.True(t, n.reaches(t.Context(), "b"))
}

// TestSuspensionIsTold: one line for each suspension of the VM.
func TestSuspensionIsTold(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	n := suspiciousNode("x", clock)
	core, logs := observer.New(zap.DebugLevel)
	n.log = zap.New(core)
	clock.Suspend(4 * time.Second)
	n.noteSuspension()
	n.noteSuspension()
	l := logs.FilterMessage("vm_suspended").All()
	require.Len(t, l, 1)
	assert.Equal(t, 4*time.Second, l[0].ContextMap()["for"])
}
