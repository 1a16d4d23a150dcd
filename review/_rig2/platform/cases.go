package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// every calls f at a steady rate for a time, each call in a goroutine of its own, and returns when all have returned.
func every(gap, span time.Duration, f func(i int)) {
	var g sync.WaitGroup
	start := time.Now()
	for i := 0; time.Duration(i)*gap < span; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * gap)))
		g.Go(func() { f(i) })
	}
	g.Wait()
}

func (w *world) node(i int) *machine { return w.nodes[i%len(w.nodes)] }

var zones = []string{"zone-a", "zone-b", "zone-c"}

// surplus: a worker sends one answer too many now and then, late, where the next one is due. Such bytes belong to no request.
func surplus(w *world) int {
	w.startStore(3)
	for i, z := range zones {
		w.addVersion(fmt.Sprintf("i-plain%d", i+1), "shop-api", z, 6, false, "v1", 0, 15*time.Millisecond).set(0, queueLength)
	}
	w.configure([]table{plainRoute("order", "non_idempotent", "shop-api")}, []table{plainService("shop-api")})
	w.startMachines(zones...)
	time.Sleep(3 * time.Second)
	call := func(i int) {
		w.send(w.node(i), request{id: newID(), path: "/order/approve", key: "key-one", body: "order " + fmt.Sprint(i), deadline: 600 * time.Millisecond})
	}
	const gap = 20 * time.Millisecond
	every(gap, 2*time.Second, call)
	if w.trouble {
		w.note("worker i-plain1 is faulty from now on, for 5 s: one answer of %d is followed by another one", surplusEach)
		w.workers[0].setSurplus(true)
	}
	every(gap, 5*time.Second, call)
	w.workers[0].setSurplus(false)
	every(gap, 2*time.Second, call)
	time.Sleep(time.Second)
	seen.Lock()
	defer seen.Unlock()
	runs := make(map[string][]string)
	for _, v := range seen.runs {
		runs[v.id] = append(runs[v.id], v.worker)
	}
	twice := 0
	for id, list := range runs {
		if len(list) > 1 {
			twice++
			w.note("%s, which isn't idempotent, has run %d times: at %s", id, len(list), strings.Join(list, ", "))
		}
	}
	return w.verdict(twice > 0, "%d of %d non-idempotent requests ran more than once; %d answers too many", twice, len(runs), w.workers[0].extras())
}

func (k *worker) setSurplus(v bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.surplus = v
}

func (k *worker) extras() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.extra
}

// ask sends a stream whose prompt has these shared parts and one of its own.
func (w *world) ask(m *machine, path, key string, parts ...string) answer {
	list := append(parts, fmt.Sprintf("%x:250", rand.Uint32()))
	return w.send(m, request{id: newID(), path: path, key: key, body: fmt.Sprintf("tell me %d", rand.Uint64()), prompt: strings.Join(list, ","), tokens: "9190,50", deadline: 8 * time.Second})
}

// fleet starts three machines before nine engines.
func fleet(w *world, services ...string) {
	w.startStore(3)
	for _, s := range services {
		for i := range 9 {
			w.addWorker(fmt.Sprintf("i-%s%d", s, i+1), s, zones[i%3], 128, true)
		}
	}
}

// contact is contact_ms of the settings.
const contact = 3 * time.Second

// badAfterFifth returns the requests with the bad part that reached workers later than contact_ms after the fifth crash.
func (w *world) badAfterFifth(crashes []time.Time) (list []arrival) {
	if len(crashes) < 5 {
		return nil
	}
	seen.Lock()
	defer seen.Unlock()
	for _, a := range seen.arrivals {
		if a.bad && a.at.After(crashes[4].Add(contact)) {
			list = append(list, a)
		}
	}
	return list
}

// crashed is when workers crashed under a bad part.
var crashed struct {
	sync.Mutex
	list []time.Time
}

func crashTimes() []time.Time {
	crashed.Lock()
	defer crashed.Unlock()
	return append([]time.Time(nil), crashed.list...)
}

