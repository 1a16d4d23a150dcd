package dispatch

import (
	"context"
	"fmt"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/reclaim"
	"spurhall.example/spurhall/internal/route"
)

// activeStream is a stream in progress, with what is needed to move it off its upstream.
type activeStream struct {
	upstream  string
	chat      *Chat
	cancel    context.CancelCauseFunc
	startedAt time.Time
	moved     bool
	successor string
}

func (p *pool) track(c *Chat, upstream string, cancel context.CancelCauseFunc) *activeStream {
	m := &activeStream{upstream: upstream, chat: c, cancel: cancel, startedAt: p.d.o.Clock.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[c.Record.ID()] = m
	return m
}

func (p *pool) untrack(id string, m *activeStream) (successor string, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[id] == m {
		delete(p.streams, id)
	}
	return m.successor, m.moved
}

// MoveStreams moves this node's streams off an upstream that stops after the notice. Streams that can complete
// in time do so. For those worth it, the KV cache is exported to a successor first. All moved streams resume
// elsewhere at the offset that they had reached.
func (d *Dispatcher) MoveStreams(ctx context.Context, f member.Fact, notice time.Duration) {
	p := d.pool(f.Service)
	moves, plan := p.planMoves(f, notice)
	if len(moves) == 0 {
		return
	}
	d.o.Event("moving_streams", "", fmt.Sprintf("%d from %s within %v", len(moves), f.ID, notice))
	x, cancel := context.WithTimeout(ctx, notice)
	defer cancel()
	for _, s := range plan {
		m := moves[s.Index]
		switch s.Action {
		case reclaim.ActionStay:
			continue
		case reclaim.ActionExport:
			p.exportCache(x, f, m)
		}
		p.mu.Lock()
		m.moved = true
		p.mu.Unlock()
		m.cancel(errMoved)
		_ = d.o.Client.Cancel(x, f.Address, m.chat.Record.ID())
	}
	_ = d.o.Clock.Sleep(x, notice)
	p.moveRemaining(f.ID)
}

// moveRemaining moves the streams that were expected to complete in time and did not.
func (p *pool) moveRemaining(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.streams {
		if m.upstream == id && !m.moved {
			m.moved = true
			m.cancel(errMoved)
		}
	}
}

func (p *pool) planMoves(f member.Fact, notice time.Duration) ([]*activeStream, []reclaim.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.d.o.Clock.Now()
	var moves []*activeStream
	var list []reclaim.Stream
	for _, m := range p.streams {
		if m.upstream != f.ID || m.moved {
			continue
		}
		done := m.chat.Record.Len()
		s := reclaim.Stream{
			Live: m.chat.Service.Class == config.ClassLive, Tokens: m.chat.Prompt.Tokens + done,
			MaxRemaining: m.chat.MaxTokens - done, Weight: 1 + m.chat.Service.Weights.Recompute,
		}
		if done > 0 {
			s.TokenTime = now.Sub(m.startedAt) / time.Duration(done)
		}
		moves, list = append(moves, m), append(list, s)
	}
	return moves, reclaim.Plan(list, reclaim.Options{Notice: notice})
}

// exportCache sends a stream's KV cache to the successor: the upstream that the router would choose without the
// leaving one, in another zone if possible.
func (p *pool) exportCache(ctx context.Context, f member.Fact, m *activeStream) {
	to, ok := p.successor(f, m)
	if !ok {
		return
	}
	id := m.chat.Record.ID()
	if err := p.d.o.Client.Export(ctx, f.Address, id, to); err != nil {
		p.d.o.Event("kv_export_failed", id, fmt.Sprintf("%s to %s: %v", f.ID, to, err))
		return
	}
	p.mu.Lock()
	m.successor = to
	p.mu.Unlock()
	p.d.o.Event("kv_exported", id, fmt.Sprintf("%s to %s", f.ID, to))
}

func (p *pool) successor(f member.Fact, m *activeStream) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLocked()
	outside := false
	for i := range p.candidates {
		p.candidates[i].Excluded = p.candidates[i].ID == f.ID || !p.outliers.Usable(p.d.now(), p.candidates[i].ID)
		outside = outside || !p.candidates[i].Excluded && p.candidates[i].Zone != f.Zone
	}
	for i := range p.candidates {
		if outside && p.candidates[i].Zone == f.Zone {
			p.candidates[i].Excluded = true
		}
	}
	prompt := m.chat.Prompt
	c := p.router.Pick(&prompt, p.candidates)
	if c.Index < 0 {
		return "", false
	}
	return p.list[c.Index].Address, true
}

// checkLeaving asks an upstream that rejected a request whether it is leaving, and records it if so: the
// upstream's own statement counts like any other notice.
func (d *Dispatcher) checkLeaving(id, address string) {
	x, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l, err := d.o.Client.Load(x, address)
	if err == nil && l.Leaving && d.o.Table.Mark(d.o.Clock.Now(), id, member.StatusLeaving, time.Time{}) {
		d.o.Event("upstream_leaving", "", id+": said so itself")
	}
}

// PromptOf derives the router's inputs from a chat's messages. Tokens are estimated as words, which is exact
// for the stand-in engine and accurate enough for routing.
func PromptOf(texts []string, roles []string, maxTokens int) route.Prompt {
	p := route.Prompt{MaxTokens: maxTokens}
	var b strings.Builder
	user := false
	for i, t := range texts {
		if roles[i] != "system" && p.Shared == 0 && b.Len() > 0 {
			p.Shared, p.SharedTokens = route.HashID(b.String()), p.Tokens
		}
		n := len(strings.Fields(t)) + 1
		last := i == len(texts)-1
		if last && i > 0 {
			p.ReusableTokens = p.Tokens
		}
		p.Tokens += n
		b.WriteString(roles[i])
		b.WriteByte(':')
		b.WriteString(t)
		b.WriteByte('\n')
		if roles[i] == "user" && !user {
			user = true
			p.Conversation = route.HashID(b.String())
		}
	}
	p.ReusableTokens = max(p.ReusableTokens, p.SharedTokens)
	return p
}
