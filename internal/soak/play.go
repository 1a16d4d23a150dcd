package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// Programs is what is played.
type Programs struct {
	Daemon string // path of spurhalld
	Beside string // path of another build of it, which every other daemon runs; empty: none
	Self   string // path of spurhall-soak, which is the stand-ins, too
}

// daemon returns the path of the program that a daemon runs.
func (p Programs) daemon(i int) string {
	if p.Beside != "" && i%2 == 1 {
		return p.Beside
	}
	return p.Daemon
}

// Stage is what one day runs on.
type Stage struct {
	clock *timer.Service
	world World
	day   Day
	dir   string
	base  string // first three numbers of the day's addresses

	platform  *Process
	daemons   []*Process
	upstreams []*Process
	store     []*Link // by daemon
	cloud     []*Link
	callers   []*Link
	peers     []*Link
	gateways  []*Link
	serving   []*Link // by upstream

	bandwidths []*Bandwidth // by daemon; empty: nothing bounds them

	mu     sync.Mutex
	config Configuration
	record Record
	busy   map[*Process]bool // a fault is at it
}

const (
	stopGrace   = 6 * time.Second // from SIGTERM to SIGKILL
	usageWindow = time.Second
	usageLate   = 3 * time.Second
	leaseTime   = 3 * time.Second
	retryRatio  = 0.2
	retryExtra  = 50.0
	retryWindow = 10 * time.Second
	storeWrites = 400.0
	storeReads  = 2000.0
	startWait   = 20 * time.Second
	settles     = 1500 * time.Millisecond // from the start of all processes to that of traffic
	drainServes = 4 * time.Second         // an upstream serves on after it has said that it leaves
	beatEvery   = 400 * time.Millisecond  // of upstreams
	restartWait = 300 * time.Millisecond
	crashedFor  = 1500 * time.Millisecond // until an engine that a request has crashed starts again
	crashPoll   = 100 * time.Millisecond
	checkEvery  = 2 * time.Second
	facePort    = 7000
	servePort   = 8080
	readyPort   = 8081
	peerPort    = 8082
)

var plays atomic.Int64

// Play plays a day in a folder, and returns what it left. It ends early once found tells that something is broken.
func Play(ctx context.Context, clock *timer.Service, w World, p Programs, day Day, dir string, found func(Record) bool) (Record, error) {
	n := uint16(os.Getpid()*31) + uint16(plays.Add(1))
	s := &Stage{
		clock: clock, world: w, day: day, dir: dir, base: fmt.Sprintf("127.%d.%d.", 1+n>>8&0x7f, n&0xff),
		config: Configuration{Version: 1}, busy: make(map[*Process]bool), record: Record{Day: day, Peaks: make(map[string]int64)},
	}
	defer s.close()
	if err := s.start(ctx, p); err != nil {
		return Record{}, err
	}
	s.play(ctx, found)
	return s.finish(ctx)
}

func (s *Stage) host(host int) string          { return s.base + strconv.Itoa(host) }
func (s *Stage) address(host, port int) string { return fmt.Sprintf("%s:%d", s.host(host), port) }

func (s *Stage) daemonHost(i int) int   { return 10 + i }
func (s *Stage) upstreamHost(i int) int { return 130 + i }
func (s *Stage) face(i int) string      { return s.address(2, facePort+i) }
func (s *Stage) control() string        { return s.address(2, facePort-1) }

// hallName and the others are how processes are called.
func hallName(i int) string     { return "hall-" + string(rune('a'+i)) }
func daemonName(i int) string   { return fmt.Sprint("daemon-", i) }
func upstreamName(i int) string { return fmt.Sprint("upstream-", i) }

// serviceOf is the service of an upstream.
func (d *Day) serviceOf(i int) string {
	switch {
	case i < d.Engines:
		return ServiceEngine
	case i < d.Engines+d.Plain:
		return ServicePlain
	}
	return ServiceOther
}

func (s *Stage) start(ctx context.Context, p Programs) error {
	var err error
	s.platform, err = NewProcess(s.clock, s.dir, "platform", p.Self, nil, "platform", "--host", s.base+"2", "--first", strconv.Itoa(facePort),
		"--faces", strconv.Itoa(s.day.Daemons), "--control", s.control())
	if err == nil {
		err = s.platform.Start()
	}
	if err == nil {
		err = s.eventually(ctx, "the platform", func(ctx context.Context) error { return s.configure(ctx, func(*Configuration) {}) })
	}
	for i := 0; i < s.day.Upstreams() && err == nil; i++ {
		err = s.addUpstream(p, i)
	}
	for i := 0; i < s.day.Daemons && err == nil; i++ {
		err = s.addDaemon(p, i)
	}
	for i := 0; i < s.day.Daemons && err == nil; i++ {
		err = s.eventually(ctx, daemonName(i), func(ctx context.Context) error { return s.ready(ctx, i) })
	}
	_ = s.clock.Sleep(ctx, settles) // what comes next sees the end
	s.record.Before = s.levels()
	return err
}

