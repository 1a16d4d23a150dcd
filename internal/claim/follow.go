package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"spurhall.example/spurhall/internal/store"
)

// This file joins the members and follows their records and claims in the store.

// follow joins the members if this node has not joined yet, reads members and claims at one revision and
// follows their changes from there.
func (b *Manager) follow(ctx context.Context) error {
	if err := b.join(ctx); err != nil {
		return err
	}
	r, err := b.o.KV.Range(ctx, prefix, store.PrefixEnd(prefix))
	if err != nil {
		return err
	}
	b.applySnapshot(r)
	b.setPlatform(true)
	return b.o.KV.Watch(ctx, store.PrefixSpan(prefix, r.Revision+1), func(w store.WatchBatch) error {
		b.setPlatform(true)
		var list []Change
		for _, e := range w.Events {
			if c, ok := b.parseChange(e.Pair, e.Deleted); ok {
				list = append(list, c)
			}
		}
		b.do(func(m *Machine) []Action { return m.ApplyChanges(list) })
		return nil
	})
}

// join writes the member record. The same transaction deletes records of earlier processes on the same
// peer address: two processes cannot hold one address, so the earlier ones have ended.
func (b *Manager) join(ctx context.Context) error {
	b.mu.Lock()
	joined := b.created != 0
	b.mu.Unlock()
	if joined {
		return nil
	}
	r, err := b.o.KV.Range(ctx, memberPrefix, store.PrefixEnd(memberPrefix))
	if err != nil {
		return err
	}
	v, err := json.Marshal(b.o.Member)
	if err != nil {
		return err
	}
	key := memberPrefix + b.o.Member.ID
	t := store.Txn{Then: []store.Op{{Kind: store.OpPut, Key: key, Value: v}}}
	for _, p := range r.Pairs {
		var m Member
		if json.Unmarshal(p.Value, &m) == nil && m.Address == b.o.Member.Address && m.ID != b.o.Member.ID {
			t.Then = append(t.Then, store.Op{Kind: store.OpDelete, Key: p.Key})
		}
	}
	_, err = b.o.KV.Txn(ctx, t)
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		return err
	}
	r, err = b.o.KV.Range(ctx, key, "") // also resolves a transaction whose outcome is unknown
	if err != nil {
		return err
	}
	if len(r.Pairs) == 0 {
		return ErrNotMember
	}
	b.mu.Lock()
	b.created = r.Pairs[0].Created
	b.mu.Unlock()
	return nil
}

// applySnapshot applies a read of all members and claims. The first one joins the machine; a later one
// (after the watch broke) is turned into the changes that the watch missed.
func (b *Manager) applySnapshot(r store.RangeResult) {
	var list []Change
	seen := make(map[string]bool)
	for _, p := range r.Pairs {
		if c, ok := b.parseChange(p, false); ok {
			list = append(list, c)
			seen[c.Member] = true
		}
	}
	b.do(func(m *Machine) []Action {
		if !m.Joined() {
			return m.Join(list)
		}
		for _, id := range m.View() {
			if !seen[id] {
				list = append(list, Change{Member: id, Deleted: true, Revision: r.Revision})
			}
		}
		return append(m.ApplyChanges(list), m.DropClaims(list, r.Revision)...)
	})
}

func (b *Manager) parseChange(p store.Pair, deleted bool) (Change, bool) {
	if id, ok := strings.CutPrefix(p.Key, memberPrefix); ok {
		c := Change{Member: id, Deleted: deleted, Revision: p.Modified}
		var m Member
		if !deleted && json.Unmarshal(p.Value, &m) == nil {
			c.Hall = m.Hall
			b.mu.Lock()
			b.members[id] = m
			b.mu.Unlock()
		}
		return c, true
	}
	s, ok := strings.CutPrefix(p.Key, claimPrefix)
	if !ok {
		return Change{}, false
	}
	c := Change{Deleted: deleted, Revision: p.Modified}
	if _, err := fmt.Sscanf(s, "%x", &c.Key); err != nil {
		return Change{}, false
	}
	var v Record
	if !deleted && json.Unmarshal(p.Value, &v) == nil {
		c.Attempt = v.Attempt
	}
	return c, true
}
