package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"spurhall.example/spurhall/internal/standin"
)

// This file brings the faults about, each from outside the programs.

// strike brings one fault about, and ends it.
func (s *Stage) strike(ctx context.Context, f Fault) {
	if b, is := f.behaviour(); is {
		s.behave(ctx, f, b)
		return
	}
	switch f.Kind {
	case FaultDelay:
		s.hold(ctx, f, Mode{Delay: seconds(f.X)})
	case FaultSilent, FaultSecond:
		s.hold(ctx, f, Mode{Silent: true})
	case FaultOldSilent:
		s.hold(ctx, f, Mode{Old: s.clock.Now()})
	case FaultOneWay:
		s.hold(ctx, f, Mode{OneWay: true})
	case FaultReset:
		for _, l := range s.links(f) {
			l.Reset()
		}
	case FaultHall:
		s.cutHall(ctx, f)
	case FaultTerm, FaultPress, FaultTakeover, FaultKill, FaultKillAll:
		s.stopDaemons(ctx, f)
	case FaultFreeze:
		s.freeze(ctx, f)
	case FaultStarve:
		s.starve(ctx, f)
	case FaultReclaim, FaultCrash, FaultDrain, FaultRelease:
		s.endUpstreams(ctx, f)
	case FaultStore, FaultLapse, FaultForget, FaultCopy:
		s.strikeStore(ctx, f)
	case FaultConfig, FaultKeys, FaultQuota, FaultAims:
		s.log(s.configure(ctx, func(c *Configuration) { c.change(f.Kind) }))
	case FaultTimeout:
		s.log(s.configure(ctx, func(c *Configuration) { c.Hasty = true }))
		s.lasts(ctx, f)
		s.log(s.configure(context.WithoutCancel(ctx), func(c *Configuration) { c.Hasty = false }))
	case FaultTry:
		s.tryVersion(ctx, f)
	case FaultCrowd:
		s.crowd(ctx, f)
	case FaultEgress:
		s.cutEgress(ctx, f)
	case FaultPart:
		s.restartCrashed(ctx, f)
	case FaultOdd:
		s.writeOdd(ctx, f)
	}
}

// behaviour returns how upstreams behave while a fault is in force, if it is one of that kind.
func (f Fault) behaviour() (b Behaviour, is bool) {
	switch f.Kind {
	case FaultMalformed:
		return Behaviour{Share: f.X, Malformed: f.How}, true
	case FaultLimit:
		return Behaviour{Limit: f.X}, true
	case FaultErrors:
		return Behaviour{Share: f.X, Fails: true}, true
	case FaultLost:
		return Behaviour{Share: f.X, Loses: true}, true
	case FaultBrittle:
		return Behaviour{Brittle: f.X}, true
	case FaultEndless:
		return Behaviour{Endless: f.How}, true
	case FaultSpoil:
		return Behaviour{Share: f.X, Spoils: true}, true
	default:
		return Behaviour{}, false
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// log tells of a call to a stand-in that failed: the fault may not have come about.
func (s *Stage) log(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "spurhall-soak: a fault wasn't brought about:", err)
	}
}

// lasts waits until a fault is over, or the day is.
func (s *Stage) lasts(ctx context.Context, f Fault) { _ = s.clock.Sleep(ctx, f.For) }

// links are those that a fault strikes.
func (s *Stage) links(f Fault) []*Link {
	list := map[Target][][]*Link{OnStore: {s.store, s.cloud}, OnPeers: {s.peers}, OnCallers: {s.callers}, OnUpstreams: {s.serving}}[f.On]
	var r []*Link
	for _, l := range list {
		for _, i := range f.Who {
			r = append(r, l[i])
		}
	}
	return r
}

func (s *Stage) hold(ctx context.Context, f Fault, m Mode) {
	for _, l := range s.links(f) {
		defer l.Add(m)()
	}
	s.lasts(ctx, f)
}

// cutHall silences what passes between a hall and the others.
func (s *Stage) cutHall(ctx context.Context, f Fault) {
	inside, outside := make(map[string]bool), make(map[string]bool)
	for i := range s.daemons {
		if s.day.HallOf(i) == f.Hall {
			inside[daemonName(i)] = true
		} else {
			outside[daemonName(i)] = true
		}
	}
	for _, list := range [][]*Link{s.peers, s.serving} {
		for i, l := range list {
			from := inside
			if s.day.HallOf(i) == f.Hall {
				from = outside
			}
			defer l.Add(Mode{Sources: from})()
		}
	}
	s.lasts(ctx, f)
}

