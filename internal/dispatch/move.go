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

// move is a stream in flight, and the way to take it off its upstream.
type move struct {
	upstream string
	chat     *Chat
	cancel   context.CancelCauseFunc
	begun    time.Time
	moved    bool
	next     string
}

func (p *pool) track(c *Chat, upstream string, cancel context.CancelCauseFunc) *move {
	m := &move{upstream: upstream, chat: c, cancel: cancel, begun: p.d.o.Clock.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moving[c.Record.ID()] = m
	return m
}

func (p *pool) untrack(id string, m *move) (next string, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moving[id] == m {
		delete(p.moving, id)
	}
	return m.next, m.moved
}

// Leaving takes this node's streams off an upstream that has so long left. Streams
// that can end, end; of the others, those worth it have their KV cache exported to
// a successor first, and all go on elsewhere at the offset they had reached.
func (d *Dispatcher) MoveStreams(ctx context.Context, f member.Fact, notice time.Duration) {
	p := d.pool(f.Service)
	moves, plan := p.plan(f, notice)
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
			p.export(x, f, m)
		}
		p.mu.Lock()
		m.moved = true
		p.mu.Unlock()
		m.cancel(errMoved)
		_ = d.o.Client.Cancel(x, f.Address, m.chat.Record.ID())
	}
	_ = d.o.Clock.Sleep(x, notice)
	p.sweep(f.ID)
}

// sweep moves what was left to end by itself and didn't.
func (p *pool) sweep(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.moving {
		if m.upstream == id && !m.moved {
			m.moved = true
			m.cancel(errMoved)
		}
	}
}

func (p *pool) plan(f member.Fact, notice time.Duration) ([]*move, []reclaim.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.d.o.Clock.Now()
	var moves []*move
	var list []reclaim.Stream
	for _, m := range p.moving {
		if m.upstream != f.ID || m.moved {
			continue
		}
		done := m.chat.Record.Len()
		s := reclaim.Stream{
			Live: m.chat.Service.Class == config.ClassLive, Tokens: m.chat.Prompt.Tokens + done,
			MaxRemaining: m.chat.MaxTokens - done, Weight: 1 + m.chat.Service.Weights.Recompute,
		}
		if done > 0 {
			s.TokenTime = now.Sub(m.begun) / time.Duration(done)
		}
		moves, list = append(moves, m), append(list, s)
	}
	return moves, reclaim.Plan(list, reclaim.Options{Notice: notice})
}

// export sends a stream's KV cache to the successor: the upstream that the router
// would choose without the leaving one, outside its zone if there is one.
func (p *pool) export(ctx context.Context, f member.Fact, m *move) {
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
	m.next = to
	p.mu.Unlock()
	p.d.o.Event("kv_exported", id, fmt.Sprintf("%s to %s", f.ID, to))
}

func (p *pool) successor(f member.Fact, m *move) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLocked()
	outside := false
	for i := range p.cands {
		p.cands[i].Excluded = p.cands[i].ID == f.ID || !p.outliers.Usable(p.d.now(), p.cands[i].ID)
		outside = outside || !p.cands[i].Excluded && p.cands[i].Zone != f.Zone
	}
	for i := range p.cands {
		if outside && p.cands[i].Zone == f.Zone {
			p.cands[i].Excluded = true
		}
	}
	prompt := m.chat.Prompt
	c := p.router.Pick(&prompt, p.cands)
	if c.Index < 0 {
		return "", false
	}
	return p.list[c.Index].Address, true
}

// checkLeaving asks an upstream that refused whether it is leaving, and spreads it
// if so: its own word is a notice like any other.
func (d *Dispatcher) checkLeaving(id, address string) {
	x, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l, err := d.o.Client.Load(x, address)
	if err == nil && l.Leaving && d.o.Table.Mark(d.o.Clock.Now(), id, member.StatusLeaving, time.Time{}) {
		d.o.Event("upstream_leaving", "", id+": said so itself")
	}
}

// PromptOf works out what the router needs from a chat's messages. Tokens are
// estimated as words, which is exact for the stand-in and near enough for choosing.
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
