package soak

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// This file is what a day leaves, and how it is gathered.

// Record is what a day left.
type Record struct {
	Day      Day              `json:"day"`
	Began    time.Time        `json:"began"`
	Replies  []Reply          `json:"-"`
	Events   []Event          `json:"-"`
	Configs  []Change         `json:"configs"`
	Drains   []Drain          `json:"drains"`
	Stops    []Stop           `json:"stops"`
	Before   map[string]Level `json:"before"`
	After    map[string]Level `json:"after"`
	Lost     []string         `json:"lost"` // processes that ended by themselves
	Usage    map[int64][]map[string]int64
	Stalls   []Stall          `json:"stalls"`
	Loads    []Load           `json:"loads,omitempty"`
	Peaks    map[string]int64 `json:"peaks"`    // most resident memory of each daemon, in bytes
	Complete bool             `json:"complete"` // the day was played to its end
}

// Stall is a time in which the VM itself was too busy to run what was due: bounds of time say nothing there.
type Stall struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Change is a configuration, when the store took it.
type Change struct {
	Configuration
	At time.Time `json:"at"`
}

// Drain is an upstream's planned end.
type Drain struct {
	Upstream string    `json:"upstream"`
	At       time.Time `json:"at"`
	Ended    time.Time `json:"ended"`
}

// Stop is a daemon's planned stop.
type Stop struct {
	Daemon int       `json:"daemon"`
	At     time.Time `json:"at"`
	Ended  time.Time `json:"ended"`
}

// sofar is what the day has left until now.
func (s *Stage) sofar(c *callers) Record {
	s.mu.Lock()
	r := s.record
	r.Configs, r.Drains, r.Stops = append([]Change(nil), r.Configs...), append([]Drain(nil), r.Drains...), append([]Stop(nil), r.Stops...)
	r.Stalls, r.Peaks = append([]Stall(nil), r.Stalls...), maps.Clone(r.Peaks)
	s.mu.Unlock()
	r.Replies = c.known()
	r.Events, _ = s.events() // what can't be read now is read at the end
	return r
}

func (s *Stage) events() ([]Event, error) {
	var list []Event
	for i := range s.upstreams {
		l, err := ReadJournal(s.journal(i))
		if err != nil {
			return nil, err
		}
		list = append(list, l...)
	}
	return list, nil
}

// finish gathers what is there once the day is over.
func (s *Stage) finish(ctx context.Context) (Record, error) {
	r := &s.record
	s.lookAtPeaks()
	if r.Complete {
		_ = s.clock.Sleep(ctx, usageLate+usageWindow) // the last windows are reported
		r.After = s.levels()
		if err := ask(ctx, http.MethodGet, "http://"+s.control()+"/standin/usage", nil, &r.Usage); err != nil {
			return Record{}, err
		}
	}
	for _, p := range append([]*Process{s.platform}, append(s.daemons, s.upstreams...)...) {
		for _, why := range p.Lost() {
			r.Lost = append(r.Lost, p.name+": "+why)
		}
	}
	var err error
	r.Events, err = s.events()
	if err != nil {
		return Record{}, err
	}
	return *r, s.keep()
}

// keep writes the record beside the logs.
func (s *Stage) keep() error {
	for name, v := range map[string]any{"day.json": s.day, "record.json": s.record, "replies.json": s.record.Replies} {
		b, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(s.dir, name), b, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stage) levels() map[string]Level {
	m := make(map[string]Level)
	for _, p := range s.daemons {
		if l, err := p.Level(); err == nil { // of one that has ended there is none
			m[p.name] = l
		}
	}
	return m
}
