package message

import (
	"time"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/wire"
)

// StreamsToWire converts which versions began streams.
func StreamsToWire(list []lineage.Record) []*wire.StreamRecord {
	m := make([]*wire.StreamRecord, 0, len(list))
	for _, r := range list {
		m = append(m, &wire.StreamRecord{Key: uint64(r.Key), Version: r.Version, LeftMs: r.Left.Milliseconds()})
	}
	return m
}

// StreamsFromWire is the inverse of StreamsToWire.
func StreamsFromWire(m []*wire.StreamRecord) []lineage.Record {
	list := make([]lineage.Record, 0, len(m))
	for _, v := range m {
		list = append(list, lineage.Record{Key: lineage.Key(v.GetKey()), Version: v.GetVersion(), Left: time.Duration(v.GetLeftMs()) * time.Millisecond})
	}
	return list
}