// sound counts the sound requests of streams that may not be taken up again: all, and those that were accepted and broken off.
var sound struct {
	sync.Mutex
	sent, lost int
}

func (w *world) judgeBad() int {
	t := crashTimes()
	late := w.badAfterFifth(t)
	for _, a := range late {
		w.note("%s with the part that crashes workers reached %s at %.3f", a.id, a.worker, a.at.Sub(w.start).Seconds())
	}
	sound.Lock()
	defer sound.Unlock()
	return w.verdict(len(late) > 3, "%d crashes; %d requests with the part that crashes workers reached workers later than %v after the fifth crash (3 are allowed); of %d sound streams that can't be taken up, %d were broken off or failed", len(t), len(late), contact, sound.sent, sound.lost)
}

// traffic sends sound streams of both tenants, which may not be taken up, on a route until stop is closed.
func (w *world) traffic(path string, gap time.Duration, stop chan struct{}) *sync.WaitGroup {
	var g sync.WaitGroup
	g.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			g.Go(func() {
				a := w.ask(w.node(i), path, []string{"key-one", "key-two"}[i%2], "50000001:6300")
				sound.Lock()
				defer sound.Unlock()
				sound.sent++
				if a.status != http.StatusServiceUnavailable && (a.status != http.StatusOK || !a.whole) {
					sound.lost++
				}
			})
		}
	})
	return &g
}

// moved: a part crashes workers. Then the route moves to another service, as an operator does who sees workers fall.
func moved(w *world) int {
	fleet(w, "llm", "llm2")
	services := []table{engineService("llm"), engineService("llm2")}
	w.configure([]table{streamRoute("listing", "llm"), onceRoute("other", "llm2")}, services)
	w.startMachines(zones...)
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	g, o := w.traffic("/listing/go", 150*time.Millisecond, stop), w.traffic("/other/go", 100*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	bad := func(i int) { w.ask(w.node(i), "/listing/go", "key-one", "50000001:6300", badPart+":400") }
	if w.trouble {
		w.note("requests come whose prompts have a part that crashes workers: %s", badPart)
		every(100*time.Millisecond, 1500*time.Millisecond, bad)
		every(500*time.Millisecond, 10*time.Second, bad)
		w.configure([]table{streamRoute("listing", "llm2"), onceRoute("other", "llm2")}, services)
		time.Sleep(200 * time.Millisecond)
		every(100*time.Millisecond, 1500*time.Millisecond, bad)
		every(500*time.Millisecond, 10*time.Second, bad)
	} else {
		time.Sleep(10 * time.Second)
		w.configure([]table{streamRoute("listing", "llm2"), onceRoute("other", "llm2")}, services)
		time.Sleep(10 * time.Second)
	}
	close(stop)
	g.Wait()
	o.Wait()
	return w.judgeBad()
}

// tenants: a part crashes workers under the requests of one tenant. Then another tenant's requests come with that part.
func tenants(w *world) int {
	fleet(w, "llm")
	w.configure([]table{streamRoute("listing", "llm"), onceRoute("brief", "llm")}, []table{engineService("llm")})
	w.startMachines(zones...)
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	g := w.traffic("/brief/go", 100*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.note("requests of one tenant come whose prompts have a part that crashes workers: %s", badPart)
		bad := func(key string) func(i int) {
			return func(i int) { w.ask(w.node(i), "/listing/go", key, "50000001:6300", badPart+":400") }
		}
		every(100*time.Millisecond, 1500*time.Millisecond, bad("key-one"))
		every(500*time.Millisecond, 10*time.Second, bad("key-one"))
		w.note("requests of another tenant come with that part")
		every(40*time.Millisecond, 1500*time.Millisecond, bad("key-two"))
		every(500*time.Millisecond, 3*time.Second, bad("key-two"))
	} else {
		time.Sleep(15 * time.Second)
	}
	close(stop)
	g.Wait()
	return w.judgeBad()
}

// prompt: all requests of a service have a part in common, and it crashes workers.
func prompt(w *world) int {
	fleet(w, "llm", "llm2")
	w.configure([]table{streamRoute("listing", "llm"), onceRoute("other", "llm2")}, []table{engineService("llm"), engineService("llm2")})
	w.startMachines(zones...)
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	o := w.traffic("/other/go", 150*time.Millisecond, stop)
	good := func(i int) { w.ask(w.node(i), "/listing/go", []string{"key-one", "key-two"}[i%2], "50000001:6300") }
	every(300*time.Millisecond, 4*time.Second, good)
	if w.trouble {
		w.note("from now on all prompts of the service have a part that crashes workers: %s", badPart)
		every(500*time.Millisecond, 90*time.Second, func(i int) {
			w.ask(w.node(i), "/listing/go", []string{"key-one", "key-two"}[i%2], "50000001:6300", badPart+":400")
		})
	} else {
		every(500*time.Millisecond, 20*time.Second, good)
	}
	close(stop)
	o.Wait()
	return w.judgeBad()
}

// chat is a stream as its client has it, over its attempts.
type chat struct {
	id       string
	versions map[string]int // events by version
	last     string
	tries    int
}

// talk asks for a long stream, and takes it up once, at another machine, if it breaks off.
func (w *world) talk(i int, deadline time.Duration, first, second *machine) chat {
	v := chat{versions: make(map[string]int)}
	end := time.Now().Add(deadline)
	for v.tries = 0; v.tries < 2; v.tries++ {
		q := request{id: newID(), path: "/chat/go", key: "key-one", body: fmt.Sprintf("talk %d", i), prompt: fmt.Sprintf("70000001:172,%x:543", i+1), tokens: "715,234", deadline: time.Until(end)}
		if v.last != "" {
			q.resumes, q.lastEvent = v.id, v.last
		}
		a := w.send([]*machine{first, second}[v.tries], q)
		for e := range strings.SplitSeq(a.body, "\n\n") {
			var n, m int
			var version string
			if _, err := fmt.Sscanf(e, "id: %d\ndata: piece %d of version %s", &n, &m, &version); err != nil || a.status != http.StatusOK {
				continue
			}
			if v.last == "" {
				v.id = q.id
			}
			v.last = fmt.Sprint(n)
			v.versions[version]++
		}
		if a.whole && a.status == http.StatusOK {
			v.tries++
			break
		}
	}
	return v
}

// sixMachines are the zones of the sheet's machines.
var sixMachines = []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}

