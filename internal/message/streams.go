package message

import (
	"time"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/pool"
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

// VersionsToWire converts the versions of a service that may have begun streams.
func VersionsToWire(list []pool.LateVersion) []*wire.LateVersion {
	m := make([]*wire.LateVersion, 0, len(list))
	for _, v := range list {
		m = append(m, &wire.LateVersion{Version: v.Version, GoneAgoMs: v.GoneAgo.Milliseconds()})
	}
	return m
}

// VersionsFromWire is the inverse of VersionsToWire. It leaves out what can't be: names without an end, times to come.
func VersionsFromWire(m []*wire.LateVersion) []pool.LateVersion {
	list := make([]pool.LateVersion, 0, min(len(m), maxVersions))
	for _, v := range m[:min(len(m), maxVersions)] {
		if ms := v.GetGoneAgoMs(); ms >= 0 && ms <= pool.StreamsLast.Milliseconds() && len(v.GetVersion()) <= maxVersionName {
			list = append(list, pool.LateVersion{Version: v.GetVersion(), GoneAgo: time.Duration(ms) * time.Millisecond})
		}
	}
	return list
}

// ServiceVersionsToWire converts the versions of services that may have begun streams.
func ServiceVersionsToWire(list []pool.ServiceVersions) []*wire.ServiceVersions {
	m := make([]*wire.ServiceVersions, 0, len(list))
	for _, v := range list {
		m = append(m, &wire.ServiceVersions{Service: v.Service, Versions: VersionsToWire(v.Versions)})
	}
	return m
}

// ServiceVersionsFromWire is the inverse of ServiceVersionsToWire.
func ServiceVersionsFromWire(m []*wire.ServiceVersions) []pool.ServiceVersions {
	list := make([]pool.ServiceVersions, 0, len(m))
	for _, v := range m {
		list = append(list, pool.ServiceVersions{Service: v.GetService(), Versions: VersionsFromWire(v.GetVersions())})
	}
	return list
}

const (
	maxVersions    = 64  // of one service in a message
	maxVersionName = 256 // bytes
)
