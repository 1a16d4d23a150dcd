package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/platform/platformtest"
)

// These tests run the real programs as processes, for the failures that can't be had
// within one: a process frozen or killed at any moment.

type cluster struct {
	t        *testing.T
	files    int // descriptors of each process that is started from now on; 0: as many as this one
	bin      string
	nodes    []*process
	plain    string
	platform string
}

type process struct {
	cmd     *exec.Cmd
	address string
	admin   string
	peers   string
}

func (c *cluster) start(name string, args ...string) *exec.Cmd {
	p := exec.Command(filepath.Join(c.bin, name), args...)
	if c.files > 0 {
		p = exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, c.files), filepath.Join(c.bin, name)}, args...)...)
	}
	output := filepath.Join(c.t.TempDir(), "output")
	f, err := os.Create(output)
	require.NoError(c.t, err)
	p.Stdout, p.Stderr = f, f
	require.NoError(c.t, p.Start())
	_ = f.Close()
	c.t.Cleanup(func() {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
		if c.t.Failed() {
			b, _ := os.ReadFile(output)
			c.t.Logf("%s %s: %v\n%s", name, strings.Join(args, " "), p.ProcessState, b)
		}
	})
	return p
}

func newCluster(t *testing.T, work string, halls ...string) *cluster {
	t.Helper()
	return newClusterOf(t, 0, work, halls...)
}

