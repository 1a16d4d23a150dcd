package claim

// This file is the life of one attempt at a key: begun, written or promised, run or dead.

// Begin tries a key. promises says whether it may run while the platform is out.
func (m *Machine) Begin(key uint64, id string, promises bool) []Action {
	refuse := func(r Reason) []Action {
		return []Action{{Kind: ActionRefuse, Key: key, Attempt: id, Reason: r}}
	}
	if m.stopped {
		return refuse(ReasonStopped)
	}
	if !m.synced && m.guards.syncedFirst {
		return refuse(ReasonUnsynced)
	}
	if _, ok := m.Known(key); ok {
		return refuse(ReasonKnown)
	}
	a := &attempt{key: key, promises: promises}
	m.attempts[id] = a
	if m.guards.markFirst {
		m.mark(key, id)
	}
	if m.up {
		a.phase, a.written = phaseWriting, true
		return []Action{{Kind: ActionWrite, Key: key, Attempt: id}}
	}
	return m.ask(id)
}

// Wrote says how the write that ActionWrite asked for has ended.
// revision is that of the write, if it was granted.
func (m *Machine) Wrote(id string, w WriteResult, revision int64) []Action {
	a := m.attempts[id]
	if a == nil || a.phase != phaseWriting {
		return nil
	}
	switch w {
	case WriteGranted:
		if h := m.claims[a.key]; revision > h.revision {
			m.claims[a.key] = held{attempt: id, revision: revision, own: true}
		}
		m.unmark(a.key, id)
		return m.run(id)
	case WriteRefused:
		a.written = false
		// Somebody holds the key; the watch tells who, and for how long.
		return m.kill(id, ReasonKnown)
	}
	return m.ask(id)
}

func (m *Machine) run(id string) []Action {
	a := m.attempts[id]
	a.phase = phaseRunning
	return []Action{{Kind: ActionRun, Key: a.key, Attempt: id}}
}

// ask goes on by promises, if the call allows it.
func (m *Machine) ask(id string) []Action {
	a := m.attempts[id]
	if !a.promises {
		return m.kill(id, ReasonPlatform)
	}
	// A node alone in its view never runs: if the VM list wrongly drops it, a
	// joiner could not learn of the run from anybody.
	if len(m.view) < 2 && m.guards.notAlone {
		return m.kill(id, ReasonHalls)
	}
	if len(m.halls) > 1 && !m.twoHalls() {
		return m.kill(id, ReasonHalls)
	}
	a.phase = phaseAsking
	a.waiting = make(map[string]bool)
	view := m.View()
	var r []Action
	for _, peer := range view {
		if peer == m.id {
			continue
		}
		a.waiting[peer] = true
		a.asked = append(a.asked, peer)
		r = append(r, m.send(Message{Kind: MessageAsk, To: peer, Key: a.key, Attempt: id, View: view}))
	}
	if len(a.waiting) == 0 {
		a.promised = true
		return m.run(id)
	}
	return r
}

func (m *Machine) twoHalls() bool {
	own := m.view[m.id]
	for _, h := range m.view {
		if h != own {
			return true
		}
	}
	return false
}

// kill ends a try that hasn't run. It never runs afterwards.
func (m *Machine) kill(id string, why Reason) []Action {
	a := m.attempts[id]
	a.phase = phaseDead
	m.unmark(a.key, id)
	r := []Action{{Kind: ActionRefuse, Key: a.key, Attempt: id, Reason: why}}
	if a.written {
		// The claim may be there, or come yet: the caller is told not-run and will try
		// again, and must not find its own dead attempt in the way.
		r = append(r, Action{Kind: ActionErase, Key: a.key, Attempt: id})
	}
	for _, p := range a.asked {
		r = append(r, m.send(Message{Kind: MessageRelease, To: p, Key: a.key, Attempt: id}))
	}
	return r
}

// Abandon gives up a try that has waited too long.
func (m *Machine) Abandon(id string) []Action {
	a := m.attempts[id]
	if a == nil || a.phase == phaseRunning || a.phase == phaseDead {
		return nil
	}
	return m.kill(id, ReasonSilent)
}

// GiveUp is Abandon for an owner that stops waiting: an attempt that got its permission
// meanwhile gives it back, since nobody will use it.
func (m *Machine) GiveUp(id string) []Action {
	if a := m.attempts[id]; a != nil && a.phase == phaseRunning {
		return m.Finish(id, false)
	}
	return m.Abandon(id)
}

// Finish ends an attempt that was allowed to run. If it ran, or may have, its key
// stays known. If it certainly didn't and never will, the key is free again.
func (m *Machine) Finish(id string, ran bool) []Action {
	a := m.attempts[id]
	if a == nil || a.phase != phaseRunning {
		return nil
	}
	if ran {
		if !a.promised {
			delete(m.attempts, id)
		}
		return nil
	}
	delete(m.attempts, id)
	m.unmark(a.key, id)
	r := []Action{{Kind: ActionErase, Key: a.key, Attempt: id}}
	for _, p := range a.asked {
		r = append(r, m.send(Message{Kind: MessageRelease, To: p, Key: a.key, Attempt: id}))
	}
	return r
}
