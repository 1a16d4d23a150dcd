package edge

import (
	"expvar"
	"strings"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// This file shares how fast upstreams are lastingly (package speed). What a node has seen is part of its reports.
// Where each pair swaps reports in each round, every node joins them; else the relays do, send each other parts
// with their groups, and their nodes the figures with the digests.

// maxSpeedLines bounds the lines that one round logs.
const maxSpeedLines = 8

// upstreamSpeeds counts the changes of upstreams' lasting speeds.
var upstreamSpeeds = expvar.NewMap("upstream_speeds")

// updateSpeeds computes the speeds anew, and logs those that changed.
func (n *Node) updateSpeeds() {
	for i, v := range n.pools.UpdateSpeeds() {
		upstreamSpeeds.Add("changes", 1)
		if i >= maxSpeedLines {
			upstreamSpeeds.Add("not_logged", 1)
			continue
		}
		n.log.Info("upstream_speed", zap.String("upstream", v.Entry.ID), zap.String("service", v.Entry.Service), zap.Int64("born", v.Entry.Born),
			logging.Hundredths("speed", v.Speed), logging.Hundredths("before", v.Before), logging.Hundredths("responses", v.Weight))
	}
}

// swapsAllPairs reports whether each pair of nodes swaps reports in each round, so that no relays are needed.
func (n *Node) swapsAllPairs() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return pair.Interval(n.peers.size()) <= pair.Round
}

// mergeSeenSpeeds merges what the sender of a report has seen.
func (n *Node) mergeSeenSpeeds(r *wire.NodeReport) {
	n.pools.ApplySeenSpeeds(r.Node, message.SeenSpeedsFromWire(r.Speeds))
}

// hallSpeed is the number of a hall's ready upstreams, and the sum of their relative speeds.
type hallSpeed struct {
	count int
	sum   float64
}

// hallSpeeds holds the speeds of one service's ready upstreams by hall.
type hallSpeeds map[string]hallSpeed

// add adds a group of upstreams, unless they are leaving.
func (h hallSpeeds) add(g pool.GroupCount) {
	if g.Leaving {
		return
	}
	v := h[g.Hall]
	v.count += g.Count - g.Lost
	v.sum += g.Speed
	h[g.Hall] = v
}

// mean returns the mean relative speed of a hall's ready upstreams; 1 if it has none.
func (h hallSpeeds) mean(hall string) float64 {
	v := h[hall]
	if v.count <= 0 {
		return 1
	}
	return v.sum / float64(v.count)
}

// meanPrefix starts the names of the metrics of halls' mean speeds.
const meanPrefix = "mean_"

// addHallSpeeds adds the mean speeds of the halls' ready upstreams of a service, by the names of their metrics.
func addHallSpeeds(means map[string]float64, service string, halls []autoscale.HallState) {
	for _, h := range halls {
		means[meanPrefix+service+"_"+h.Hall] = h.Speed
	}
}

// publishHallSpeeds exports the mean speeds as metrics, and removes those of other services and halls: only the node
// that orders upstreams has any.
func publishHallSpeeds(means map[string]float64) {
	var old []string
	upstreamSpeeds.Do(func(v expvar.KeyValue) {
		if _, ok := means[v.Key]; !ok && strings.HasPrefix(v.Key, meanPrefix) {
			old = append(old, v.Key)
		}
	})
	for _, name := range old {
		upstreamSpeeds.Delete(name)
	}
	for name, mean := range means {
		f, ok := upstreamSpeeds.Get(name).(*expvar.Float)
		if !ok {
			f = new(expvar.Float)
			upstreamSpeeds.Set(name, f)
		}
		f.Set(mean)
	}
}