func (s *Stage) ready(ctx context.Context, i int) error {
	return ask(ctx, http.MethodGet, "http://"+s.address(s.daemonHost(i), readyPort)+s.world.ReadyPath, nil, nil)
}

// eventually tries until something succeeds.
func (s *Stage) eventually(ctx context.Context, what string, f func(ctx context.Context) error) error {
	c, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		err := f(c)
		if err == nil {
			return nil
		}
		if s.clock.Sleep(c, 20*time.Millisecond) != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
}

// bySourceAddress tells which daemon a gateway dials for.
func (s *Stage) bySourceAddress(c net.Conn) string {
	for i := range s.day.Daemons {
		if a, ok := c.RemoteAddr().(*net.TCPAddr); ok && a.IP.String() == s.host(s.daemonHost(i)) {
			return daemonName(i)
		}
	}
	return ""
}

// source tells which daemon dials; it is looked up only on days that need it.
func (s *Stage) source() func(net.Conn) string {
	for _, f := range s.day.Faults {
		if f.Kind == FaultHall {
			return func(c net.Conn) string { return sourceOf(c, s.daemons) }
		}
	}
	return nil
}

func (s *Stage) link(to string, source func(net.Conn) string) (*Link, error) {
	return NewLink(s.clock, s.base+"1", to, source)
}

func (s *Stage) addUpstream(p Programs, i int) error {
	listen := s.address(s.upstreamHost(i), servePort)
	l, err := s.link(listen, s.bySourceAddress)
	if err != nil {
		return err
	}
	s.serving = append(s.serving, l)
	args := []string{
		"upstream", "--id", upstreamName(i), "--service", s.day.serviceOf(i), "--hall", hallName(s.day.HallOf(i)),
		"--listen", listen, "--advertise", l.Address(), "--control", s.control(), "--journal", s.journal(i), "--beat", beatEvery.String(), "--leaves", drainServes.String(), "--version", s.day.Version(i), "--pace", s.day.pace().String(),
	}
	if s.day.Bare {
		args = append(args, "--bare")
	}
	v, err := NewProcess(s.clock, s.dir, upstreamName(i), p.Self, nil, args...)
	if err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, v)
	return v.Start()
}

// behindLink returns where the upstream listens whose link has an address; empty: it is of no upstream.
func (s *Stage) behindLink(address string) string {
	for i, l := range s.serving {
		if l.Address() == address {
			return s.address(s.upstreamHost(i), servePort)
		}
	}
	return ""
}

func (s *Stage) journal(i int) string { return filepath.Join(s.dir, upstreamName(i)+".events") }

func (s *Stage) addDaemon(p Programs, i int) error {
	host := s.daemonHost(i)
	for _, v := range []struct {
		to     string
		source func(net.Conn) string
		list   *[]*Link
	}{{s.face(i), nil, &s.store}, {s.face(i), nil, &s.cloud}, {s.address(host, servePort), nil, &s.callers}, {s.address(host, peerPort), s.source(), &s.peers}} {
		l, err := s.link(v.to, v.source)
		if err != nil {
			return err
		}
		*v.list = append(*v.list, l)
	}
	g, err := NewGateway(s.clock, s.base+"1", s.host(host), s.behindLink)
	if err != nil {
		return err
	}
	s.gateways = append(s.gateways, g)
	s.limit(i)
	if err := s.writeSettings(i, true); err != nil {
		return err
	}
	v, err := NewProcess(s.clock, s.dir, daemonName(i), p.daemon(i), []string{s.world.SettingsVariable + "=" + s.settingsPath(i)}, "edge", "--peers-listen", s.address(host, peerPort), "--upstream-proxy", g.Address())
	if err != nil {
		return err
	}
	s.daemons = append(s.daemons, v)
	return v.Start()
}

