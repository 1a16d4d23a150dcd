package node

import (
	"context"
	"fmt"
	"time"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/store"
)

// This file observes: the VM list and the notices, by two nodes of each hall, and
// the loads of the hall's upstreams, each by one node. The rest learn from their
// peers, so that what the platform and the upstreams are asked doesn't grow with
// the number of nodes.

const (
	vmListInterval  = 2 * time.Second
	noticeInterval = 500 * time.Millisecond
	minLoadInterval   = time.Second
	observersPerHall    = 2
	callTimeout  = time.Second
)

func (n *Node) pollVMs(ctx context.Context) {
	n.readVMs(ctx)
	n.clock.Every(ctx, vmListInterval, func(time.Time) {
		if n.hasDuty("vms", observersPerHall) {
			n.readVMs(ctx)
		}
	})
}

func (n *Node) readVMs(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := n.o.Cloud.VMs(x)
	if err != nil {
		return
	}
	facts := make([]member.Fact, 0, len(list))
	present := make(map[string]bool, len(list))
	for i := range list {
		present[list[i].ID] = true
		switch {
		case list[i].Role == store.RoleUpstream:
			facts = append(facts, n.vmFact(&list[i]))
		case list[i].State == store.VMLeaving && list[i].ID == n.o.VM:
			go n.LeaveWithin(defaultNotice)
		case list[i].State == store.VMLeaving:
			n.markLeaving(list[i].ID, defaultNotice)
		}
	}
	n.table.Observe(n.clock.Now(), facts...)
	n.trackMissing(ctx, present)
}

// vmFact turns a list entry into a fact. The list says nothing of load, so what is
// known of it stands.
func (n *Node) vmFact(v *store.VM) member.Fact {
	f := member.Fact{
		ID: v.ID, Kind: member.KindUpstream, Incarnation: v.Incarnation, Status: member.StatusLive,
		Hall: v.Hall, Zone: v.Zone, Address: v.Address, Service: v.Service, Class: v.Class,
		Reclaimable: v.Reclaimable, Price: v.Price, Slots: int32(v.Slots),
	}
	if v.State == store.VMLeaving {
		f.Status = member.StatusLeaving
	}
	return f
}

// noteGone marks upstreams that were listed and no longer are, and retires members
// whose VM is gone. A VM has to be missing from two lists in a row, and not to answer
// at its address: a list that jumps back in time shows none of the VMs that came since,
// and gone is for good.
func (n *Node) trackMissing(ctx context.Context, present map[string]bool) {
	n.mu.Lock()
	var gone []string
	for id, missing := range n.missingFromList {
		switch {
		case present[id]:
		case missing:
			gone = append(gone, id)
			delete(n.missingFromList, id)
		default:
			n.missingFromList[id] = true
		}
	}
	for id := range present {
		n.missingFromList[id] = false
	}
	n.mu.Unlock()
	for _, id := range gone {
		go n.confirmGone(ctx, id)
	}
}

func (n *Node) confirmGone(ctx context.Context, id string) {
	f, ok := n.table.Get(id)
	if ok && n.client.Reachable(ctx, f.Address) {
		n.mu.Lock()
		n.missingFromList[id] = true // it is looked at again with the next list
		n.mu.Unlock()
		return
	}
	n.table.Mark(n.clock.Now(), id, member.StatusGone, time.Time{})
	for _, m := range n.claims.View() {
		if m.VM != id || m.ID == n.id || n.client.Reachable(ctx, m.Address) {
			continue
		}
		n.log.Add("member_retired", "", m.ID+": its VM is gone from the list and doesn't answer")
		_ = n.claims.Retire(ctx, m.ID)
	}
}

func (n *Node) pollNotices(ctx context.Context) {
	n.clock.Every(ctx, noticeInterval, func(time.Time) {
		if n.hasDuty("notices", observersPerHall) {
			n.readNotices(ctx)
		}
	})
}

