package standin

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/store"
)

// This file is the cloud's side of the platform: VM list, notices, starts.

func (p *Platform) listLocked() []store.VM {
	r := make([]store.VM, 0, len(p.vms))
	for _, v := range p.vms {
		r = append(r, v)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].ID < r[j].ID })
	return r
}

// Register puts a VM in the list.
func (p *Platform) Register(v store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.State == "" {
		v.State = store.VMLive
	}
	p.vms[v.ID] = v
	p.recordLocked()
}

// Remove takes a VM off the list.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, id)
	p.recordLocked()
}

// Notice announces that a VM will be reclaimed.
func (p *Platform) Notice(id string, within time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices = append(p.notices, store.Notice{Sequence: int64(len(p.notices) + 1), VM: id, Within: within})
	if v, ok := p.vms[id]; ok {
		v.State = store.VMLeaving
		p.vms[id] = v
	}
	p.recordLocked()
}

// SetLag makes the VM list show what was true that long ago.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

func (p *Platform) recordLocked() {
	p.listed = append(p.listed, listing{p.clock.Now(), p.listLocked()})
}

func (p *Platform) handleVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.counts["vm_lists"]++
	at := p.clock.Now().Add(-p.lag)
	r := []store.VM{}
	for _, l := range p.listed {
		if !l.at.After(at) {
			r = l.vms
		}
	}
	p.mu.Unlock()
	reply(w, r)
}

func (p *Platform) handleNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	p.mu.Lock()
	p.counts["notices"]++
	list := []store.Notice{}
	if after < len(p.notices) {
		list = append(list, p.notices[after:]...)
	}
	p.mu.Unlock()
	reply(w, list)
}

func (p *Platform) handleStart(w http.ResponseWriter, r *http.Request) {
	var o store.StartOrder
	if !decode(w, r, &o) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse[o.Zone] || o.Fence < p.fences[o.Hall] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.fences[o.Hall] = o.Fence
	if !p.orders[o.ID] {
		p.orders[o.ID] = true
		p.counts["starts"]++
		p.ordered = append(p.ordered, o)
	}
	w.WriteHeader(http.StatusAccepted)
}

// SetOffers sets what the cloud may start, and the zones that refuse.
func (p *Platform) SetOffers(refuse map[string]bool, list ...store.Offer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offers, p.refuse = list, refuse
}

// Ordered returns the start orders that were taken.
func (p *Platform) Ordered() []store.StartOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]store.StartOrder(nil), p.ordered...)
}

func (p *Platform) handleOffers(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, append([]store.Offer{}, p.offers...))
}

func (p *Platform) handleStop(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	fence, _ := strconv.ParseInt(r.URL.Query().Get("fence"), 10, 64)
	p.mu.Lock()
	hall := p.vms[id].Hall
	stale := fence < p.fences[hall]
	p.mu.Unlock()
	if stale {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.Notice(id, 0)
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	var v store.VM
	if !decode(w, r, &v) {
		return
	}
	if strings.HasPrefix(v.ID, "-") {
		p.Remove(v.ID[1:])
	} else {
		p.Register(v)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleNotice(w http.ResponseWriter, r *http.Request) {
	var n store.Notice
	if !decode(w, r, &n) {
		return
	}
	p.Notice(n.VM, n.Within)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleLag(w http.ResponseWriter, r *http.Request) {
	var v struct {
		Lag   time.Duration   `json:"lag_ns"`
		Zones map[string]bool `json:"refuse_zones"`
	}
	if !decode(w, r, &v) {
		return
	}
	p.SetLag(v.Lag)
	p.mu.Lock()
	for z, b := range v.Zones {
		p.refuse[z] = b
	}
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Counts returns how many calls of each kind were served.
func (p *Platform) Counts() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := make(map[string]int64, len(p.counts))
	for k, n := range p.counts {
		r[k] = n
	}
	return r
}
