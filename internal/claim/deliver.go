package claim

import (
	"context"
)

// This file carries the machine's messages between nodes.

// send delivers one message and feeds the reply back. A member that can't be
// reached blocks a promise, so the try ends at once.
func (b *Manager) send(g Message) {
	b.mu.Lock()
	m, ok := b.members[g.To]
	parent := b.ctx
	b.mu.Unlock()
	if !ok || parent == nil {
		return
	}
	reply, err := b.deliver(parent, m, g)
	for try := 0; err != nil && g.Kind == MessageRelease && try < releaseTries; try++ {
		_ = b.o.Clock.Sleep(parent, releaseAgain)
		reply, err = b.deliver(parent, m, g)
	}
	if err != nil {
		if g.Kind == MessageAsk {
			b.do(func(m *Machine) []Action { return m.Abandon(g.Attempt) })
		}
		return
	}
	if reply != nil {
		b.do(func(m *Machine) []Action { return m.Receive(*reply) })
	}
}

func (b *Manager) deliver(parent context.Context, m Member, g Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(parent, b.o.Timeout)
	defer cancel()
	return b.o.Send(ctx, m, g)
}

// Receive takes a peer's message and returns the reply, if there is one for it.
func (b *Manager) Receive(g Message) *Message {
	var reply *Message
	b.do(func(m *Machine) []Action {
		list := m.Receive(g)
		for i, a := range list {
			if a.Kind == ActionSend && a.Message.To == g.From && reply == nil {
				reply = &list[i].Message
				return append(list[:i:i], list[i+1:]...)
			}
		}
		return list
	})
	return reply
}
