package soak

import (
	"math/rand/v2"
	"time"
)

// This file draws days on which a workspace asks for many times its quota while the store is away and daemons start: all of them are
// stopped as planned, one soon after the other, or a hall is cut off and all are killed. Daemons that start then can't read who else
// there is, nor what was charged.

const (
	rowSequence = 0x0db0
	rowShare    = 5 // one of so many days
)

// Of a row: the time between two stops, from the first stop until the store is away, and for how long it is.
const (
	rowEach      = 400 * time.Millisecond
	rowEachMore  = 400 * time.Millisecond
	rowStoreFrom = 1500 * time.Millisecond
	rowStoreLong = 9 * time.Second
	rowKillAfter = 2500 * time.Millisecond // from the beginning of a cut
	rowRate      = 10.0                    // calls of the narrow workspace a second, at each daemon
	rowLasts     = rowStoreFrom + rowStoreLong
)

// drawRow draws such faults. The day is as much longer as they need.
func (d *Day) drawRow(r *rand.Rand) []Fault {
	at := quietBefore + time.Duration(r.Int64N(int64(time.Second)))
	d.Row = at
	d.Traffic = max(d.Traffic, at+rowLasts+quietAfter)
	all := make([]int, d.Daemons)
	for i := range all {
		all[i] = i
	}
	away := Fault{Kind: FaultStore, On: OnStore, Who: all, How: []string{StoreFrozen, StoreDown}[r.IntN(2)], At: at + rowStoreFrom, For: rowStoreLong}
	if r.IntN(3) == 0 {
		return []Fault{
			{Kind: FaultHall, Hall: r.IntN(d.Halls), At: at, For: rowLasts},
			away,
			{Kind: FaultKillAll, At: at + rowKillAfter},
		}
	}
	list := []Fault{away}
	for i, who := range r.Perm(d.Daemons) {
		after := time.Duration(i) * (rowEach + time.Duration(r.Int64N(int64(rowEachMore))))
		list = append(list, Fault{Kind: FaultTerm, On: OnDaemons, Who: []int{who}, At: at + after})
	}
	return list
}

// rowCalls draws the requests of the narrow workspace on such a day.
func (d *Day) rowCalls(r *rand.Rand) []Call {
	if d.Row == 0 {
		return nil
	}
	var list []Call
	for i := range d.Daemons {
		for at := d.Row; at < d.Row+rowLasts; at += time.Duration(r.ExpFloat64() / rowRate * float64(time.Second)) {
			list = append(list, Call{At: at, Daemon: i, Route: []Route{RoutePlain, RouteAgain}[r.IntN(2)], Key: KeyNarrow, Size: 10 + r.IntN(40)})
		}
	}
	return list
}
