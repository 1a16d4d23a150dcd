package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// newVersions returns pools with an upstream of v1, listed first, and one of v2.
func newVersions(t *testing.T) (*Pools, *timer.Manual) {
	t.Helper()
	c := timer.NewManual(time.Unix(1000, 0))
	p := New(c.Service(), "n", "h")
	put := func(revision int64, id, version string) {
		p.Update(func(l *List) {
			l.Put(Item{Revision: revision, Entry: Entry{ID: id, Service: "s", Address: id, Hall: "h", Version: version, Slots: 8}})
		})
	}
	put(1, "a", "v1")
	put(2, "b", "v2")
	return p, c
}

func TestPickOfAVersion(t *testing.T) {
	picked := func(p *Pools, version string) string {
		u := p.Pick(Request{Service: "s", Version: version})
		if u == nil {
			return ""
		}
		u.End(ResultGood)
		return u.Entry().ID
	}
	t.Run("while both serve", func(t *testing.T) {
		p, c := newVersions(t)
		c.Advance(versionGrace)
		for range 10 {
			assert.Equal(t, "a", picked(p, "v1"))
			assert.Equal(t, "b", picked(p, "v2"))
		}
	})
	t.Run("in a roll-out to the other", func(t *testing.T) {
		p, _ := newVersions(t)
		p.SetSplit("s", Split{Target: "v2", ToTarget: true})
		assert.Equal(t, "a", picked(p, "v1"))
	})
	t.Run("on trial", func(t *testing.T) {
		p, _ := newVersions(t)
		p.SetSplit("s", Split{Target: "v2", TrialUpstreams: 1})
		assert.Equal(t, "b", picked(p, "v2"))
	})
	t.Run("after a roll-out was taken back", func(t *testing.T) {
		p, _ := newVersions(t)
		p.SetSplit("s", Split{Barred: map[string]bool{"v2": true}})
		assert.Empty(t, picked(p, "v2"))
	})
	t.Run("of which there is none", func(t *testing.T) {
		p, _ := newVersions(t)
		assert.Empty(t, picked(p, "v3"))
	})
}

func TestStreamVersions(t *testing.T) {
	p, c := newVersions(t)
	known, used := p.StreamVersions("s")
	assert.Equal(t, []string{"v1", "v2"}, known)
	assert.Equal(t, []string{"v1"}, used, "the new one gets no requests yet")
	c.Advance(versionGrace)
	_, used = p.StreamVersions("s")
	assert.Equal(t, []string{"v1", "v2"}, used)
	p.Update(func(l *List) { l.Delete(c.Service().Now(), "a") })
	known, _ = p.StreamVersions("s")
	assert.Equal(t, []string{"v1", "v2"}, known, "its streams may still be taken up")
	c.Advance(StreamsLast + time.Second)
	known, _ = p.StreamVersions("s")
	assert.Equal(t, []string{"v2"}, known)
}

// TestVersionsThatServedBeforeThisProcess guards against a process that takes the one listed version for the only one there ever was.
func TestVersionsThatServedBeforeThisProcess(t *testing.T) {
	stored := map[string][]string{"s": {"v0", "v1"}}
	assertKnown := func(t *testing.T, p *Pools, want, wantUsed []string) {
		t.Helper()
		known, used := p.StreamVersions("s")
		assert.Equal(t, want, known)
		assert.Equal(t, wantUsed, used)
	}
	t.Run("read after the list", func(t *testing.T) {
		p, c := newVersions(t) // v1 is listed, v2 is new
		p.RestoreVersions(stored)
		assertKnown(t, p, []string{"v0", "v1", "v2"}, []string{"v0", "v1"})
		c.Advance(StreamsLast + time.Second)
		assertKnown(t, p, []string{"v1", "v2"}, []string{"v1", "v2"})
		p.RestoreVersions(stored)
		assertKnown(t, p, []string{"v1", "v2"}, []string{"v1", "v2"})
	})
	t.Run("read before the list", func(t *testing.T) {
		c := timer.NewManual(time.Unix(1000, 0))
		p := New(c.Service(), "n", "h")
		p.RestoreVersions(stored)
		p.Update(func(l *List) {
			l.Put(Item{Entry: Entry{ID: "c", Service: "s", Address: "c", Hall: "h", Version: "v1"}, Revision: 1})
		})
		assertKnown(t, p, []string{"v0", "v1"}, []string{"v0", "v1"})
		assert.Equal(t, map[string][]string{"s": {"v0", "v1"}}, p.LateVersions())
		c.Advance(StreamsLast + time.Second)
		assert.Equal(t, map[string][]string{"s": {"v1"}}, p.LateVersions())
	})
}

