package accept

import (
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// This file decides which connection gives way when places or memory run short: one that holds them without a whole request, the
// longest first. Its request has run nowhere, and never will: it is passed on only once it is whole. If there is none, one gives way
// whose caller hasn't read its response for the longest: else callers who read nothing hold all places until their deadlines.
//
// A head is counted at what net/http makes of it, which nobody sees while it comes: a map with an entry for each field.
//
// Alternatives considered: a bound in time for each body. Callers within the limits may send slowly, and nothing is short
// while places are free.

// HeadShare is the part of a VM's memory that the heads of callers' requests may take together.
const HeadShare = 1.0 / 8

// MessageShare is the part of a VM's memory that requests of other nodes may take together, heads and messages.
const MessageShare = 1.0 / 8

const (
	// yieldGrace is how long a connection may go without a whole request before it gives way to others: a head and a body of some
	// MB arrive within it.
	yieldGrace = time.Second
	// unreadGrace is how long a response may wait to be written before its connection gives way to others. The kernel takes more
	// only once a third of its buffer is free, which is some 1 MB: a caller with 1 Mbit/s reads as much within it.
	unreadGrace = 10 * time.Second
	// headCost is how many bytes a byte of a head takes in memory at most, in fields of a few bytes.
	headCost = 16
	// messageCost is the same for a body that this process reads into a buffer that doubles, and decodes.
	messageCost = 4
	// yieldLogInterval is the shortest time between two lines on connections that gave way.
	yieldLogInterval = time.Second
)

// errGaveWay ends the reading of a request whose connection gives way.
var errGaveWay = errors.New("the connection gives way to others")

// shortage is what runs short.
type shortage string

// The shortages.
const (
	shortOfPlaces shortage = "places"
	shortOfHeads  shortage = "memory_of_heads"
	// shortOfMessages: of other nodes.
	shortOfMessages shortage = "memory_of_messages"
	shortOfBodies   shortage = "memory_of_bodies"
	// beyondHeadLimit isn't a shortage: the head is larger than the operators allow.
	beyondHeadLimit shortage = "limit_of_heads"
	// shortOfResponses: package memory chooses who gives way.
	shortOfResponses shortage = "memory_of_responses"
)

// phase is how far a connection is with a request.
type phase int

// The phases.
const (
	phaseUnused phase = iota // nothing has been read
	phaseHead
	phaseBody
	phaseWhole // the request is whole, and its response isn't
	phaseIdle  // between two requests
)

func (p phase) String() string { return [...]string{"unused", "head", "body", "whole", "idle"}[p] }

// partial reports whether the connection holds a part of a request, or has never sent one.
func (p phase) partial() bool { return p == phaseUnused || p == phaseHead || p == phaseBody }

// standing is what a connection holds. It is guarded by the listener's lock.
type standing struct {
	phase   phase
	since   time.Time // it has had no whole request; of a whole one: its beginning
	held    int64     // bytes of memory that what was read takes, counted until the response is complete
	serving bool      // its request has a handler, which may hold what was read after the connection has closed
	yields  bool      // it gives way: its request isn't passed on any more
	reading bool      // its body is waited for, and not this node's room for it
	readAt  time.Time // when its body was last read
	unread  time.Time // since when a part of its response has waited to be written; zero: none waits
}

// yieldLog bounds the lines on connections that gave way.
type yieldLog struct {
	at     time.Time
	others int // that gave way since without a line
}

// SetHeadMemory bounds what the heads of all connections may take, in bytes; 0: no bound.
func (l *Listener) SetHeadMemory(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxHeld = bytes
}

// SetMessageMemory is SetHeadMemory for heads and bodies together, of a listener whose bodies no package memory sees. One message is
// taken whatever its size, while there is no other.
func (l *Listener) SetMessageMemory(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxHeld, l.messages = bytes, true
}

// set changes a connection's phase and returns whether it still holds its place.
func (l *Listener) set(c *callerConn, p phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &c.standing
	if s.yields {
		return false
	}
	if p == phaseIdle {
		l.release(c)
	}
	if p == phaseHead || p == phaseIdle {
		s.since = l.clock.Now()
	}
	if p == phaseBody {
		s.reading, s.readAt = false, l.clock.Now()
	}
	s.phase = p
	return true
}

// beginRead records that a body is read. The time for which it waited for this node isn't its caller's.
func (l *Listener) beginRead(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &c.standing
	s.since = s.since.Add(l.clock.Now().Sub(s.readAt))
	s.reading = true
}

// endRead records that a read of a body has returned.
func (l *Listener) endRead(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.standing.reading, c.standing.readAt = false, l.clock.Now()
}

// hijack records that a handler has taken a connection over, for as long as it likes.
func (l *Listener) hijack(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
	c.standing.phase = phaseWhole
}

// hold counts bytes of memory that a connection takes.
func (l *Listener) hold(c *callerConn, bytes int64) {
	c.standing.held += bytes
	l.held += bytes
	if c.standing.yields {
		l.leaving += bytes
	}
}

// release gives back what a connection holds.
func (l *Listener) release(c *callerConn) {
	l.held -= c.standing.held
	if c.standing.yields {
		l.leaving -= c.standing.held
	}
	c.standing.held = 0
	l.released.Broadcast()
}

// beginServe records that a request has a handler.
func (l *Listener) beginServe(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.standing.serving = true
}

// endServe records that a handler has returned. What its request holds is given back with its response, or now if there is none.
func (l *Listener) endServe(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.standing.serving = false
	if !l.callers[c] {
		l.release(c)
	}
}

// awaitRoom waits until a connection may read on of a message: what those hold that give way is free only once their handlers
// have returned. It reports whether the connection still holds its place. All that is held belongs to connections that give way, to
// whole requests, which end, or has room: so nobody waits for one who waits.
func (l *Listener) awaitRoom(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.messages && l.held > l.maxHeld && c.standing.held < l.held && !c.standing.yields {
		l.released.Wait()
	}
	return !c.standing.yields
}

// cost returns how many bytes of memory a byte takes that is read in a phase; 0: it isn't counted here.
func (l *Listener) cost(p phase) int64 {
	switch {
	case p == phaseHead:
		return headCost
	case p == phaseBody && l.messages:
		return messageCost
	}
	return 0
}

// count counts bytes that were read, and returns the connections that give way for them.
func (l *Listener) count(c *callerConn, n int) []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	cost := l.cost(c.standing.phase)
	if cost == 0 || !l.callers[c] {
		return nil // of one that was closed meanwhile, nobody gives the bytes back
	}
	l.hold(c, cost*int64(n))
	if c.standing.phase == phaseHead && l.beyondLimit(c.standing.held/headCost) && !c.standing.yields {
		return []*callerConn{l.markYield(c, beyondHeadLimit)}
	}
	var list []*callerConn
	for left := l.held - l.leaving; l.maxHeld > 0 && left > l.maxHeld; {
		v := l.longest(yieldGrace, phase.partial)
		if v == nil {
			v = l.largest()
		}
		if v == nil || l.messages && v.standing.held == left {
			break
		}
		left -= v.standing.held
		list = append(list, l.markYield(v, l.shortOfMemory()))
	}
	return list
}

