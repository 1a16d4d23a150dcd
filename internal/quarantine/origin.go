package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file recognizes an observation wherever it comes from. Messages carry ages, since the clocks of VMs differ, and an
// age leaves out the time for which the message was under way or waited unread: each step makes an observation look
// younger. Told around a fleet that runs late, one crash would come back as another one, for good. So an observation
// has an identifier, and a tracker places it in time once, by the earliest that it is told.
//
// Alternatives considered: a wider sameCrashWindow (any width is too small for a fleet that is late enough, and hides
// the crashes of an upstream that restarts under its ID); the age of each step added up (a process that isn't scheduled
// doesn't know for how long).

// Origin identifies an observation; 0: a node of an earlier version has told it, or passed it on.
type Origin uint64

const (
	// unknownOriginWindow is sameCrashWindow for an observation without an identifier: late news must not count again.
	unknownOriginWindow = 30 * time.Second
	// maxOrigins bounds the observations whose times are remembered, some 60 bytes each. When there are too many, those
	// not heard of for the longest are forgotten, down to keptOrigins.
	maxOrigins  = 4 * maxSuspects
	keptOrigins = maxOrigins / 2
)

// placed is when an observation was made, as far as this process knows.
type placed struct {
	at      time.Time
	heardAt time.Time // when it was last told
}

// originOf returns the identifier of a new observation of this process. The tracker's lock is held.
func (t *Tracker) originOf(at time.Time) Origin {
	t.observed++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], t.observed)
	binary.LittleEndian.PutUint64(b[8:], uint64(at.UnixNano()))
	d := xxhash.New()
	_, _ = d.WriteString(t.node) // never fails
	_, _ = d.Write(b[:])
	return Origin(max(1, d.Sum64()))
}

// place returns when an observation was made, of which a message says that it was at a time. The tracker's lock is held.
func (t *Tracker) place(now time.Time, o Origin, at time.Time) time.Time {
	if o == 0 {
		return at
	}
	v, known := t.origins[o]
	if !known || at.Before(v.at) {
		v.at = at
	}
	v.heardAt = now
	t.origins[o] = v
	if len(t.origins) > maxOrigins {
		t.forgetOrigins()
	}
	return v.at
}

func (t *Tracker) forgetOrigins() {
	list := make([]Origin, 0, len(t.origins))
	for o := range t.origins {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y Origin) int { return t.origins[x].heardAt.Compare(t.origins[y].heardAt) })
	for _, o := range list[:len(list)-keptOrigins] {
		delete(t.origins, o)
	}
}
