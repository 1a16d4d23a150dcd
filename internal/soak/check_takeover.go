package soak

import (
	"fmt"
	"net/http"
	"slices"
)

// checkTakeover: where the large daemons of a hall stop as planned, each request at the others gets its answer in time.
func checkTakeover(v *view) []Failure {
	return v.eachReply("takeover", func(r *Reply) string {
		f := v.takeoverAround(r)
		if f == nil || !r.Wrote || r.Call.bad() || !v.calm(r.Sent, r.Done, mayDisturb) {
			return ""
		}
		when := v.at(r.Sent) - f.At
		switch took := r.Done.Sub(r.Sent); {
		case r.Status == 0:
			return fmt.Sprintf("no answer after %v, sent %v after the large daemons of %s were told to stop: %s", took, when, hallName(f.Hall), r.Error)
		case r.good() && !r.Whole && !v.drained(r):
			return fmt.Sprintf("cut after %v, sent %v after the large daemons of %s were told to stop: %s", took, when, hallName(f.Hall), r.Error)
		case r.Status == http.StatusGatewayTimeout || took > callWait+lossSlack:
			return fmt.Sprintf("status %d after %v, sent %v after the large daemons of %s were told to stop", r.Status, took, when, hallName(f.Hall))
		}
		return ""
	})
}

// takeoverAround returns the takeover during which a request was sent to a daemon that goes on; nil: there is none.
func (v *view) takeoverAround(r *Reply) *Fault {
	for i := range v.Day.Faults {
		f := &v.Day.Faults[i]
		if f.Kind == FaultTakeover && v.at(r.Sent) >= f.At && v.at(r.Sent) <= f.passed() && !slices.Contains(f.Who, r.Call.Daemon) {
			return f
		}
	}
	return nil
}

// mayDisturb tells whether a fault excuses what a caller gets during a takeover.
func mayDisturb(f Fault) bool {
	return unplanned(f) || f.Kind == FaultTerm || f.Kind == FaultPress || f.Kind == FaultReclaim
}
