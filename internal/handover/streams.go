package handover

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// This file stores which version of an upstream's software began the streams that a node remembers (package lineage), for
// that node's next process, and which versions served lately, for every process that starts. A loss of all processes
// would leave nobody else who knows.

// streamsPrefix is the prefix of the keys of all nodes' streams.
const streamsPrefix = "spurhall/streams/"

// streamsLease is how long a node's streams stay in the store, and renewAfter is when they get a new lease: the key of a
// node that never comes back goes with it.
const (
	streamsLease = lineage.MaxTime
	renewAfter   = streamsLease / 4
)

// A stream takes ten bytes of a value: its key, and for how long it may be taken up in units of leftUnit.
const (
	streamSize = 10
	leftUnit   = 10 * time.Millisecond
	maxLeft    = (1<<16 - 1) * leftUnit
)

// streamsValue is what one node remembers.
type streamsValue struct {
	At      int64             `json:"at"`      // Unix milliseconds
	Streams map[string][]byte `json:"streams"` // by version
}

// Streams stores the streams that one node remembers. It is safe for concurrent use.
type Streams struct {
	store *Store
	node  string
	clock *timer.Service

	mu        sync.Mutex
	lease     int64 // 0: none
	grantedAt time.Time
}

// NewStreams returns what is stored of a node's streams.
func NewStreams(s *Store, clock *timer.Service, node string) *Streams {
	return &Streams{store: s, clock: clock, node: node}
}

// Save stores streams.
func (v *Streams) Save(ctx context.Context, list []lineage.Record) error {
	id, err := v.leaseID(ctx)
	if err != nil {
		return err
	}
	b, err := json.Marshal(streamsValue{At: v.clock.Wall().UnixMilli(), Streams: encodeStreams(list)})
	if err != nil {
		return err
	}
	_, err = v.store.KV.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpPut, Key: streamsPrefix + v.node, Value: b, Lease: id}}})
	if err != nil {
		v.Forget() // it may be over
	}
	return err
}

// leaseID returns the lease of the node's key, a new one if it has none or an old one.
func (v *Streams) leaseID(ctx context.Context) (int64, error) {
	now := v.clock.Now()
	v.mu.Lock()
	id, old := v.lease, now.Sub(v.grantedAt) > renewAfter
	v.mu.Unlock()
	if id != 0 && !old {
		return id, nil
	}
	id, err := v.store.KV.Grant(ctx, streamsLease) // its response may call Forget
	if err != nil {
		return 0, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lease, v.grantedAt = id, now
	return id, nil
}

// Forget drops the lease: the store has come back from a copy, which may not have it.
func (v *Streams) Forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lease = 0
}

// Load returns the streams that this node's process before has stored. An error means that the store wasn't available.
func (v *Streams) Load(ctx context.Context) ([]lineage.Record, error) {
	var s streamsValue
	r := Record{Name: "streams", Key: streamsPrefix + v.node}
	found, err := v.store.Load(ctx, r, &s)
	if err != nil && found { // of another build, or damaged: it stays unreadable
		v.store.Log.Warn("streams_unreadable", zap.String("cause", err.Error()))
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeStreams(s.Streams, max(0, v.clock.Wall().Sub(time.UnixMilli(s.At)))), nil
}

func encodeStreams(list []lineage.Record) map[string][]byte {
	m := make(map[string][]byte)
	for _, r := range list {
		left := min(r.Left, maxLeft)/leftUnit + 1
		b := binary.BigEndian.AppendUint64(m[r.Version], uint64(r.Key))
		m[r.Version] = binary.BigEndian.AppendUint16(b, uint16(min(left, maxLeft/leftUnit)))
	}
	return m
}

// decodeStreams returns the streams that may still be taken up after some time. Bytes that aren't whole are left out.
func decodeStreams(m map[string][]byte, age time.Duration) []lineage.Record {
	var list []lineage.Record
	for version, b := range m {
		for ; len(b) >= streamSize; b = b[streamSize:] {
			left := time.Duration(binary.BigEndian.Uint16(b[8:]))*leftUnit - age
			if left > 0 {
				list = append(list, lineage.Record{Key: lineage.Key(binary.BigEndian.Uint64(b)), Version: version, Left: left})
			}
		}
	}
	return list
}

// VersionsRecord holds the versions that served lately, by service.
var VersionsRecord = Record{Name: "versions", Key: "spurhall/versions"}

// Versions stores the versions that served lately, for the holder of the duties.
type Versions struct {
	token   int64 // of the term in which they were written
	written map[string][]string
}

// Write stores the versions that served lately when they have changed. The next step repeats a failed write.
func (v *Versions) Write(ctx context.Context, s *Store, token int64, now map[string][]string) {
	if len(now) == 0 || token == v.token && equalVersions(now, v.written) {
		return
	}
	if s.Write(ctx, VersionsRecord, token, now) {
		v.token, v.written = token, now
	}
}

func equalVersions(a, b map[string][]string) bool {
	if len(a) != len(b) {
		return false
	}
	for service, list := range a {
		if !slices.Equal(list, b[service]) {
			return false
		}
	}
	return true
}

// ReadVersions returns the versions that were stored before this process started, by service. An error means that the
// store wasn't available.
func ReadVersions(ctx context.Context, s *Store) (map[string][]string, error) {
	var m map[string][]string
	found, err := s.Load(ctx, VersionsRecord, &m)
	if err != nil && found {
		s.Log.Warn("versions_unreadable", zap.String("cause", err.Error()))
		return nil, nil
	}
	return m, err
}
