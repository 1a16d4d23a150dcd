package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/standin"
)

var (
	idPattern   = regexp.MustCompile(`n\d+-[0-9a-f]{8}\.[0-9a-f]{6}\.[0-9a-z]+`)
	timePattern = regexp.MustCompile(`"created":\d+`)
)

// session writes down what callers see, with ids in the order of their first showing.
type session struct {
	out strings.Builder
	ids map[string]string
}

func (s *session) maskVolatile(text string) string {
	text = timePattern.ReplaceAllString(text, `"created":T`)
	return idPattern.ReplaceAllStringFunc(text, func(id string) string {
		if s.ids[id] == "" {
			s.ids[id] = fmt.Sprintf("request-%d", len(s.ids)+1)
		}
		return s.ids[id]
	})
}

func (s *session) record(what string, a response) {
	fmt.Fprintf(&s.out, "> %s\n< %d", what, a.status)
	for _, h := range []string{"Spurhall-Outcome", "X-Request-Id", "Spurhall-Held", "Retry-After", "Idempotent-Replayed", "Location"} {
		if v := a.header.Get(h); v != "" {
			fmt.Fprintf(&s.out, " %s=%s", h, s.maskVolatile(v))
		}
	}
	fmt.Fprintf(&s.out, "\n%s\n\n", strings.TrimSpace(s.maskVolatile(a.body)))
}

// TestSession is a session of a shop and its operators: calls of each kind, mistakes, a
// key used twice, a race of two operators, an outage.
func TestSession(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Decode: time.Millisecond})
	r.waitEngines(1)
	s := &session{ids: make(map[string]string)}
	n := r.nodes[0]
	call := func(what, method, path, body string, header ...string) response {
		a := n.call(method, path, body, header...)
		s.record(what, a)
		return a
	}
	call("read", http.MethodGet, "/s/orders/check/17?full=1", "")
	call("unknown service", http.MethodGet, "/s/nothing/x", "")
	call("unknown path", http.MethodGet, "/nothing", "")
	call("wrong key", http.MethodGet, "/s/orders/x", "", "Authorization", "Bearer no")
	call("keyed call", http.MethodPost, "/s/orders/refuse", "{}", "Idempotency-Key", "k1")
	r.eventually("the answer is on record", func() bool { return n.keyed("/refuse", "k1").status == http.StatusOK })
	a := n.keyed("/refuse", "k1")
	a.header.Del("X-Request-Id") // how many were asked meanwhile varies
	s.record("the same key again", a)
	k := newChat("chat", "hello", 3, true)
	a = call("streamed chat", http.MethodPost, "/v1/chat/completions", k.body)
	call("the rest of it, by id", http.MethodGet, "/v1/requests/"+a.id, "", "Last-Event-ID", a.id+":0")
	call("with a wrong id", http.MethodGet, "/v1/requests/"+a.id, "", "Last-Event-ID", "x:0")
	call("whole chat", http.MethodPost, "/v1/chat/completions", newChat("chat", "hello", 3, false).body)
	call("empty chat", http.MethodPost, "/v1/chat/completions", `{"messages":[]}`)
	call("unknown model", http.MethodPost, "/v1/chat/completions", newChat("none", "x", 1, false).body)
	a = call("job", http.MethodPost, "/v1/chat/completions", newChat("batch", "a catalogue", 3, false).body, "Prefer", "respond-async")
	r.jobResult(n, a.id)
	call("job's answer", http.MethodGet, "/v1/jobs/"+a.id, "")
	call("no such job", http.MethodGet, "/v1/jobs/none", "")
	_, err := r.edit(n, 1, "ada")
	require.NoError(t, err)
	_, err = r.edit(r.nodes[1], 1, "eve")
	fmt.Fprintf(&s.out, "> a second operator applies from the same base\n< %v\n\n", err)
	_, err = n.Store().Apply(context.Background(), config.Change{ID: "x", Base: 2, Documents: []config.Document{{Kind: config.KindWorkspace, Name: "v", Body: "kind: workspace\nname: v\ntemplate: none\n"}}})
	fmt.Fprintf(&s.out, "> a workspace of a template that doesn't exist\n< %v\n\n", err)
	r.outage()
	call("keyed call in an outage", http.MethodPost, "/s/orders/refuse", "{}", "Idempotency-Key", "k2")
	call("promised call in an outage", http.MethodPost, "/s/orders/promise", "{}", "Idempotency-Key", "k3")
	s.record("the same key through the other node", r.nodes[1].keyed("/promise", "k3"))
	goldie.New(t).Assert(t, "session", []byte(s.out.String()))
}

// TestIdleAndSlowCallersStopNobody: a thousand connections that say nothing and some
// that send a byte now and then stand beside ordinary callers.
func TestIdleAndSlowCallersBlockNoOthers(t *testing.T) {
	r := newRig(t, "hall-a")
	var list []net.Conn
	defer func() {
		for _, c := range list {
			_ = c.Close()
		}
	}()
	for i := 0; i < 1000; i++ {
		c, err := net.Dial("tcp", r.nodes[0].callers)
		require.NoError(t, err)
		list = append(list, c)
		if i%10 == 0 {
			_, _ = io.WriteString(c, "POST /s/orders/post HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\nAuthorization: Bearer "+rigKey+"\r\n\r\nx")
		}
	}
	for i := 0; i < 50; i++ {
		assert.Equal(t, "done", r.nodes[0].call(http.MethodGet, "/s/orders/x", "").outcome)
	}
	assert.Zero(t, r.plain.Runs()[""], "a call that didn't arrive whole has run nothing")
}
