package forward

import (
	"expvar"
	"strconv"
	"time"

	"spurhall.example/spurhall/internal/metric"
)

var (
	counters  = expvar.NewMap("forward")
	outcomes  = expvar.NewMap("forward_outcomes")
	orders    = expvar.NewMap("forward_order") // by reason
	latencies = metric.NewHistograms("forward_latency")
)

func count(name string, n int64)           { counters.Add(name, n) }
func gauge(name string, n int64)           { counters.Add(name, n) }
func observe(name string, d time.Duration) { latencies.Observe(name, d) }

func countOutcome(outcome string, status int) {
	outcomes.Add(outcome+"_"+strconv.Itoa(status), 1)
}