func (l *Listener) shortOfMemory() shortage {
	if l.messages {
		return shortOfMessages
	}
	return shortOfHeads
}

// beginWrite records that a part of a response is written, which takes until its caller has read enough. It returns whether the
// connection still holds its place.
func (l *Listener) beginWrite(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.standing.yields {
		return false
	}
	c.standing.unread = l.clock.Now()
	return true
}

// endWrite records that a part of a response has been written.
func (l *Listener) endWrite(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.standing.unread = time.Time{}
}

// longestUnread returns the connection whose caller hasn't read its response for the longest, unreadGrace at least; nil: none.
func (l *Listener) longestUnread() *callerConn {
	var most *callerConn
	from := l.clock.Now().Add(-unreadGrace)
	for c := range l.callers {
		s := &c.standing
		if !s.yields && !s.unread.IsZero() && !s.unread.After(from) && (most == nil || s.unread.Before(most.standing.unread)) {
			most = c
		}
	}
	return most
}

// longest returns the connection in a phase that fits, for at least some time, the longest; nil: none.
func (l *Listener) longest(least time.Duration, fits func(p phase) bool) *callerConn {
	var most *callerConn
	from := l.clock.Now().Add(-least)
	for c := range l.callers {
		s := &c.standing
		if !s.yields && fits(s.phase) && (s.phase != phaseBody || s.reading) && !s.since.After(from) && (most == nil || s.since.Before(most.standing.since)) {
			most = c
		}
	}
	return most
}

