package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/platform/platformtest"
)

// TestNodeWhoseLogNobodyReads guards against a node of the own interface that waits for whoever reads its log.
func TestNodeWhoseLogNobodyReads(t *testing.T) {
	c := newCluster(t, "1ms", "hall-a")
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = reader.Close(); _ = writer.Close() })
	require.NoError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	for err == nil {
		_, err = writer.WriteString(strings.Repeat("x", 4<<10))
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n := &process{address: platformtest.OwnAddress(), admin: platformtest.OwnAddress(), peers: platformtest.OwnAddress()}
	n.cmd = exec.Command(filepath.Join(c.bin, "spurhalld"), "--vm", "unread", "--hall", "hall-a", "--platform", "http://"+c.platform, "--listen", n.address,
		"--peer-listen", n.peers, "--admin-listen", n.admin, "--seed", c.nodes[0].peers)
	n.cmd.Stderr = writer
	require.NoError(t, n.cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- n.cmd.Wait() }()
	t.Cleanup(func() { _ = n.cmd.Process.Kill() })
	c.eventually("the node answers", func() bool { return get("http://"+n.address+"/readyz", nil) == nil })
	c.eventually("it claims", func() bool { return n.checkIn("unread-"+time.Now().String(), 5*time.Second).outcome == "done" })
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		assert.NoError(t, err)
	case <-time.After(30 * time.Second):
		assert.Fail(t, "the node doesn't end")
	}
}
