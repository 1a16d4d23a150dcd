package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// Platform is the key-value service over etcd's v3 JSON gateway, the VM list and
// the cloud API, in memory.
type Platform struct {
	mu       sync.Mutex
	clock    *timer.Service
	faults   *faults
	revision int64
	pairs    map[string]store.Pair
	log      []change // every event since the start, for watches
	leases   map[int64]*lease
	nextID   int64
	wake     chan struct{}
	counts   map[string]int64
	vms      map[string]store.VM
	listed   []listing // what the VM list showed, and when
	notices  []store.Notice
	lag      time.Duration
	orders   map[string]bool
	refuse   map[string]bool // zones that refuse starts
	fences   map[string]int64
	offers   []store.Offer
	ordered  []store.StartOrder
}

type change struct {
	revision int64
	event    store.Event
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type listing struct {
	at  time.Time
	vms []store.VM
}

// NewPlatform returns an empty platform.
func NewPlatform(clock *timer.Service) *Platform {
	return &Platform{
		clock: clock, faults: newFaults(clock), revision: 1,
		pairs: make(map[string]store.Pair), leases: make(map[int64]*lease),
		wake: make(chan struct{}), counts: make(map[string]int64),
		vms: make(map[string]store.VM), orders: make(map[string]bool), refuse: make(map[string]bool),
		fences: make(map[string]int64),
	}
}

// Fault puts a fault in force.
func (p *Platform) Fault(f Fault) { p.faults.set(f) }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", p.handleRange)
	m.HandleFunc("POST /v3/kv/txn", p.handleTxn)
	m.HandleFunc("POST /v3/lease/grant", p.handleGrant)
	m.HandleFunc("POST /v3/lease/keepalive", p.handleKeepAlive)
	m.HandleFunc("POST /v3/lease/revoke", p.handleRevoke)
	m.HandleFunc("POST /v3/watch", p.handleWatch)
	m.HandleFunc("GET /cloud/v1/vms", p.handleVMs)
	m.HandleFunc("POST /cloud/v1/vms", p.handleStart)
	m.HandleFunc("DELETE /cloud/v1/vms/{id}", p.handleStop)
	m.HandleFunc("GET /cloud/v1/notices", p.handleNotices)
	m.HandleFunc("GET /cloud/v1/offers", p.handleOffers)
	m.HandleFunc("POST /standin/vms", p.handleRegister)
	m.HandleFunc("POST /standin/notice", p.handleNotice)
	m.HandleFunc("POST /standin/lag", p.handleLag)
	m.HandleFunc("GET /standin/counts", p.handleCounts)
	return p.faults.wrap(m)
}

type kvHeader struct {
	Revision string `json:"revision"`
}

type kvPair struct {
	Key      []byte `json:"key"`
	Value    []byte `json:"value"`
	Created  string `json:"create_revision"`
	Modified string `json:"mod_revision"`
	Version  string `json:"version"`
	Lease    string `json:"lease"`
}

type kvRange struct {
	Header kvHeader `json:"header"`
	KVs    []kvPair `json:"kvs,omitempty"`
	Count  string   `json:"count"`
}

type keyRange struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end"`
}

func number(n int64) string { return strconv.FormatInt(n, 10) }

func jsonPair(v store.Pair) kvPair {
	return kvPair{
		Key: []byte(v.Key), Value: v.Value, Created: number(v.Created),
		Modified: number(v.Modified), Version: number(v.Version), Lease: number(v.Lease),
	}
}

func (r keyRange) holds(k string) bool {
	if len(r.End) == 0 {
		return k == string(r.Key)
	}
	return k >= string(r.Key) && (string(r.End) == "\x00" || k < string(r.End))
}

