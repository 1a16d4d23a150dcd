package claim

import "sort"

// This file handles messages from peers.

// Receive handles a message from a peer.
func (m *Machine) Receive(g Message) []Action {
	if g.To != m.id {
		return nil // addressed to an earlier process on this address
	}
	switch g.Kind {
	case MessageAsk:
		return m.handleAsk(g)
	case MessageGrant:
		return m.handleGrant(g)
	case MessageDeny:
		return m.handleDeny(g)
	case MessageRelease:
		m.unmark(g.Key, g.Attempt)
		m.rememberReleased(g.Attempt)
	case MessageSync:
		return m.sendTable(g)
	case MessageTable:
		return m.receiveTable(g)
	case MessageLeave:
		r := m.mergeTable(g.Table)
		m.removeMember(g.From)
		return r
	}
	return nil
}

func (m *Machine) handleAsk(g Message) []Action {
	reply := Message{Kind: MessageGrant, To: g.From, Key: g.Key, Attempt: g.Attempt}
	if why := m.denialReason(g); why != ReasonNone {
		reply.Kind, reply.Reason = MessageDeny, why
		return []Action{m.send(reply)}
	}
	m.mark(g.Key, g.Attempt)
	return []Action{m.send(reply)}
}

func (m *Machine) denialReason(g Message) Reason {
	if m.stopped {
		return ReasonStopped
	}
	if !m.synced && m.guards.syncedFirst {
		return ReasonUnsynced
	}
	// The proof does not need this check. It rejects a removed asker early and tells it the reason.
	if _, ok := m.view[g.From]; !ok {
		return ReasonViewMismatch
	}
	if m.guards.sameView && !m.coversView(g.View) {
		return ReasonViewMismatch
	}
	if m.released[g.Attempt] {
		return ReasonTimeout
	}
	if m.guards.rejectKnown && m.takenByOther(g.Key, g.Attempt) {
		return ReasonKnown
	}
	return ReasonNone
}

// releasedLimit bounds the number of released attempts that are kept. A request that arrives after more
// releases than that marks its key until the key's lifetime ends, which only rejects later attempts.
const releasedLimit = 4096

func (m *Machine) rememberReleased(id string) {
	if m.released[id] {
		return
	}
	m.released[id] = true
	if len(m.releasedOrder) < releasedLimit {
		m.releasedOrder = append(m.releasedOrder, id)
		return
	}
	delete(m.released, m.releasedOrder[m.releasedNext])
	m.releasedOrder[m.releasedNext] = id
	m.releasedNext = (m.releasedNext + 1) % releasedLimit
}

// takenByOther returns whether an attempt other than id may run the key.
func (m *Machine) takenByOther(key uint64, id string) bool {
	if h, ok := m.claims[key]; ok && h.attempt != id {
		return true
	}
	for _, o := range m.marks[key] {
		if o != id {
			return true
		}
	}
	return false
}

// coversView returns whether an asker's view contains every member of this node's view.
func (m *Machine) coversView(view []string) bool {
	has := make(map[string]bool, len(view))
	for _, id := range view {
		has[id] = true
	}
	for id := range m.view {
		if !has[id] {
			return false
		}
	}
	return true
}

func (m *Machine) handleGrant(g Message) []Action {
	a := m.attempts[g.Attempt]
	if a == nil || a.phase == phaseRunning {
		return nil
	}
	if a.phase != phaseAsking && m.guards.abortFinal {
		return nil
	}
	delete(a.waiting, g.From)
	if len(a.waiting) > 0 && m.guards.allPromise {
		return nil
	}
	a.runsByPromise = true
	return m.run(g.Attempt)
}

func (m *Machine) handleDeny(g Message) []Action {
	a := m.attempts[g.Attempt]
	if a == nil || a.phase != phaseAsking {
		return nil
	}
	return m.abort(g.Attempt, g.Reason)
}

// leaveTable lists what the other members need once this node is no longer in their views: its marks, and
// the claims that it made itself, which may be ahead of what they have read.
func (m *Machine) leaveTable() []Entry {
	r := m.table()
	for k, h := range m.claims {
		if h.own {
			r = append(r, Entry{Key: k, Attempt: h.attempt, Revision: h.revision})
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Key < r[j].Key })
	return r
}

// table lists the marks. A joiner needs no claims: it reads them from the platform, and the member that
// made a claim that the joiner has not read yet is still in its view.
func (m *Machine) table() []Entry {
	var r []Entry
	for _, k := range m.markedKeys() {
		for _, id := range m.marks[k] {
			r = append(r, Entry{Key: k, Attempt: id})
		}
	}
	return r
}

func (m *Machine) sendTable(g Message) []Action {
	// A node that has not joined yet has no complete table; the joiner asks again.
	if !m.joined || m.stopped || m.retired[g.From] {
		return nil
	}
	hall := ""
	if len(g.View) == 1 {
		hall = g.View[0] // the view of a MessageSync is the joiner's hall
	}
	if _, ok := m.view[g.From]; !ok {
		m.addMember(g.From, hall)
	}
	return []Action{m.send(Message{Kind: MessageTable, To: g.From, Table: m.table()})}
}

func (m *Machine) receiveTable(g Message) []Action {
	r := m.mergeTable(g.Table)
	if m.pending[g.From] {
		delete(m.pending, g.From)
		m.checkSynced()
	}
	return r
}

func (m *Machine) mergeTable(list []Entry) []Action {
	var r []Action
	for _, e := range list {
		r = append(r, m.mergeEntry(e)...)
	}
	return r
}