// cutEgress cuts some daemons off from all upstreams.
func (s *Stage) cutEgress(ctx context.Context, f Fault) {
	m := map[string]Mode{EgressHangs: {NewHang: true, Silent: true}, EgressResets: {NewHang: true}, EgressRefuses: {NewRefused: true}, EgressLives: {NewHang: true}}[f.How]
	for _, i := range f.Who {
		defer s.gateways[i].Add(m)()
		if f.How == EgressResets || f.How == EgressRefuses {
			s.gateways[i].Reset()
		}
	}
	s.lasts(ctx, f)
}

// take reserves a process for one fault: two signals to one process at a time are drawn, two restarts aren't.
func (s *Stage) take(p *Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[p] {
		return false
	}
	s.busy[p] = true
	return true
}

func (s *Stage) release(p *Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, p)
}

// each does something with the processes that a fault strikes, at the same time.
func (s *Stage) each(list []*Process, who []int, f func(i int, p *Process)) {
	var w sync.WaitGroup
	for _, i := range who {
		if p := list[i]; s.take(p) {
			w.Go(func() {
				defer s.release(p)
				f(i, p)
			})
		}
	}
	w.Wait()
}

func (s *Stage) stopDaemons(ctx context.Context, f Fault) {
	who := f.Who
	if f.Kind == FaultKillAll {
		who = nil
		for i := range s.daemons {
			who = append(who, i)
		}
	}
	s.each(s.daemons, who, func(i int, p *Process) {
		at := s.clock.Wall()
		if f.plannedStop() {
			s.noteStop(Stop{Daemon: i, At: at})
			p.Signal(syscall.SIGTERM)
			if f.Kind == FaultPress {
				s.pause(ctx, p, seconds(f.X))
			}
			if !p.Wait(stopGrace) {
				p.Kill()
			}
		} else {
			p.Kill()
		}
		s.noteStop(Stop{Daemon: i, At: at, Ended: s.clock.Wall()})
		_ = s.clock.Sleep(ctx, restartWait)
		s.log(s.writeSettings(i, false))
		s.log(p.Start())
	})
}

// pause keeps a stopping daemon from being scheduled when it closes connections.
func (s *Stage) pause(ctx context.Context, p *Process, d time.Duration) {
	_ = s.clock.Sleep(ctx, pressFreeze) // what comes next is harmless at the day's end
	p.Signal(syscall.SIGSTOP)
	_ = s.clock.Sleep(ctx, d)
	p.Signal(syscall.SIGCONT)
}

// noteStop notes a planned stop, or its end.
func (s *Stage) noteStop(v Stop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.record.Stops {
		if o := &s.record.Stops[i]; o.Daemon == v.Daemon && o.At.Equal(v.At) {
			o.Ended = v.Ended
			return
		}
	}
	if v.Ended.IsZero() {
		s.record.Stops = append(s.record.Stops, v)
	}
}

func (s *Stage) freeze(ctx context.Context, f Fault) {
	list := map[Target][]*Process{OnDaemons: s.daemons, OnUpstreams: s.upstreams, OnStore: {s.platform}}[f.On]
	who := f.Who
	if f.On == OnStore {
		who = []int{0}
	}
	s.each(list, who, func(_ int, p *Process) {
		p.Signal(syscall.SIGSTOP)
		s.lasts(ctx, f)
		p.Signal(syscall.SIGCONT)
	})
}

// starve lets daemons run for a part of the time.
func (s *Stage) starve(ctx context.Context, f Fault) {
	until := s.clock.Now().Add(f.For)
	runs := time.Duration(f.X * float64(starvePeriod))
	s.each(s.daemons, f.Who, func(_ int, p *Process) {
		for s.clock.Now().Before(until) && ctx.Err() == nil {
			p.Signal(syscall.SIGSTOP)
			_ = s.clock.Sleep(ctx, starvePeriod-runs) // what comes next sees the end
			p.Signal(syscall.SIGCONT)
			_ = s.clock.Sleep(ctx, runs)
		}
	})
}

func (s *Stage) endUpstreams(ctx context.Context, f Fault) {
	who := f.Who
	if f.Kind == FaultReclaim {
		for i := range s.day.Engines {
			if s.day.HallOf(i) == f.Hall {
				who = append(who, i)
			}
		}
	}
	s.each(s.upstreams, who, func(i int, p *Process) {
		if f.Kind == FaultCrash {
			p.Kill()
		} else {
			if f.Kind == FaultRelease {
				s.unlist(ctx, i)
				p.SetArg("--version", newVersion)
			}
			s.drain(p)
		}
		_ = s.clock.Sleep(ctx, max(restartWait, f.For/2))
		s.log(p.Start())
	})
}

// unlist has an upstream's entry go as soon as it is told to end.
func (s *Stage) unlist(ctx context.Context, i int) {
	s.log(tell(context.WithoutCancel(ctx), s.address(s.upstreamHost(i), servePort), BehavePath, Behaviour{Unlists: true}))
}

