package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// Platform is the key-value service over etcd's v3 JSON gateway, the VM list and
// the cloud API, in memory.
type Platform struct {
	mu      sync.Mutex
	clock   *timer.Service
	faults  *Faults
	keys    *Keys
	counts  map[string]int64
	vms     map[string]store.VM
	listed  []listing // what the VM list showed, and when
	notices []store.Notice
	lag     time.Duration
	orders  map[string]bool
	refuse  map[string]bool // zones that refuse starts
	fences  map[string]int64
	offers  []store.Offer
	ordered []store.StartOrder
}

type listing struct {
	at  time.Time
	vms []store.VM
}

// NewPlatform returns an empty platform.
func NewPlatform(clock *timer.Service) *Platform {
	return &Platform{
		clock: clock, faults: NewFaults(clock), keys: NewKeys(clock), counts: make(map[string]int64),
		vms: make(map[string]store.VM), orders: make(map[string]bool), refuse: make(map[string]bool), fences: make(map[string]int64),
	}
}

func (p *Platform) count(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[kind]++
}

// Fault puts a fault in force.
func (p *Platform) Fault(f Fault) { p.faults.Set(f) }

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
	return p.faults.Wrap(m)
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

func jsonRange(r store.RangeResult) kvRange {
	v := kvRange{Header: kvHeader{number(r.Revision)}, Count: number(int64(len(r.Pairs)))}
	for _, p := range r.Pairs {
		v.KVs = append(v.KVs, jsonPair(p))
	}
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
	p.count("reads")
	reply(w, jsonRange(p.keys.Range(string(in.Key), string(in.End))))
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

func (c *txnCompare) compare() store.Compare {
	t, n := store.CompareVersion, c.Version
	switch c.Target {
	case "CREATE":
		t, n = store.CompareCreated, c.Created
	case "MOD":
		t, n = store.CompareModified, c.Modified
	}
	v, _ := strconv.ParseInt(n, 10, 64) // absent means 0, as in the protocol
	return store.Compare{Key: string(c.Key), Target: t, Number: v}
}

func ops(list []txnOp) []store.Op {
	var r []store.Op
	for _, o := range list {
		switch {
		case o.Put != nil:
			id, _ := strconv.ParseInt(o.Put.Lease, 10, 64) // absent means 0, as in the protocol
			r = append(r, store.Op{Kind: store.OpPut, Key: string(o.Put.Key), Value: o.Put.Value, Lease: id})
		case o.Delete != nil:
			r = append(r, store.Op{Kind: store.OpDelete, Key: string(o.Delete.Key)})
		case o.Range != nil:
			r = append(r, store.Op{Kind: store.OpRange, Key: string(o.Range.Key)})
		}
	}
	return r
}

func (p *Platform) handleTxn(w http.ResponseWriter, r *http.Request) {
	var in txnRequest
	if !decode(w, r, &in) {
		return
	}
	p.count("writes")
	t := store.Txn{Then: ops(in.Success), Else: ops(in.Failure)}
	for i := range in.Compare {
		t.If = append(t.If, in.Compare[i].compare())
	}
	a, err := p.keys.Txn(t)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	list := t.Then
	if !a.Succeeded {
		list = t.Else
	}
	reply(w, map[string]any{"header": kvHeader{number(a.Revision)}, "succeeded": a.Succeeded, "responses": responses(list, a.Reads)})
}

func responses(list []store.Op, reads []store.RangeResult) []map[string]any {
	var out []map[string]any
	for _, o := range list {
		switch o.Kind {
		case store.OpPut:
			out = append(out, map[string]any{"response_put": struct{}{}})
		case store.OpDelete:
			out = append(out, map[string]any{"response_delete_range": struct{}{}})
		case store.OpRange:
			out = append(out, map[string]any{"response_range": jsonRange(reads[0])})
			reads = reads[1:]
		}
	}
	return out
}

func (p *Platform) handleGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"TTL"`
	}
	if !decode(w, r, &in) {
		return
	}
	s, _ := strconv.ParseInt(in.TTL, 10, 64)
	p.count("writes")
	id := p.keys.Grant(time.Duration(s) * time.Second)
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
	p.count("keepalives")
	ttl := int64(p.keys.KeepAlive(id) / time.Second)
	reply(w, map[string]any{"result": map[string]any{"ID": in.ID, "TTL": number(ttl)}})
}

func (p *Platform) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var in leaseID
	if !decode(w, r, &in) {
		return
	}
	id, _ := strconv.ParseInt(in.ID, 10, 64)
	p.count("writes")
	p.keys.Revoke(id)
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
	p.count("watches")
	after := from - 1
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
		b, wake, err := p.keys.Events(string(in.Create.Key), string(in.Create.End), after)
		if err != nil {
			reply(w, map[string]any{"result": map[string]any{"canceled": true, "compact_revision": number(after + 1)}})
			return
		}
		after = b.Revision
		reply(w, map[string]any{"result": map[string]any{"header": kvHeader{number(b.Revision)}, "events": jsonEvents(b.Events)}})
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

func jsonEvents(list []store.Event) []map[string]any {
	var r []map[string]any
	for _, e := range list {
		t := "PUT"
		if e.Deleted {
			t = "DELETE"
		}
		r = append(r, map[string]any{"type": t, "kv": jsonPair(e.Pair)})
	}
	return r
}

func (p *Platform) handleCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.Counts())
}
