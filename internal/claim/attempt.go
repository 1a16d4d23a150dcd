package claim

// This file handles the states of one attempt at a key: started, written or promised, running or aborted.

// StartAttempt starts an attempt at a key. promises says whether it may run on the promises of other
// members while the platform is unavailable.
func (m *Machine) StartAttempt(key uint64, id string, promises bool) []Action {
	reject := func(r Reason) []Action {
		return []Action{{Kind: ActionReject, Key: key, Attempt: id, Reason: r}}
	}
	if m.stopped {
		return reject(ReasonStopped)
	}
	if !m.synced && m.guards.syncedFirst {
		return reject(ReasonUnsynced)
	}
	if _, ok := m.Known(key); ok {
		return reject(ReasonKnown)
	}
	a := &attempt{key: key, allowPromises: promises}
	m.attempts[id] = a
	if m.guards.markFirst {
		m.mark(key, id)
	}
	if m.platformUp {
		a.phase, a.writeIssued = phaseWriting, true
		return []Action{{Kind: ActionWrite, Key: key, Attempt: id}}
	}
	return m.requestPromises(id)
}

// HandleWriteResult takes the result of the write that ActionWrite asked for. revision is that of the
// write if it was granted.
func (m *Machine) HandleWriteResult(id string, w WriteResult, revision int64) []Action {
	a := m.attempts[id]
	if a == nil || a.phase != phaseWriting {
		return nil
	}
	switch w {
	case WriteGranted:
		if h := m.claims[a.key]; revision > h.revision {
			m.claims[a.key] = storedClaim{attempt: id, revision: revision, own: true}
		}
		m.unmark(a.key, id)
		return m.run(id)
	case WriteRejected:
		a.writeIssued = false
		// Another attempt holds the key; the watch tells which one, and for how long.
		return m.abort(id, ReasonKnown)
	}
	return m.requestPromises(id)
}

func (m *Machine) run(id string) []Action {
	a := m.attempts[id]
	a.phase = phaseRunning
	return []Action{{Kind: ActionRun, Key: a.key, Attempt: id}}
}

// requestPromises continues an attempt by asking the other members for promises, if the call allows that.
func (m *Machine) requestPromises(id string) []Action {
	a := m.attempts[id]
	if !a.allowPromises {
		return m.abort(id, ReasonPlatformDown)
	}
	// An isolated node never runs an attempt: if the VM list wrongly drops the node, no other member can
	// tell a joiner of the run.
	if len(m.view) < 2 && m.guards.notIsolated {
		return m.abort(id, ReasonIsolated)
	}
	if len(m.halls) > 1 && !m.viewSpansHalls() {
		return m.abort(id, ReasonIsolated)
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
		a.runsByPromise = true
		return m.run(id)
	}
	return r
}

func (m *Machine) viewSpansHalls() bool {
	own := m.view[m.id]
	for _, h := range m.view {
		if h != own {
			return true
		}
	}
	return false
}

// abort ends an attempt that has not run. It never runs afterwards.
func (m *Machine) abort(id string, why Reason) []Action {
	a := m.attempts[id]
	a.phase = phaseAborted
	m.unmark(a.key, id)
	r := []Action{{Kind: ActionReject, Key: a.key, Attempt: id, Reason: why}}
	if a.writeIssued {
		// The claim may be stored already, or be stored later. The caller is told that the call has not
		// run and will retry it, and the claim of its aborted attempt must not block the retry.
		r = append(r, Action{Kind: ActionErase, Key: a.key, Attempt: id})
	}
	for _, p := range a.asked {
		r = append(r, m.send(Message{Kind: MessageRelease, To: p, Key: a.key, Attempt: id}))
	}
	return r
}

// Abandon ends an attempt that has waited too long for its permission.
func (m *Machine) Abandon(id string) []Action {
	a := m.attempts[id]
	if a == nil || a.phase == phaseRunning || a.phase == phaseAborted {
		return nil
	}
	return m.abort(id, ReasonTimeout)
}

// Cancel ends an attempt whose owner stops waiting. Unlike Abandon it also returns a permission that was
// granted in the meantime, since it will not be used.
func (m *Machine) Cancel(id string) []Action {
	if a := m.attempts[id]; a != nil && a.phase == phaseRunning {
		return m.Finish(id, false)
	}
	return m.Abandon(id)
}

// Finish ends an attempt that was allowed to run. If the call ran, or may have run, its key stays known.
// If it certainly did not run and never will, the key is free again.
func (m *Machine) Finish(id string, ran bool) []Action {
	a := m.attempts[id]
	if a == nil || a.phase != phaseRunning {
		return nil
	}
	if ran {
		if !a.runsByPromise {
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
