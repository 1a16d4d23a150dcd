package node

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
)

// resting refuses what reaches it and asks for rest. It counts requests, not the questions for its
// load.
type rejectingUpstream struct {
	received atomic.Int64
	status  int
	retryAfter    string
}

// ServeHTTP refuses one request.
func (v *rejectingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/load") {
		_, _ = fmt.Fprint(w, `{"slots":32}`)
		return
	}
	v.received.Add(1)
	w.Header().Set("Retry-After", v.retryAfter)
	w.WriteHeader(v.status)
}

func (r *rig) addRejecting(id, service, rest string) *rejectingUpstream {
	v := &rejectingUpstream{status: http.StatusServiceUnavailable, retryAfter: rest}
	r.register(id, store.VM{Role: store.RoleUpstream, Service: service, Hall: "hall-a", Zone: "z0", Slots: 32}, v)
	return v
}

// TestEngineThatAsksForRest: an engine that turns requests away and says for how long gets one from
// a node in that time; each of 20 chats was sent there first.
func TestEngineCooldown(t *testing.T) {
	r := newRig(t, "hall-a")
	v := r.addRejecting("e0", "llm", "20")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Decode: time.Millisecond})
	r.waitEngines(2)
	for i := range 20 {
		k := newChat("chat", fmt.Sprintf("q%d", i), 2, true)
		assertComplete(t, k, r.chat(r.nodes[0], k))
	}
	assert.LessOrEqual(t, v.received.Load(), int64(1))
}

// TestServiceThatAsksForRest is the same for a plain service, and for callers when nobody else is
// left: they are told the time that is left, not a second.
func TestServiceCooldown(t *testing.T) {
	r := newRig(t, "hall-a")
	v := r.addRejecting("p0", "orders", "20")
	n := r.nodes[0]
	r.eventually("it is known", func() bool { return n.upstreams("orders") == 2 })
	for range 20 {
		assert.Equal(t, http.StatusOK, n.call(http.MethodPost, "/s/orders/again", "{}").status)
	}
	assert.LessOrEqual(t, v.received.Load(), int64(1))
}

// TestAllEnginesRest: callers are told when the first engine can take them.
func TestAllEnginesInCooldown(t *testing.T) {
	r := newRig(t, "hall-a")
	list := []*rejectingUpstream{r.addRejecting("e0", "llm", "20"), r.addRejecting("e1", "llm", "30")}
	r.waitEngines(2)
	n := r.nodes[0]
	r.eventually("both are asked", func() bool {
		_ = r.chat(n, newChat("chat", fmt.Sprint("p", time.Now().UnixNano()), 2, true))
		return list[0].received.Load() > 0 && list[1].received.Load() > 0
	})
	was := list[0].received.Load() + list[1].received.Load()
	a := r.chat(n, newChat("chat", "q", 2, true))
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, was, list[0].received.Load()+list[1].received.Load())
	assert.Contains(t, []string{"20", "19", "18", "17"}, a.header.Get("Retry-After"))
}

// TestCallersOfRestingEnginesReturnInOrder: callers beyond those that there is room for at once are told later times;
// told the same second, all 400 came back in it.
func TestCallersOfEnginesInCooldownReturnSpread(t *testing.T) {
	r := newRig(t, "hall-a")
	v := r.addRejecting("e0", "llm", "20")
	r.waitEngines(1)
	n := r.nodes[0]
	r.eventually("it is asked", func() bool {
		_ = r.chat(n, newChat("chat", fmt.Sprint("p", time.Now().UnixNano()), 2, true))
		return v.received.Load() > 0
	})
	least, most := math.MaxInt, 0
	for i := range 400 {
		a := r.chat(n, newChat("chat", fmt.Sprint("q", i), 2, true))
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		s, err := strconv.Atoi(a.header.Get("Retry-After"))
		assert.NoError(t, err)
		least, most = min(least, s), max(most, s)
	}
	assert.GreaterOrEqual(t, most, least+2)
	assert.LessOrEqual(t, most, 20+int(retry.MaxReturnSpread/time.Second))
}