// drain tells an upstream to end, and waits until it has.
func (s *Stage) drain(p *Process) {
	d := Drain{Upstream: p.name, At: s.clock.Wall()}
	p.Signal(syscall.SIGTERM)
	p.Wait(drainServes + dialTimeout)
	p.Kill()
	d.Ended = s.clock.Wall()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Drains = append(s.record.Drains, d)
}

// tryVersion replaces engines by ones of another version for a time, whose entries then go while they serve on.
func (s *Stage) tryVersion(ctx context.Context, f Fault) {
	s.each(s.upstreams, f.Who, func(i int, p *Process) {
		p.Kill()
		s.startAs(ctx, i, p, newVersion)
		s.lasts(ctx, f)
		s.unlist(ctx, i)
		s.drain(p)
		s.startAs(ctx, i, p, oldVersion)
	})
}

// startAs starts an upstream that has ended with another version, once daemons know that it has: nothing tells them of a version
// that changes under an entry before they read the next one.
func (s *Stage) startAs(ctx context.Context, i int, p *Process, version string) {
	key := s.world.EntryKey(upstreamName(i))
	s.log(WriteKey(context.WithoutCancel(ctx), s.control(), http.MethodDelete, key, nil))
	_ = s.clock.Sleep(context.WithoutCancel(ctx), goneWait)
	p.SetArg("--version", version)
	s.log(p.Start())
}

// restartCrashed starts engines again that requests with a bad part have crashed, and those that such requests crash for
// as long as they may be under way.
func (s *Stage) restartCrashed(ctx context.Context, f Fault) {
	until := s.clock.Now().Add(f.For + callWait)
	var w sync.WaitGroup
	for i := range s.day.Engines {
		p := s.upstreams[i]
		w.Go(func() {
			for s.clock.Now().Before(until) && ctx.Err() == nil {
				p.ExpectEnd()
				if !p.Wait(crashPoll) || !s.take(p) {
					_ = s.clock.Sleep(ctx, crashPoll) // what comes next sees the end
					continue
				}
				if p.Wait(0) { // no other fault has started it meanwhile
					_ = s.clock.Sleep(context.WithoutCancel(ctx), crashedFor)
					s.log(p.Start())
				}
				s.release(p)
			}
		})
	}
	w.Wait()
}

func (s *Stage) strikeStore(ctx context.Context, f Fault) {
	modes := map[string]standin.FaultMode{StoreSlow: standin.FaultSlow, StoreDown: standin.FaultRefuse, StoreLoses: standin.FaultLose, StoreFrozen: standin.FaultFreeze, StoreBusy: standin.FaultBusy}
	set := func(who []int, v standin.Fault) {
		for _, i := range who {
			s.log(setFault(context.WithoutCancel(ctx), s.face(i), v))
		}
	}
	var all []int
	for i := range s.daemons {
		all = append(all, i)
	}
	command := func(path string) { s.log(tell(context.WithoutCancel(ctx), s.control(), path, nil)) }
	switch f.Kind {
	case FaultStore:
		set(f.Who, standin.Fault{Mode: modes[f.How], Delay: seconds(f.X).Milliseconds()})
		s.lasts(ctx, f)
		set(f.Who, standin.Fault{})
	case FaultLapse:
		set(all, standin.Fault{Mode: standin.FaultRefuse})
		command("/standin/lapse")
		s.lasts(ctx, f)
		set(all, standin.Fault{})
	case FaultForget:
		command("/standin/forget")
	case FaultCopy:
		command("/standin/copy")
		s.lasts(ctx, f)
		command("/standin/return")
	default:
	}
}

// change makes the operators' change of a kind.
func (c *Configuration) change(k Kind) {
	switch k {
	case FaultKeys:
		c.Withdrawn = true
	case FaultQuota:
		c.Lowered = true
	case FaultAims:
		c.Tight = true
	default:
		c.Moved = true
	}
}

// writeOdd writes an odd entry, and removes it if it isn't an upstream's own.
func (s *Stage) writeOdd(ctx context.Context, f Fault) {
	key, value := s.world.OddEntry(f.How, upstreamName(f.Who[0]))
	s.log(WriteKey(context.WithoutCancel(ctx), s.control(), http.MethodPut, key, value))
	if f.How == OddSame {
		return
	}
	s.lasts(ctx, f)
	s.log(WriteKey(context.WithoutCancel(ctx), s.control(), http.MethodDelete, key, nil))
}

func (s *Stage) behave(ctx context.Context, f Fault, b Behaviour) {
	set := func(b Behaviour) {
		for _, i := range f.Who {
			// One that is down has no behaviour to change.
			_ = tell(context.WithoutCancel(ctx), s.address(s.upstreamHost(i), servePort), BehavePath, b)
		}
	}
	set(b)
	s.lasts(ctx, f)
	set(Behaviour{})
}