func (p *Platform) rangeLocked(r keyRange) kvRange {
	v := kvRange{Header: kvHeader{number(p.revision)}}
	for k, pair := range p.pairs {
		if r.holds(k) {
			v.KVs = append(v.KVs, jsonPair(pair))
		}
	}
	sort.Slice(v.KVs, func(i, j int) bool { return string(v.KVs[i].Key) < string(v.KVs[j].Key) })
	v.Count = number(int64(len(v.KVs)))
	return v
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (p *Platform) handleRange(w http.ResponseWriter, r *http.Request) {
	var in keyRange
	if !decode(w, r, &in) {
		return
	}
	p.mu.Lock()
	p.counts["reads"]++
	p.expireLocked()
	v := p.rangeLocked(in)
	p.mu.Unlock()
	reply(w, v)
}

type txnCompare struct {
	Key      []byte `json:"key"`
	Target   string `json:"target"`
	Version  string `json:"version"`
	Created  string `json:"create_revision"`
	Modified string `json:"mod_revision"`
}

type txnOp struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease string `json:"lease"`
	} `json:"request_put"`
	Delete *keyRange `json:"request_delete_range"`
	Range  *keyRange `json:"request_range"`
}

type txnRequest struct {
	Compare []txnCompare `json:"compare"`
	Success []txnOp      `json:"success"`
	Failure []txnOp      `json:"failure"`
}

func (c *txnCompare) holds(v store.Pair) bool {
	switch c.Target {
	case "CREATE":
		return number(v.Created) == c.Created
	case "MOD":
		return number(v.Modified) == c.Modified
	}
	return number(v.Version) == c.Version
}

func (p *Platform) handleTxn(w http.ResponseWriter, r *http.Request) {
	var in txnRequest
	if !decode(w, r, &in) {
		return
	}
	p.mu.Lock()
	p.counts["writes"]++
	p.expireLocked()
	ok := true
	for i := range in.Compare {
		ok = ok && in.Compare[i].holds(p.pairs[string(in.Compare[i].Key)])
	}
	list := in.Success
	if !ok {
		list = in.Failure
	}
	responses := p.applyLocked(list)
	out := map[string]any{"header": kvHeader{number(p.revision)}, "succeeded": ok, "responses": responses}
	p.mu.Unlock()
	reply(w, out)
}

func (p *Platform) applyLocked(list []txnOp) []map[string]any {
	revision := p.revision + 1
	changed := false
	var out []map[string]any
	for _, o := range list {
		switch {
		case o.Put != nil:
			id, _ := strconv.ParseInt(o.Put.Lease, 10, 64)
			p.putLocked(revision, string(o.Put.Key), o.Put.Value, id)
			changed = true
			out = append(out, map[string]any{"response_put": struct{}{}})
		case o.Delete != nil:
			changed = p.deleteLocked(revision, *o.Delete) || changed
			out = append(out, map[string]any{"response_delete_range": struct{}{}})
		case o.Range != nil:
			out = append(out, map[string]any{"response_range": p.rangeLocked(*o.Range)})
		}
	}
	if changed {
		p.revision = revision
		p.wakeLocked()
	}
	return out
}

func (p *Platform) putLocked(revision int64, k string, value []byte, lease int64) {
	v, ok := p.pairs[k]
	if !ok {
		v = store.Pair{Key: k, Created: revision}
	}
	v.Value, v.Modified, v.Lease = value, revision, lease
	v.Version++
	p.pairs[k] = v
	p.log = append(p.log, change{revision, store.Event{Pair: v}})
}

func (p *Platform) deleteLocked(revision int64, r keyRange) bool {
	any := false
	for k := range p.pairs {
		if r.holds(k) {
			delete(p.pairs, k)
			p.log = append(p.log, change{revision, store.Event{Deleted: true, Pair: store.Pair{Key: k, Modified: revision}}})
			any = true
		}
	}
	return any
}

func (p *Platform) wakeLocked() {
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *Platform) expireLocked() {
	now := p.clock.Now()
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.dropLeaseLocked(id)
		}
	}
}

