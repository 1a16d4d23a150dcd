package speed

import (
	"slices"
	"time"

	"spurhall.example/spurhall/internal/retry"
)

// outbox holds which upstreams receivers are sent: those that changed, in the order of the changes, and the refreshed
// ones in a ring that each receiver walks. Refreshes mustn't be changes: they would come again before all others had
// their turn.
type outbox struct {
	changes   journal
	refreshed []retry.Incarnation // sorted
	receivers map[string]*receiver
	most      int // upstreams in a message
}

// receiver is how far a receiver has been sent an outbox.
type receiver struct {
	version uint64            // of the newest change
	last    retry.Incarnation // of the refreshed ones
	due     float64           // number of refreshes
	takenAt time.Time
}

func newOutbox(most int) outbox {
	return outbox{changes: newJournal(), receivers: make(map[string]*receiver), most: most}
}

func (o *outbox) record(id retry.Incarnation) { o.changes.record(id) }

// setRefreshed sets whether an upstream is sent again now and then.
func (o *outbox) setRefreshed(id retry.Incarnation, refreshed bool) {
	i, known := slices.BinarySearchFunc(o.refreshed, id, compare)
	switch {
	case refreshed && !known:
		o.refreshed = slices.Insert(o.refreshed, i, id)
	case !refreshed && known:
		o.refreshed = slices.Delete(o.refreshed, i, i+1)
	}
}

func (o *outbox) forget(id retry.Incarnation) {
	o.changes.forget(id)
	o.setRefreshed(id, false)
}

func (o *outbox) forgetReceiver(name string) { delete(o.receivers, name) }

// dropSilent drops receivers that took nothing for long. They are sent everything should they return.
func (o *outbox) dropSilent(now time.Time) {
	for name, r := range o.receivers {
		if now.Sub(r.takenAt) > silentTTL {
			delete(o.receivers, name)
		}
	}
}

// take returns the upstreams that a receiver is to be sent next. Half of a message at least is for each kind, as far as
// there is enough of it.
func (o *outbox) take(now time.Time, name string) []retry.Incarnation {
	r := o.receivers[name]
	if r == nil {
		r = &receiver{takenAt: now}
		o.receivers[name] = r
	}
	most := len(o.refreshed)
	r.due = min(r.due+float64(most)*float64(now.Sub(r.takenAt))/float64(refreshEvery), float64(most), float64(o.most))
	r.takenAt = now
	list, version := o.changes.after(r.version, o.most-min(int(r.due), o.most/2))
	r.version = version
	for n := min(int(r.due), o.most-len(list)); n > 0; n-- {
		r.due--
		if id := o.nextRefreshed(r); !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

func (o *outbox) nextRefreshed(r *receiver) retry.Incarnation {
	i, known := slices.BinarySearchFunc(o.refreshed, r.last, compare)
	if known {
		i++
	}
	r.last = o.refreshed[i%len(o.refreshed)]
	return r.last
}
