package retry

import "time"

// SpreadMost bounds how much later than the end of the rest a caller is told to come: few callers have longer to
// wait for, and how long requests last is a guess. More turns than it holds begin again at its start, so that
// those beyond it come evenly, too, and not all at its end.
const MaxReturnSpread = 5 * time.Second

// Turns is when callers may come back that are turned away while no upstream of a service takes anything: all rest,
// or have had what they take.
//
// The load that it answers: for some seconds all that comes is turned away, at each node. Told the end of
// the rest, all would be there in one moment; most find no place and wait behind each other, and with them
// whoever comes anew. So each is told the moment at which its
// turn is: as many as there are places come at once, the others at the pace at which requests end. A node goes by
// its share of both, since it can't ask the others before it answers.
type ReturnSchedule struct {
	next time.Time
}

// Take returns how long the next caller is to stay away, given the time until the first upstream takes something,
// the places that there are then, and the requests a second that there is room for from then on.
func (t *ReturnSchedule) Next(now time.Time, rest time.Duration, places, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return rest
	}
	end := now.Add(rest)
	pace := time.Duration(float64(time.Second) / perSecond)
	if t.next.Before(end) {
		t.next = end
	}
	at := t.next.Add(-time.Duration(max(0, places-1)) * pace) // as many as there are places come at once
	t.next = t.next.Add(pace)
	return rest + max(0, at.Sub(end))%MaxReturnSpread
}
