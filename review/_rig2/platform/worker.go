package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker: of an engine if it streams, else of a plain service.
type worker struct {
	w                 *world
	id, service, zone string
	address           string
	slots             int
	streams           bool
	version           string        // of its software
	events            int           // of a stream
	eventTime         time.Duration // between two of them

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int
	answers  int  // complete ones
	surplus  bool // sends one answer in surplusEach too many
	extra    int  // that it has sent
	leaving  bool
	plain    room // of a plain service
	working  map[string]bool
}

// surplusEach is after how many answers one too many follows: 3 of 100, the largest share of the site files.
const surplusEach = 34

// down is how long a worker that has crashed is away.
const down = 2500 * time.Millisecond

func (w *world) addWorker(id, service, zone string, slots int, streams bool) *worker {
	return w.addVersion(id, service, zone, slots, streams, "v1", 17, 20*time.Millisecond)
}

func (w *world) addVersion(id, service, zone string, slots int, streams bool, version string, events int, eventTime time.Duration) *worker {
	k := &worker{w: w, id: id, service: service, zone: zone, slots: slots, streams: streams, version: version, events: events, eventTime: eventTime, address: net.JoinHostPort(w.ip(101+len(w.workers)), fmt.Sprint(portWorker)), conns: map[net.Conn]bool{}, working: map[string]bool{}}
	w.workers = append(w.workers, k)
	must(k.start())
	return k
}

// start begins a life of the worker, and lists it.
func (k *worker) start() error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener, k.born, k.sequence = l, time.Now().UnixMilli(), 0
	k.mu.Unlock()
	go k.accept(l)
	go k.beat(l)
	return nil
}

// beat writes the entry until the life ends.
func (k *worker) beat(l net.Listener) {
	for {
		k.mu.Lock()
		if k.listener != l || k.leaving {
			k.mu.Unlock()
			return
		}
		k.sequence++
		v := table{"service": k.service, "address": k.address, "zone": k.zone, "version": k.version, "slots": k.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": k.sequence, "born": k.born}
		if k.streams {
			v["stage"], v["models"] = "both", []table{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		k.mu.Unlock()
		b, _ := json.Marshal(v)
		_ = k.w.put("servers/"+k.id, b)
		time.Sleep(beat)
	}
}

func (k *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		if k.listener != l {
			k.mu.Unlock()
			_ = c.Close()
			return
		}
		k.conns[c] = true
		k.mu.Unlock()
		go k.serve(c)
	}
}

func (k *worker) life() net.Listener {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listener
}

// crash ends a life: the process is gone, its channels are reset and its address refuses new ones.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener == nil {
		return
	}
	_ = k.listener.Close()
	k.listener = nil
	for c := range k.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	k.conns, k.working = map[net.Conn]bool{}, map[string]bool{}
}

// crashUnder crashes under a request, and comes back after a while.
func (k *worker) crashUnder(id string) {
	k.mu.Lock()
	if k.listener == nil {
		k.mu.Unlock()
		return
	}
	lost := len(k.working) - 1
	k.mu.Unlock()
	crashed.Lock()
	crashed.list = append(crashed.list, time.Now())
	crashed.Unlock()
	k.w.note("worker %s crashes under %s, with %d other requests at work", k.id, id, lost)
	k.crash()
	time.AfterFunc(down, func() {
		if err := k.start(); err != nil {
			k.w.note("worker %s can't come back: %v", k.id, err)
			return
		}
		k.w.note("worker %s is back", k.id)
	})
}

// leave has the entry disappear, as of a worker that never declares draining, and serves on for a while before it ends.
func (k *worker) leave(servesOn time.Duration) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	must(k.w.write(http.MethodDelete, "servers/"+k.id, nil))
	k.w.note("the entry of worker %s (%s) disappears; it serves on for %v", k.id, k.version, servesOn)
	time.AfterFunc(servesOn, func() {
		k.w.note("worker %s (%s) ends", k.id, k.version)
		k.crash()
	})
}

func (k *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	late := false // an answer too many is due
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if late {
			k.w.note("worker %s sends an answer too many, late, on a kept channel", k.id)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nSpurhall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			late = false
		}
		if !k.handle(c, q) {
			return
		}
		late = k.oneTooMany(q)
	}
}

// oneTooMany reports whether an answer too many follows the last one.
func (k *worker) oneTooMany(q *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if q.Header.Get("Spurhall-Request-Id") == "" {
		return false
	}
	k.answers++
	if !k.surplus || k.answers%surplusEach != 0 {
		return false
	}
	k.extra++
	return true
}