func (n *Node) readNotices(ctx context.Context) {
	n.mu.Lock()
	after := n.lastNotice
	n.mu.Unlock()
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := n.o.Cloud.Notices(x, after)
	if err != nil {
		return
	}
	for _, v := range list {
		n.mu.Lock()
		n.lastNotice = max(n.lastNotice, v.Sequence)
		n.mu.Unlock()
		n.applyNotice(v)
	}
}

// defaultNotice is taken when a VM is known to leave and nobody said when.
const defaultNotice = 2 * time.Second

func (n *Node) applyNotice(v store.Notice) {
	if v.VM == n.o.VM {
		n.log.Add("notice", "", fmt.Sprintf("this VM goes within %v", v.Within))
		go n.LeaveWithin(v.Within)
		return
	}
	if n.markLeaving(v.VM, v.Within) {
		n.log.Add("notice", "", fmt.Sprintf("%s goes within %v", v.VM, v.Within))
	}
}

// markLeaving marks an upstream, or the node on an entry VM, which learns of it from the
// next peer that it exchanges facts with: only two nodes of a hall read the notices.
func (n *Node) markLeaving(vm string, within time.Duration) bool {
	now := n.clock.Now()
	if n.table.Mark(now, vm, member.StatusLeaving, now.Add(within)) {
		return true
	}
	for _, f := range n.liveNodes() {
		if vmOf(f.ID) == vm && f.ID != n.id {
			return n.table.Mark(now, f.ID, member.StatusLeaving, now.Add(within))
		}
	}
	return false
}

// toldToLeave acts on a peer's word that this very node is leaving. Without a time it is
// this node's own word that comes back.
func (n *Node) applyLeavingReport(f *member.Fact) {
	if f.Status != member.StatusLeaving || f.LeavesAt == 0 {
		return
	}
	within := n.noticeRemaining(f)
	n.log.Add("notice", "", fmt.Sprintf("a peer says that this VM goes within %v", within))
	go n.LeaveWithin(within)
}

func (n *Node) noticeRemaining(f *member.Fact) time.Duration {
	if f.LeavesAt == 0 {
		return defaultNotice
	}
	return max(time.UnixMilli(f.LeavesAt).Sub(n.clock.Now()), time.Millisecond)
}

func (n *Node) pollLoads(ctx context.Context) {
	for n.clock.Sleep(ctx, n.currentIntervals().loadInterval) == nil {
		n.queryLoads(ctx)
	}
}

// askLoads asks the upstreams that this node reports for. Only model engines have a
// load to report; a plain service must get no call that a caller didn't make.
func (n *Node) queryLoads(ctx context.Context) {
	pools := n.view.PoolProtocols()
	list := n.table.Select(func(f *member.Fact) bool {
		return f.Kind == member.KindUpstream && f.Status == member.StatusLive && f.Hall == n.o.Hall &&
			pools[f.Service] == config.ProtocolChat
	})
	for _, f := range list {
		if n.reportsLoadOf(f.ID) {
			go n.readLoad(ctx, f.Fact)
		}
	}
}

// reports tells whether this node is the one of its hall that asks the upstream.
func (n *Node) reportsLoadOf(id string) bool {
	var ids []string
	for _, f := range n.liveNodes() {
		if f.Hall == n.o.Hall {
			ids = append(ids, f.ID)
		}
	}
	r := route.Rank(id, ids)
	return len(r) == 0 || r[0] == n.id
}

func (n *Node) readLoad(ctx context.Context, f member.Fact) {
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := n.client.Load(x, f.Address)
	if err != nil {
		return
	}
	if l.Leaving {
		n.table.Mark(n.clock.Now(), f.ID, member.StatusLeaving, time.Time{})
		return
	}
	if l.Running == f.Running && l.Queued == f.Queued && f.Sequence > 0 {
		return // nothing new, and nothing to spread
	}
	f.Running, f.Queued = l.Running, l.Queued
	f.Sequence++
	n.table.Observe(n.clock.Now(), f)
}
