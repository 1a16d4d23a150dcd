package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// These tests send crowds of callers that don't behave to the own interface of a process. What is checked doesn't depend on speed.

const (
	crowdMemory = 184  // MB of the VM, by the process's settings
	crowdFiles  = 1024 // descriptors of a process, where a test lowers them
	crowdSends  = 4 * time.Second
	chatBody    = 8 << 20 // the largest body of a chat request, in bytes
)

const crowdHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer courier-demo-key\r\n"

// statusOf returns a field of a process's status, in bytes.
func (p *process) statusOf(t *testing.T, field string) int64 {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(b), field+":")
	require.True(t, found)
	kB, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(t, err)
	return kB << 10
}

// TestHeadsTakeTheMemoryOfTheOwnInterface guards against heads that are held while they come, without a bound over all of them.
func TestHeadsTakeTheMemoryOfTheOwnInterface(t *testing.T) {
	assertBears(t, callersOf, 320, crowdHead, manyFields())
}

// TestHeadsAtTheOtherListenersTakeTheMemory guards against listeners besides the callers' one whose heads nobody counts.
func TestHeadsAtTheOtherListenersTakeTheMemory(t *testing.T) {
	t.Run("other nodes", func(t *testing.T) {
		assertBears(t, func(p *process) string { return p.peers }, 320, crowdHead, manyFields())
	})
	t.Run("operators", func(t *testing.T) {
		assertBears(t, func(p *process) string { return p.admin }, 320, crowdHead, manyFields())
	})
}

// TestConnectionsAtTheOtherListenersTakeAllDescriptors guards against listeners besides the callers' one that take any number of
// connections, or any number of messages at once.
func TestConnectionsAtTheOtherListenersTakeAllDescriptors(t *testing.T) {
	const announced, sent = 8 << 20, 2 << 20 // of a message, in bytes
	for name, v := range map[string]struct {
		at    func(p *process) string
		texts []string
	}{
		"other nodes": {func(p *process) string { return p.peers }, nil},
		"operators":   {func(p *process) string { return p.admin }, nil},
		"messages of other nodes": {func(p *process) string { return p.peers }, []string{
			fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n", wireconnect.PeerExchangeProcedure, announced), strings.Repeat("x", sent),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("SPURHALL_MEMORY_MB", strconv.Itoa(crowdMemory))
			assertBearsIn(t, newClusterOf(t, crowdFiles, "1ms", "hall-a"), v.at, crowdFiles+76, v.texts...)
		})
	}
}

// manyFields returns 60 kB of header fields of a few bytes.
func manyFields() string {
	var fields strings.Builder
	for i := 0; fields.Len() < 60_000; i++ {
		fmt.Fprintf(&fields, "x%x:\r\n", i)
	}
	return fields.String()
}

func callersOf(p *process) string { return p.address }

// TestBodiesTakeTheMemoryOfTheOwnInterface guards against bodies of legal size that never come to their end.
func TestBodiesTakeTheMemoryOfTheOwnInterface(t *testing.T) {
	body := `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", chatBody-200)
	assertBears(t, callersOf, 64, crowdHead, fmt.Sprintf("Content-Length: %d\r\n\r\n", chatBody), body)
}

// descriptors returns how many descriptors the process has open.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd"))
	require.NoError(t, err)
	return len(list)
}

// gather opens so many connections and sends some texts on each. They stay open until the test ends.
func (c *cluster) gather(address string, callers int, texts ...string) {
	c.t.Helper()
	for range callers {
		conn, err := net.Dial("tcp", address)
		require.NoError(c.t, err)
		c.t.Cleanup(func() { _ = conn.Close() })
		go func() {
			for _, x := range texts {
				if _, err := conn.Write([]byte(x)); err != nil {
					return // it was closed
				}
			}
		}()
	}
	time.Sleep(crowdSends)
}

// assertBears checks a process while so many callers have sent some texts to one of its listeners and stay open.
func assertBears(t *testing.T, at func(p *process) string, callers int, texts ...string) {
	t.Helper()
	t.Setenv("SPURHALL_MEMORY_MB", strconv.Itoa(crowdMemory))
	assertBearsIn(t, newCluster(t, "1ms", "hall-a"), at, callers, texts...)
}

// assertBearsIn is assertBears for the first node of a cluster.
func assertBearsIn(t *testing.T, c *cluster, at func(p *process) string, callers int, texts ...string) {
	t.Helper()
	p := c.nodes[0]
	c.gather(at(p), callers, texts...)
	require.NoError(t, p.cmd.Process.Signal(syscall.Signal(0)))
	if c.files > 0 {
		assert.Less(t, p.descriptors(t), c.files, "open descriptors")
	}
	c.eventually("an ordinary call is answered", func() bool {
		return p.checkIn(fmt.Sprint("crowd-", time.Now().UnixNano()), 5*time.Second).outcome == "done"
	})
	peak := p.statusOf(t, "VmHWM")
	t.Logf("peak %d MB, %d descriptors", peak>>20, p.descriptors(t))
	assert.Less(t, peak, int64(crowdMemory)<<20, "the peak of resident memory")
}