// handle answers one request, and reports whether the channel is kept.
func (k *worker) handle(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("Spurhall-Request-Id")
	head := "Spurhall-Request-Id: " + id + "\r\nSpurhall-Response-Signature: " + k.id + "." + id + "\r\n"
	k.mu.Lock()
	if k.leaving {
		head += "Server-Leaving: 1\r\n"
	}
	k.mu.Unlock()
	text := func(status, more, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
		return err == nil
	}
	switch {
	case q.URL.Path == "/health":
		return text("200 OK", "Spurhall-Instance-Id: "+k.id+"\r\n", "")
	case q.URL.Path == "/-/report":
		return text("200 OK", "Content-Type: application/json\r\n", `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":264479,"handles":0}`)
	case q.URL.Path == "/-/kv-list":
		return text("200 OK", "Content-Type: application/json\r\n", `{"epoch":"1","next_token":0,"held":[]}`)
	case strings.HasPrefix(q.URL.Path, "/-/"):
		return text("404 Not Found", "", "")
	case id == "":
		return text("400 Bad Request", "Spurhall-Not-Executed: 1\r\n", "")
	case q.Header.Get("Spurhall-Expect-Instance") != "" && q.Header.Get("Spurhall-Expect-Instance") != k.id:
		return text("421 Misdirected Request", head+"Spurhall-Instance-Id: "+k.id+"\r\n", "")
	}
	k.w.note("worker %s of %s is reached by %s, tenant %s, after %q", k.id, k.service, id, q.Header.Get("Spurhall-Tenant"), q.Header.Get("Last-Event-Id"))
	reached(k, q)
	k.mu.Lock()
	k.working[id] = true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.working, id)
		k.mu.Unlock()
	}()
	if !k.streams {
		head += k.saysBrittle()
		switch k.enter() {
		case rejected:
			k.w.note("worker %s has no room for %s", k.id, id)
			return text("503 Service Unavailable", head+"Spurhall-Not-Executed: 1\r\n", "")
		case falls:
			k.w.note("worker %s has no room for %s, and falls over", k.id, id)
			k.crashUnder(id)
			return false
		}
		k.w.note("worker %s runs %s", k.id, id)
		ran(k, q)
		time.Sleep(k.eventTime)
		k.exit()
		return text("200 OK", head, strings.Repeat("x", 800))
	}
	return k.stream(c, q, id, head)
}

// readPerMs is how many tokens of a prompt are read in a millisecond.
const readPerMs = 32.4

func (k *worker) stream(c net.Conn, q *http.Request, id, head string) bool {
	in, _, _ := strings.Cut(q.Header.Get("Spurhall-Token-Usage"), ",")
	n, _ := strconv.Atoi(in)
	life := k.life()
	time.Sleep(time.Duration(float64(n) / readPerMs * float64(time.Millisecond)))
	if k.life() != life {
		return false // the process is gone
	}
	if hasPart(q.Header.Get("Spurhall-Prompt-Prefix"), badPart) {
		k.crashUnder(id)
		return false
	}
	k.w.note("worker %s runs %s", k.id, id)
	ran(k, q)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= k.events; i++ {
		time.Sleep(k.eventTime)
		e := fmt.Sprintf("id: %d\ndata: piece %d of version %s\n\n", i, i, k.version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// badPart is the part of a prompt that crashes each worker which begins to write an answer on it.
const badPart = "badbad01"

// hasPart reports whether a part of a prompt that isn't the last has an id.
func hasPart(prompt, id string) bool {
	list := strings.Split(prompt, ",")
	for _, p := range list[:max(0, len(list)-1)] {
		if v, _, _ := strings.Cut(p, ":"); v == id {
			return true
		}
	}
	return false
}

// arrival is one request that has reached a worker.
type arrival struct {
	id, worker, service, tenant string
	at                          time.Time
	bad                         bool
}

var seen struct {
	sync.Mutex
	arrivals, runs []arrival
}

func arrivalOf(k *worker, q *http.Request) arrival {
	return arrival{id: q.Header.Get("Spurhall-Request-Id"), worker: k.id, service: k.service, tenant: q.Header.Get("Spurhall-Tenant"), at: time.Now(), bad: hasPart(q.Header.Get("Spurhall-Prompt-Prefix"), badPart)}
}

func reached(k *worker, q *http.Request) {
	seen.Lock()
	defer seen.Unlock()
	seen.arrivals = append(seen.arrivals, arrivalOf(k, q))
}

func ran(k *worker, q *http.Request) {
	seen.Lock()
	defer seen.Unlock()
	seen.runs = append(seen.runs, arrivalOf(k, q))
}