// TestUpstreamThatComesBackAtAnotherVersion guards against an entry that is written over with another version: a request that
// was chosen for the old one runs at the new one, which isn't known to be used.
func TestUpstreamThatComesBackAtAnotherVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		born int64
	}{
		{"which says when it started", 2000},
		{"which doesn't", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			p := New(clock.Service(), "n", "h")
			put := func(revision, born int64, version string) {
				p.Update(func(l *List) {
					l.Put(Item{Revision: revision, Entry: Entry{ID: "a", Service: "s", Address: "a", Hall: "h", Version: version, Slots: 8, Born: born}})
				})
			}
			put(1, c.born/2, "v1")
			u := p.Pick(Request{Service: "s", Version: "v1"})
			if assert.NotNil(t, u) {
				defer u.End(ResultInconclusive)
			}
			put(2, c.born, "v2")
			assert.NotEmpty(t, u.Unavailable())
			assert.Nil(t, p.Pick(Request{Service: "s", Version: "v1"}))
			known, used := p.StreamVersions("s")
			assert.Equal(t, []string{"v1", "v2"}, known)
			assert.Equal(t, []string{"v1"}, used)
			clock.Advance(versionGrace)
			_, used = p.StreamVersions("s")
			assert.Equal(t, []string{"v1", "v2"}, used)
		})
	}
}

// TestVersionThatComesAndGoesWithinOneUpdateIsNeverKnown guards against entries that change more than once within a batch of
// events: which versions they had in between was never recorded.
func TestVersionThatComesAndGoesWithinOneUpdateIsNeverKnown(t *testing.T) {
	item := func(revision int64, id, version string) Item {
		return Item{Revision: revision, Entry: Entry{ID: id, Service: "s", Address: id, Hall: "h", Version: version, Slots: 8}}
	}
	for _, c := range []struct {
		name   string
		update func(now time.Time, l *List)
	}{
		{"put and removed", func(now time.Time, l *List) { l.Put(item(2, "b", "v2")); l.Remove(now, 3, "b") }},
		{"written over and back", func(_ time.Time, l *List) { l.Put(item(2, "a", "v2")); l.Put(item(3, "a", "v1")) }},
		{"put and unreadable", func(_ time.Time, l *List) { l.Put(item(2, "b", "v2")); l.MarkUnreadable(3, "b") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			p := New(clock.Service(), "n", "h")
			p.Update(func(l *List) { l.Put(item(1, "a", "v1")) })
			p.Update(func(l *List) { c.update(clock.Service().Now(), l) })
			known, _ := p.StreamVersions("s")
			assert.Equal(t, []string{"v1", "v2"}, known)
			clock.Advance(StreamsLast + time.Second)
			known, _ = p.StreamVersions("s")
			assert.Equal(t, []string{"v1"}, known)
		})
	}
}

// TestForgottenVersionComesBackAsKnown guards against a version that gets requests at once from nodes that knew it long ago,
// while others may not have heard of it.
func TestForgottenVersionComesBackAsKnown(t *testing.T) {
	p, c := newVersions(t)
	c.Advance(versionGrace)
	p.Update(func(l *List) { l.Remove(c.Service().Now(), 3, "b") })
	list := func(revision int64) {
		p.Update(func(l *List) {
			l.Put(Item{Revision: revision, Entry: Entry{ID: "b", Service: "s", Address: "b", Hall: "h", Version: "v2", Slots: 8}})
		})
	}
	c.Advance(StreamsLast)
	list(4)
	_, used := p.StreamVersions("s")
	assert.Equal(t, []string{"v1", "v2"}, used, "it hasn't been forgotten")
	p.Update(func(l *List) { l.Remove(c.Service().Now(), 5, "b") })
	c.Advance(StreamsLast + time.Second)
	list(6)
	_, used = p.StreamVersions("s")
	assert.Equal(t, []string{"v1"}, used)
	c.Advance(versionGrace)
	_, used = p.StreamVersions("s")
	assert.Equal(t, []string{"v1", "v2"}, used)
}

func TestHearVersions(t *testing.T) {
	assertVersions := func(t *testing.T, p *Pools, known, used []string) {
		t.Helper()
		k, u := p.StreamVersions("s")
		assert.Equal(t, known, k)
		assert.Equal(t, used, u)
	}
	p, c := newVersions(t) // v1, and v2 which is new
	assert.False(t, p.HearVersions("s", p.LateVersionsOf("s")), "it has them all")
	assert.False(t, p.HearVersions("s", []LateVersion{{"v0", StreamsLast + 1}}))
	assert.True(t, p.HearVersions("s", []LateVersion{{"v0", time.Minute}, {"v3", 0}}))
	assertVersions(t, p, []string{"v0", "v1", "v2", "v3"}, []string{"v0", "v1"})
	assert.False(t, p.HearVersions("s", []LateVersion{{"v0", 2 * time.Minute}}))
	list := p.LateVersionsOf("s")
	assert.Equal(t, []LateVersion{{"v0", time.Minute}, {"v1", 0}, {"v2", 0}}, list[:3])
	c.Advance(StreamsLast - time.Minute + time.Second)
	assertVersions(t, p, []string{"v1", "v2", "v3"}, []string{"v1", "v2", "v3"})
	assert.True(t, p.HearVersions("t", []LateVersion{{"v0", time.Minute}}), "a service that isn't listed")
}