// newClusterOf is newCluster with so many descriptors for each process; 0: as many as this one has.
func newClusterOf(t *testing.T, files int, work string, halls ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, files: files, bin: t.TempDir(), plain: platformtest.OwnAddress()}
	b := exec.Command("go", "build", "-o", c.bin, "../...")
	out, err := b.CombinedOutput()
	require.NoError(t, err, string(out))
	platform := platformtest.OwnAddress()
	c.platform = platform
	c.start("spurhall-standin", "platform", "--listen", platform)
	c.eventually("the platform answers", func() bool { return get("http://"+platform+"/standin/counts", nil) == nil })
	c.start("spurhall-standin", "plain", "--listen", c.plain, "--platform", "http://"+platform, "--id", "o1", "--pool", "orders", "--work", work)
	seed := ""
	for i, h := range halls {
		p := &process{address: platformtest.OwnAddress(), admin: platformtest.OwnAddress(), peers: platformtest.OwnAddress()}
		args := []string{
			"--vm", fmt.Sprintf("n%d", i), "--hall", h, "--platform", "http://" + platform, "--listen", p.address,
			"--peer-listen", p.peers, "--admin-listen", p.admin, "--log-level", "error",
		}
		if seed != "" {
			args = append(args, "--seed", seed)
		}
		p.cmd = c.start("spurhalld", args...)
		seed = p.peers
		c.nodes = append(c.nodes, p)
	}
	c.eventually("the nodes answer", func() bool {
		for _, n := range c.nodes {
			if get("http://"+n.address+"/readyz", nil) != nil {
				return false
			}
		}
		return true
	})
	a := exec.Command(filepath.Join(c.bin, "spurhall"), "--node", c.nodes[0].admin, "apply", "-f", "../../examples/courier.yaml", "--wait")
	out, err = a.CombinedOutput()
	require.NoError(t, err, string(out))
	c.eventually("every node claims", func() bool {
		for i, n := range c.nodes {
			if r := n.checkIn(fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), 5*time.Second); r.outcome != "done" {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, 30*time.Second, 50*time.Millisecond, what)
}

func get(url string, out any) error {
	a, err := http.Get(url)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", a.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(a.Body).Decode(out)
}

func (c *cluster) runs() map[string]int {
	var r map[string]int
	require.NoError(c.t, get("http://"+c.plain+"/standin/runs", &r))
	return r
}

type reply struct {
	status  int
	outcome string
	err     error
}

func (p *process) checkIn(key string, timeout time.Duration) reply {
	q, _ := http.NewRequest(http.MethodPost, "http://"+p.address+"/s/dispatch/checkin", strings.NewReader("{}"))
	q.Header.Set("Authorization", "Bearer courier-demo-key")
	q.Header.Set("Idempotency-Key", key)
	h := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := h.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return reply{status: a.StatusCode, outcome: a.Header.Get("Spurhall-Outcome")}
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// TestNodeFrozenAtAnyMoment freezes a node while keyed calls go through it, retries
// them through the others, and lets it go on later: it still believes in its claims.
func TestNodeFrozenAtAnyMoment(t *testing.T) {
	c := newCluster(t, "1ms", "hall-a", "hall-b", "hall-b")
	r := rand.New(rand.NewSource(1))
	var wait sync.WaitGroup
	told := make(chan string, 1000)
	for round := 0; round < 12; round++ {
		for i := 0; i < 6; i++ {
			k := fmt.Sprintf("round%d-key%d", round, i)
			wait.Add(1)
			go func() {
				defer wait.Done()
				for _, n := range []int{0, 1, 2, 0} {
					if a := c.nodes[n].checkIn(k, 400*time.Millisecond); a.outcome == "done" {
						told <- k
						return
					}
				}
			}()
		}
		time.Sleep(time.Duration(r.Intn(6000)) * time.Microsecond)
		c.nodes[0].signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		c.nodes[0].signal(syscall.SIGCONT)
		wait.Wait()
	}
	time.Sleep(time.Second) // what was frozen has gone on by now
	close(told)
	runs := c.runs()
	for k, n := range runs {
		require.NotEmpty(t, k, "a call that no caller made reached the service")
		assert.LessOrEqual(t, n, 1, k)
	}
	for k := range told {
		assert.Equal(t, 1, runs[k], "%s was told done", k)
	}
}

// TestNodeKilledAfterTheSend kills a node between sending a call and answering it.
func TestNodeKilledAfterTheSend(t *testing.T) {
	c := newCluster(t, "500ms", "hall-a", "hall-b")
	done := make(chan reply, 1)
	go func() { done <- c.nodes[0].checkIn("k", 5*time.Second) }()
	c.eventually("the call runs", func() bool { return c.runs()["k"] == 1 })
	c.nodes[0].signal(syscall.SIGKILL)
	assert.Error(t, (<-done).err)
	for i := 0; i < 5; i++ {
		a := c.nodes[1].checkIn("k", 5*time.Second)
		assert.Equal(t, http.StatusConflict, a.status)
		assert.Equal(t, "unknown", a.outcome)
	}
	assert.Equal(t, 1, c.runs()["k"])
}

// TestStopSignal: SIGTERM ends a node when the call in progress has its answer.
func TestStopSignal(t *testing.T) {
	c := newCluster(t, "1s", "hall-a", "hall-b")
	done := make(chan reply, 1)
	go func() { done <- c.nodes[0].checkIn("k", 10*time.Second) }()
	c.eventually("the call runs", func() bool { return c.runs()["k"] == 1 })
	c.nodes[0].signal(syscall.SIGTERM)
	c.eventually("readiness drops", func() bool { return get("http://"+c.nodes[0].address+"/readyz", nil) != nil })
	assert.Equal(t, "done", (<-done).outcome)
	assert.NoError(t, c.nodes[0].cmd.Wait())
}

// TestSecondStopSignal: the second signal doesn't wait for the call in progress.
func TestSecondStopSignal(t *testing.T) {
	c := newCluster(t, "1ms", "hall-a", "hall-b")
	a, err := http.Post("http://"+c.plain+"/standin/fault", "application/json", strings.NewReader(`{"mode":"freeze"}`))
	require.NoError(t, err)
	_ = a.Body.Close()
	done := make(chan reply, 1)
	go func() { done <- c.nodes[0].checkIn("k", 30*time.Second) }()
	c.eventually("the call is in progress", func() bool {
		var v struct {
			Open int `json:"callers_open"`
		}
		return get("http://"+c.nodes[0].admin+"/debug/vars", &v) == nil && v.Open == 1
	})
	c.nodes[0].signal(syscall.SIGTERM)
	c.eventually("readiness drops", func() bool { return get("http://"+c.nodes[0].address+"/readyz", nil) != nil })
	c.nodes[0].signal(syscall.SIGTERM)
	assert.NoError(t, c.nodes[0].cmd.Wait())
	assert.Error(t, (<-done).err, "cut off, as was asked for")
}

func TestSettingsAreCheckedTogether(t *testing.T) {
	err := command().Run(t.Context(), []string{"spurhalld", "--vm", "a b", "--hall", "", "--listen", "0.0.0.0:1", "--platform", "x", "--route-policy", "best"})
	require.Error(t, err)
	for _, f := range []string{"--vm", "--hall", "--listen", "--platform", "--route-policy"} {
		assert.Contains(t, err.Error(), f)
	}
}
