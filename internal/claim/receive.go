package claim

import "sort"

// This file is what the machine does with its peers' messages.

// Receive takes a message from a peer.
func (m *Machine) Receive(g Message) []Action {
	if g.To != m.id {
		return nil // meant for an earlier process on this address
	}
	switch g.Kind {
	case MessageAsk:
		return m.promise(g)
	case MessageGrant:
		return m.granted(g)
	case MessageDeny:
		return m.denied(g)
	case MessageRelease:
		m.unmark(g.Key, g.Attempt)
		m.remember(g.Attempt)
	case MessageSync:
		return m.giveTable(g)
	case MessageTable:
		return m.takeTable(g)
	case MessageLeave:
		r := m.learnAll(g.Table)
		m.drop(g.From)
		return r
	}
	return nil
}

func (m *Machine) promise(g Message) []Action {
	reply := Message{Kind: MessageGrant, To: g.From, Key: g.Key, Attempt: g.Attempt}
	if why := m.mayPromise(g); why != ReasonNone {
		reply.Kind, reply.Reason = MessageDeny, why
		return []Action{m.send(reply)}
	}
	m.mark(g.Key, g.Attempt)
	return []Action{m.send(reply)}
}

func (m *Machine) mayPromise(g Message) Reason {
	if m.stopped {
		return ReasonStopped
	}
	if !m.synced && m.guards.syncedFirst {
		return ReasonUnsynced
	}
	// Not needed for the proof either: a removed asker is refused early, and hears why.
	if _, ok := m.view[g.From]; !ok {
		return ReasonView
	}
	if m.guards.sameView && !m.knowsAll(g.View) {
		return ReasonView
	}
	if m.released[g.Attempt] {
		return ReasonSilent
	}
	if m.guards.peerKnows && m.knownOther(g.Key, g.Attempt) {
		return ReasonKnown
	}
	return ReasonNone
}

// releasedLimit bounds the memory of released attempts. An ask that is later than so
// many releases marks its key until the key's lifetime ends, which only refuses.
const releasedLimit = 4096

func (m *Machine) remember(id string) {
	if m.released[id] {
		return
	}
	m.released[id] = true
	if len(m.ring) < releasedLimit {
		m.ring = append(m.ring, id)
		return
	}
	delete(m.released, m.ring[m.at])
	m.ring[m.at] = id
	m.at = (m.at + 1) % releasedLimit
}

// knownOther tells whether an attempt other than id may run the key.
func (m *Machine) knownOther(key uint64, id string) bool {
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

// knowsAll tells whether an asker's view holds every member of this node's.
func (m *Machine) knowsAll(view []string) bool {
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

func (m *Machine) granted(g Message) []Action {
	a := m.attempts[g.Attempt]
	if a == nil || a.phase == phaseRunning {
		return nil
	}
	if a.phase != phaseAsking && m.guards.deadStays {
		return nil
	}
	delete(a.waiting, g.From)
	if len(a.waiting) > 0 && m.guards.askAll {
		return nil
	}
	a.promised = true
	return m.run(g.Attempt)
}

func (m *Machine) denied(g Message) []Action {
	a := m.attempts[g.Attempt]
	if a == nil || a.phase != phaseAsking {
		return nil
	}
	return m.kill(g.Attempt, g.Reason)
}

// leaving lists what the others have to know once this node is out of their
// views: its marks, and the claims that it made itself, which may be ahead of what
// they have read.
func (m *Machine) leaving() []Entry {
	r := m.table()
	for k, h := range m.claims {
		if h.own {
			r = append(r, Entry{Key: k, Attempt: h.attempt, Revision: h.revision})
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Key < r[j].Key })
	return r
}

// table lists the marks. A joiner needs no claims: it reads them from the
// platform, and whoever made one that it hasn't read yet is still in its view.
func (m *Machine) table() []Entry {
	var r []Entry
	for _, k := range m.keys() {
		for _, id := range m.marks[k] {
			r = append(r, Entry{Key: k, Attempt: id})
		}
	}
	return r
}

func (m *Machine) giveTable(g Message) []Action {
	// A node that hasn't joined itself has no table to give yet; it will be asked again.
	if !m.joined || m.stopped || m.retired[g.From] {
		return nil
	}
	hall := ""
	if len(g.View) == 1 {
		hall = g.View[0] // a joiner's Sync carries its hall
	}
	if _, ok := m.view[g.From]; !ok {
		m.addMember(g.From, hall)
	}
	return []Action{m.send(Message{Kind: MessageTable, To: g.From, Table: m.table()})}
}

func (m *Machine) takeTable(g Message) []Action {
	r := m.learnAll(g.Table)
	if m.pending[g.From] {
		delete(m.pending, g.From)
		m.checkSynced()
	}
	return r
}

func (m *Machine) learnAll(list []Entry) []Action {
	var r []Action
	for _, e := range list {
		r = append(r, m.learn(e)...)
	}
	return r
}