// chatService configures a service of long streams whose route has a time-out.
func (w *world) chatService(timeout time.Duration) {
	r := streamRoute("chat", "llm")
	r["timeout_ms"], r["target_latency_ms"] = timeout.Milliseconds(), 800
	w.configure([]table{r}, []table{engineService("llm")})
}

func (w *world) addChatWorker(version string) *worker {
	n := len(w.workers)
	return w.addVersion(fmt.Sprintf("i-%s-%d", version, n+1), "llm", zones[n%3], 128, true, version, 78, 150*time.Millisecond)
}

// timeout: workers of a service are replaced, one after the other, by ones of another version, and serve on for some seconds;
// meanwhile a config lowers the time-out of the route.
func timeout(w *world) int {
	w.startStore(len(sixMachines))
	for range 4 {
		w.addChatWorker("v1")
	}
	for range 5 {
		w.addChatWorker("v2")
	}
	w.chatService(15 * time.Second)
	w.startMachines(sixMachines...)
	time.Sleep(5 * time.Second)
	list := make([]chat, 36)
	var g sync.WaitGroup
	for i := range list {
		g.Go(func() { list[i] = w.talk(i, 15*time.Second, w.node(i), w.node(i+1)) })
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for i, k := range w.workers[:4] {
		w.addChatWorker("v2")
		time.Sleep(500 * time.Millisecond)
		k.leave(9500*time.Millisecond - time.Duration(i)*time.Second)
		time.Sleep(500 * time.Millisecond)
	}
	if w.trouble {
		w.chatService(4 * time.Second)
	}
	g.Wait()
	return w.judgeChats(list)
}

// judgeChats checks that streams hold events of one version.
func (w *world) judgeChats(list []chat) int {
	mixed, resumed, whole := 0, 0, 0
	for _, v := range list {
		if v.tries > 1 && v.last != "" {
			resumed++
		}
		if v.last == "78" {
			whole++
		}
		if len(v.versions) > 1 {
			mixed++
			w.note("the stream of %s has events of two versions: %v", v.id, v.versions)
		}
	}
	return w.verdict(mixed > 2, "%d of %d streams hold events from workers of two software versions (2 are allowed); %d were taken up by their clients, %d have all events", mixed, len(list), resumed, whole)
}

// withdrawn: a worker of another version joins a service and is taken away some seconds later, while one machine stands still.
func withdrawn(w *world) int {
	w.startStore(len(sixMachines))
	for range 7 {
		w.addChatWorker("v1")
	}
	w.chatService(15 * time.Second)
	w.startMachines(sixMachines...)
	time.Sleep(5 * time.Second)
	still := w.nodes[len(w.nodes)-1]
	start := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	if w.trouble {
		w.note("%s stands still for 5 s", still.name)
		must(still.cmd.Process.Signal(syscall.SIGSTOP))
	}
	until(200 * time.Millisecond)
	joined := w.addChatWorker("v2")
	until(3 * time.Second)
	list := make([]chat, 80)
	var g sync.WaitGroup
	for i := range list {
		g.Go(func() { list[i] = w.talk(i, 15*time.Second, w.nodes[i%(len(w.nodes)-1)], still) })
		time.Sleep(12 * time.Millisecond)
	}
	until(4300 * time.Millisecond)
	joined.leave(7 * time.Second)
	until(5 * time.Second)
	if w.trouble {
		must(still.cmd.Process.Signal(syscall.SIGCONT))
		w.note("%s goes on", still.name)
	}
	g.Wait()
	return w.judgeChats(list)
}

// atRandom puts calls that come at a steady rate off by a time that is drawn.
func atRandom(gap time.Duration, call func(i int)) func(i int) {
	return func(i int) {
		time.Sleep(time.Duration(rand.Float64() * 10 * float64(gap)))
		call(i)
	}
}

// brittle: the workers of a service are brittle for a while, and say so. From contact_ms later they let nothing wait.
func brittle(w *world) int {
	w.startStore(8)
	for i, z := range zones {
		k := w.addVersion(fmt.Sprintf("i-plain%d", i+1), "shop-api", z, 6, false, "v1", 0, 60*time.Millisecond)
		k.set(0, queueLength)
	}
	w.configure([]table{plainRoute("order", "non_idempotent", "shop-api")}, []table{plainService("shop-api")})
	w.startMachines("zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c")
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sent, lost := 0, 0
	call := func(i int) {
		a := w.send(w.nodes[rand.IntN(len(w.nodes))], request{id: newID(), path: "/order/approve", key: "key-one", body: "order " + fmt.Sprint(i), deadline: 600 * time.Millisecond})
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	const gap = 4 * time.Millisecond
	call = atRandom(gap, call)
	every(gap, 3*time.Second, call)
	if w.trouble {
		w.note("the workers are brittle: they bear one rejection in a second, and say so")
		for _, k := range w.workers {
			k.set(1, queueLength)
		}
	}
	every(gap, contact, call)
	if w.trouble {
		w.note("the workers let nothing wait")
		for _, k := range w.workers {
			k.set(1, 0)
		}
	}
	every(gap, 20*time.Second, call)
	fell := 0
	for _, k := range w.workers {
		fell += k.fallen()
	}
	return w.verdict(fell*10 > 2*10+len(w.workers), "%d workers fell over %d times while they were brittle (2.3 times are allowed); of %d requests %d were accepted and not answered with success", len(w.workers), fell, sent, lost)
}
