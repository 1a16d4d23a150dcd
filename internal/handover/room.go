package handover

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/timer"
)

// This file stores what the planners of upstreams know of the need and of waves of reclaims. Without it, a new
// process gives upstreams up in the middle of a wave that ended its predecessor.

// RoomRecord holds what is known of the room that services need, by service.
var RoomRecord = Record{Name: "room", Key: "spurhall/room"}

const (
	// minNeedChange is the fraction by which a need has to change to be written again.
	minNeedChange = 0.25
	// minUpstreamChange is by how many upstreams it has to change besides: a quarter of a small need is none.
	minUpstreamChange = 1
	// minNoticeAge is by how much a last notice has to differ to be written again: a wave is many notices.
	minNoticeAge = 3 * time.Second
	// maxNoticeAhead is how far the writer's clock may be ahead: a notice beyond that counts as none.
	maxNoticeAhead = 3 * time.Second
	// minRoomInterval is the shortest time between two attempts to read or write, however many services change: each
	// blocks the loop that gives orders.
	minRoomInterval = time.Second
)

// roomValue is autoscale.Known as stored.
type roomValue struct {
	Need   float64 `json:"need"`
	Notice int64   `json:"notice"` // Unix milliseconds; 0: none was seen
	Hold   int64   `json:"hold"`   // milliseconds
}

// Room stores what is known of the room that services need for the holder of the duties.
type Room struct {
	clock   *timer.Service
	written map[string]roomValue
	triedAt time.Time // to write, or to read in vain
	restore func(service string, k autoscale.Known)
	isRead  bool // what the previous holder has written, or that it has written nothing, is known
}

// NewRoom returns a writer.
func NewRoom(clock *timer.Service) *Room { return &Room{clock: clock} }

// Restore passes on what the previous holder has written. While the store is unavailable Write repeats it.
func (v *Room) Restore(ctx context.Context, s *Store, restore func(service string, k autoscale.Known)) {
	v.restore, v.isRead = restore, false
	v.read(ctx, s)
}

// read reads what the previous holder has written, and passes it on.
func (v *Room) read(ctx context.Context, s *Store) {
	v.written = make(map[string]roomValue)
	found, err := s.Load(ctx, RoomRecord, &v.written)
	v.isRead = found || err == nil // a value that can't be decoded stays unreadable
	if err != nil {
		s.Log.Warn(RoomRecord.Name+"_unread", zap.String("cause", err.Error()))
		v.triedAt, v.written = v.clock.Now(), make(map[string]roomValue)
	}
	for name, r := range v.written {
		k := autoscale.Known{Need: r.Need, Notice: v.noticeAge(r.Notice), Hold: time.Duration(r.Hold) * time.Millisecond}
		v.restore(name, k)
		s.Log.Info("room_found", zap.String("service", name), logging.Hundredths("need", k.Need), zap.Duration("notice_age", k.Notice), zap.Duration("hold", k.Hold))
	}
}

// noticeAge returns the age of a stored notice, negative if it is none.
func (v *Room) noticeAge(at int64) time.Duration {
	if at <= 0 {
		return -1
	}
	age := v.clock.Since(v.clock.At(time.UnixMilli(at)))
	if age < -maxNoticeAhead {
		return -1
	}
	return max(0, age)
}

// Write stores what is known now if it has changed. Nothing is written before the previous holder's value was read:
// a new process knows less.
func (v *Room) Write(ctx context.Context, s *Store, token int64, known map[string]autoscale.Known) {
	if v.clock.Since(v.triedAt) < minRoomInterval {
		return
	}
	if !v.isRead {
		v.read(ctx, s)
		return
	}
	now := make(map[string]roomValue, len(known))
	changed := false
	for name, k := range known {
		r := roomValue{Need: k.Need, Hold: k.Hold.Milliseconds()}
		if k.Notice >= 0 {
			r.Notice = v.clock.WallOf(v.clock.Now().Add(-k.Notice)).UnixMilli()
		}
		now[name] = r
		changed = changed || roomChanged(v.written[name], r)
	}
	if !changed {
		return
	}
	v.triedAt = v.clock.Now()
	if s.Write(ctx, RoomRecord, token, now) {
		v.written = now
	}
}

func roomChanged(a, b roomValue) bool {
	return math.Abs(a.Need-b.Need) > math.Max(minUpstreamChange, minNeedChange*math.Max(a.Need, b.Need)) ||
		math.Abs(float64(b.Notice)-float64(a.Notice)) >= float64(minNoticeAge.Milliseconds()) || a.Hold != b.Hold
}