func (p *Platform) dropLeaseLocked(id int64) {
	delete(p.leases, id)
	any := false
	for k, v := range p.pairs {
		if v.Lease == id {
			any = p.deleteLocked(p.revision+1, keyRange{Key: []byte(k)}) || any
		}
	}
	if any {
		p.revision++
		p.wakeLocked()
	}
}

func (p *Platform) handleGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"TTL"`
	}
	if !decode(w, r, &in) {
		return
	}
	s, _ := strconv.ParseInt(in.TTL, 10, 64)
	p.mu.Lock()
	p.counts["writes"]++
	p.nextID++
	id := p.nextID
	d := time.Duration(s) * time.Second
	p.leases[id] = &lease{ttl: d, expires: p.clock.Now().Add(d)}
	p.mu.Unlock()
	reply(w, map[string]any{"ID": number(id), "TTL": in.TTL})
}

type leaseID struct {
	ID string `json:"ID"`
}

func (p *Platform) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in leaseID
	if !decode(w, r, &in) {
		return
	}
	id, _ := strconv.ParseInt(in.ID, 10, 64)
	p.mu.Lock()
	p.counts["keepalives"]++
	p.expireLocked()
	ttl := int64(0)
	if l := p.leases[id]; l != nil {
		l.expires = p.clock.Now().Add(l.ttl)
		ttl = int64(l.ttl / time.Second)
	}
	p.mu.Unlock()
	reply(w, map[string]any{"result": map[string]any{"ID": in.ID, "TTL": number(ttl)}})
}

func (p *Platform) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var in leaseID
	if !decode(w, r, &in) {
		return
	}
	id, _ := strconv.ParseInt(in.ID, 10, 64)
	p.mu.Lock()
	p.counts["writes"]++
	p.dropLeaseLocked(id)
	p.mu.Unlock()
	reply(w, struct{}{})
}

// progressEvery is how often an idle watch shows a sign of life.
const progressEvery = time.Second

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Create struct {
			keyRange
			Start string `json:"start_revision"`
		} `json:"create_request"`
	}
	if !decode(w, r, &in) {
		return
	}
	from, _ := strconv.ParseInt(in.Create.Start, 10, 64)
	p.mu.Lock()
	p.counts["watches"]++
	position := sort.Search(len(p.log), func(i int) bool { return p.log[i].revision >= from })
	p.mu.Unlock()
	f, _ := w.(http.Flusher)
	_, _ = fmt.Fprintf(w, `{"result":{"header":{"revision":"%d"},"created":true}}`+"\n", from-1)
	for {
		if v, c := p.faults.take(r.URL.Path); v.Mode == FaultFreeze {
			select {
			case <-c:
			case <-r.Context().Done():
				return
			}
		} else if v.Mode == FaultRefuse || v.Mode == FaultCut {
			return
		}
		p.mu.Lock()
		p.expireLocked()
		events, next, wake := p.eventsLocked(in.Create.keyRange, position)
		revision := p.revision
		p.mu.Unlock()
		position = next
		reply(w, map[string]any{"result": map[string]any{"header": kvHeader{number(revision)}, "events": events}})
		f.Flush()
		c, stop := p.clock.After(progressEvery)
		select {
		case <-wake:
		case <-c:
		case <-r.Context().Done():
			stop()
			return
		}
		stop()
	}
}

func (p *Platform) eventsLocked(r keyRange, from int) (events []map[string]any, next int, wake chan struct{}) {
	for _, c := range p.log[from:] {
		if !r.holds(c.event.Pair.Key) {
			continue
		}
		t := "PUT"
		if c.event.Deleted {
			t = "DELETE"
		}
		events = append(events, map[string]any{"type": t, "kv": jsonPair(c.event.Pair)})
	}
	return events, len(p.log), p.wake
}

func (p *Platform) handleCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.Counts())
}

// The cloud: VM list, notices, starts.

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
