// Package seat decides which nodes of a hall read the store for the others when a whole system starts for the
// first time.
//
// At that moment no node knows any other: the registry is empty, and reading it over and over until it isn't takes
// more than the store can send, if a thousand nodes do so. Each hall has a few seats, keys in the store that the
// first nodes take. Reading them takes a few hundred bytes. The holders read the registry, the configuration and
// the upstream list, and the other nodes ask them. Once the nodes know each other by the registry, seats have no
// meaning.
//
// Nodes with more cores try first (Delay), as a holder sends the list to its whole hall.
//
// Alternatives considered: asking the seeds. There are three at most for the whole fleet, on VMs of any size, and
// they may be in another hall.
package seat

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// prefix is the prefix of the seats' keys.
const prefix = "spurhall/seats/"

const (
	// delayPerCore is the delay of a node with one core, and maxDelay that of the smallest ones. A node with 0.8
	// cores tries before one with 0.2 has read the seats for the last time.
	delayPerCore = 100 * time.Millisecond
	maxDelay     = 600 * time.Millisecond
	// patience is how long a node tries to learn who holds the seats, and pause the time between two tries.
	patience = 3 * time.Second
	pause    = 100 * time.Millisecond
)

// Delay returns how long after its start a node waits before it takes a seat. 0 cores means that they aren't
// known.
func Delay(cores float64) time.Duration {
	if cores <= 0 {
		return maxDelay
	}
	return min(maxDelay, time.Duration(float64(delayPerCore)/cores))
}

// Holder is a node that holds a seat.
type Holder struct {
	Node    string `json:"node"`
	Address string `json:"address"` // of its listener for other nodes
}

// Seats are the seats of one hall.
type Seats struct {
	kv     store.KV
	prefix string
	count  int
}

// New returns the seats of a hall, of which there are so many.
func New(kv store.KV, hall string, count int) *Seats {
	return &Seats{kv: kv, prefix: prefix + hall + "/", count: count}
}

func (s *Seats) key(i int) string { return fmt.Sprint(s.prefix, i) }

// Holders returns the nodes that hold a seat.
func (s *Seats) Holders(ctx context.Context) ([]Holder, error) {
	r, err := s.kv.Range(ctx, s.prefix, store.PrefixEnd(s.prefix))
	if err != nil {
		return nil, err
	}
	var list []Holder
	for _, p := range r.Pairs {
		var h Holder
		if err := json.Unmarshal(p.Value, &h); err == nil && h.Node != "" { // an unreadable one is nobody's, and stays
			list = append(list, h)
		}
	}
	return list, nil
}

// Take takes a free seat for a node, and reports whether there was one.
func (s *Seats) Take(ctx context.Context, h Holder) (bool, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return false, err
	}
	for i := range s.count {
		r, err := s.kv.Txn(ctx, store.Txn{
			If:   []store.Compare{store.Unmodified(s.key(i), 0)},
			Then: []store.Op{{Kind: store.OpPut, Key: s.key(i), Value: b}},
		})
		if err != nil || r.Succeeded {
			return err == nil, err
		}
	}
	return false, nil
}

// Await waits until all seats of the hall are held, or this node has taken one of them, for a limited time. It returns
// the holders, if this node isn't known to be one of them.
func (s *Seats) Await(ctx context.Context, clock *timer.Service, log *zap.Logger, self Holder, cores float64) (holders []Holder, taken bool) {
	begun := clock.Now()
	for clock.Since(begun) < patience {
		list, err := s.Holders(ctx)
		if err == nil && len(list) >= s.count {
			return list, false
		}
		if err == nil && clock.Since(begun) >= Delay(cores) {
			if taken, err = s.Take(ctx, self); taken {
				log.Info("seat_taken", zap.String("key", s.prefix))
				return nil, true
			}
		}
		if err != nil {
			log.Info("seats_unread", zap.String("cause", err.Error()))
		}
		if clock.Sleep(ctx, pause) != nil {
			break
		}
	}
	return nil, false
}