// largest returns the connection that holds most without a whole request, of what is counted here; nil: none.
func (l *Listener) largest() *callerConn {
	var most *callerConn
	for c := range l.callers {
		if s := &c.standing; !s.yields && l.cost(s.phase) > 0 && (most == nil || s.held > most.standing.held) {
			most = c
		}
	}
	return most
}

// markYield marks a connection, which is closed once the lock isn't held.
func (l *Listener) markYield(c *callerConn, why shortage) *callerConn {
	if !c.standing.yields {
		c.standing.yields = true
		l.leaving += c.standing.held
		l.released.Broadcast()
	}
	callersYielded.Add(string(why), 1)
	now := l.clock.Now()
	if now.Sub(l.yieldLog.at) < yieldLogInterval {
		l.yieldLog.others++
		return c
	}
	s := &c.standing
	l.log.Info("caller_gave_way", zap.Stringer("caller", c.RemoteAddr()), zap.String("short_of", string(why)), zap.Stringer("phase", s.phase), zap.Duration("for", now.Sub(s.since)),
		zap.Int64("held", s.held), zap.Bool("unread", !s.unread.IsZero()), zap.Int("open", len(l.callers)), zap.Int("others", l.yieldLog.others))
	l.yieldLog = yieldLog{at: now}
	return c
}

// makePlace has a connection give way to a new one, and reports whether there was one.
func (l *Listener) makePlace() bool {
	l.mu.Lock()
	c := l.longest(yieldGrace, phase.partial)
	if c == nil {
		c = l.longest(yieldGrace, func(p phase) bool { return p == phaseIdle })
	}
	if c == nil {
		c = l.longestUnread()
	}
	if c != nil {
		l.markYield(c, shortOfPlaces)
	}
	l.mu.Unlock()
	if c != nil {
		c.giveWay()
	}
	return c != nil
}

// MakeRoom has a connection give way whose body has been coming for the longest, since the memory for bodies is short.
func (l *Listener) MakeRoom() {
	l.mu.Lock()
	c := l.longest(yieldGrace, func(p phase) bool { return p == phaseBody })
	if c != nil {
		l.markYield(c, shortOfBodies)
	}
	l.mu.Unlock()
	if c != nil {
		c.giveWay()
	}
}

// giveWay closes a connection that was marked. Closing one with TLS may wait for its caller.
func (c *callerConn) giveWay() {
	if c.listener.tls != nil {
		go func() { _ = c.close() }()
		return
	}
	_ = c.close() // nobody is left to tell
}

// Handler returns the handler of the server on this listener: it follows how far each request has come.
func (l *Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*callerConn)
		switch {
		case !ok:
		case r.Body == nil || r.Body == http.NoBody || r.Method == http.MethodConnect:
			c.reach(phaseWhole)
		default:
			c.reach(phaseBody)
			r.Body = &followedBody{ReadCloser: r.Body, c: c}
		}
		if ok {
			l.beginServe(c)
			defer l.endServe(c)
		}
		h.ServeHTTP(w, r)
	})
}

// reach records how far a request is, and ends its handler, without a response, if the connection gives way.
func (c *callerConn) reach(p phase) {
	if !c.listener.set(c, p) {
		panic(http.ErrAbortHandler)
	}
}

// followedBody is a request's body whose end makes the request whole.
type followedBody struct {
	io.ReadCloser
	c *callerConn
}

// Read reads the body.
func (b *followedBody) Read(p []byte) (int, error) {
	if !b.c.listener.awaitRoom(b.c) {
		return 0, errGaveWay
	}
	b.c.listener.beginRead(b.c)
	n, err := b.ReadCloser.Read(p)
	b.c.listener.endRead(b.c)
	if errors.Is(err, io.EOF) && !b.c.listener.set(b.c, phaseWhole) {
		return n, errGaveWay
	}
	return n, err
}