// limit bounds what passes to and from a daemon. What it asks of other daemons counts at these alone: looking up who dials takes
// longer than daemons wait, where many do at once.
func (s *Stage) limit(i int) {
	rate := s.day.rate(i)
	if rate == 0 {
		return
	}
	b := NewBandwidth(s.clock, rate)
	s.bandwidths = append(s.bandwidths, b)
	for _, l := range []*Link{s.store[i], s.cloud[i], s.gateways[i]} {
		l.Limit(nil, b)
	}
	s.callers[i].Limit(b, nil)
	s.peers[i].Limit(b, nil)
}

func (s *Stage) settingsPath(i int) string { return filepath.Join(s.dir, daemonName(i)+".toml") }

func (s *Stage) writeSettings(i int, first bool) error {
	host := s.daemonHost(i)
	d := DaemonSettings{
		Name: daemonName(i), Hall: hallName(s.day.HallOf(i)), Front: s.address(host, servePort), Ready: s.address(host, readyPort), Peers: s.peers[i].Address(),
		Store: s.store[i].Address(), Cloud: s.cloud[i].Address(), First: first, Stop: stopGrace, Lease: leaseTime, UsageWindow: usageWindow, UsageLate: usageLate,
		RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, StoreWrites: storeWrites, StoreReads: storeReads, Drain: drainBound, Cores: s.day.Cores(i), MemoryMB: s.day.memory(),
	}
	for h := range s.day.Halls {
		d.Halls = append(d.Halls, hallName(h))
	}
	if i > 0 {
		d.Seeds = []string{s.peers[0].Address()}
	}
	return os.WriteFile(s.settingsPath(i), []byte(s.world.Settings(d)), 0o644)
}

// configure changes what the operators have in force.
func (s *Stage) configure(ctx context.Context, f func(c *Configuration)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.config
	f(&c)
	c.Version++
	key, value := s.world.Configuration(c)
	if err := WriteKey(ctx, s.control(), http.MethodPut, key, value); err != nil {
		return err
	}
	s.config = c
	s.record.Configs = append(s.record.Configs, Change{c, s.clock.Wall()})
	return nil
}

// play runs traffic and faults.
func (s *Stage) play(ctx context.Context, found func(Record) bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	to := make([]string, len(s.callers))
	for i, l := range s.callers {
		to[i] = l.Address()
	}
	c := newCallers(s.clock, s.world, to)
	s.record.Began = s.clock.Wall()
	began := s.clock.Now()
	var w sync.WaitGroup
	w.Go(func() { s.watchVM(ctx) })
	w.Go(func() { s.notePeaks(ctx) })
	if s.day.Large > 0 {
		w.Go(func() { shareOut(ctx, s.clock, s.shares()) })
	}
	if len(s.bandwidths) > 0 {
		w.Go(func() { s.noteLoads(ctx) })
	}
	for _, f := range s.day.Faults {
		w.Go(func() {
			if s.clock.Sleep(ctx, began.Add(f.At).Sub(s.clock.Now())) == nil {
				s.strike(ctx, f)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.play(ctx, began, s.day.Calls(), strconv.FormatUint(s.day.Seed, 36))
	}()
	s.watch(ctx, done, c, found)
	cancel()
	<-done
	w.Wait()
	s.record.Replies = c.known()
}

const (
	stallTick  = 50 * time.Millisecond
	stallLeast = 200 * time.Millisecond // that a tick comes late
)

// watchVM notes when this process, which does little, isn't run in time: others aren't, either.
func (s *Stage) watchVM(ctx context.Context) {
	for last := s.clock.Wall(); s.clock.Sleep(ctx, stallTick) == nil; last = s.clock.Wall() {
		if now := s.clock.Wall(); now.Sub(last) > stallTick+stallLeast {
			s.mu.Lock()
			s.record.Stalls = append(s.record.Stalls, Stall{last, now})
			s.mu.Unlock()
		}
	}
}

// watch checks while the day runs.
func (s *Stage) watch(ctx context.Context, done <-chan struct{}, c *callers, found func(Record) bool) {
	for {
		late, stop := s.clock.After(checkEvery)
		select {
		case <-done:
			stop()
			s.mu.Lock()
			s.record.Complete = ctx.Err() == nil
			s.mu.Unlock()
			return
		case <-ctx.Done():
			stop()
			return
		case <-late:
		}
		r := s.sofar(c)
		if found(r) {
			return
		}
	}
}

func (s *Stage) close() {
	for _, p := range append(s.daemons, append(s.upstreams, s.platform)...) {
		if p != nil {
			p.Close()
		}
	}
	for _, list := range [][]*Link{s.store, s.cloud, s.callers, s.peers, s.gateways, s.serving} {
		for _, l := range list {
			l.Close()
		}
	}
}
