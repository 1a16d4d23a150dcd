package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/timer"
)

// assertFollowsList checks that what is kept of the upstreams corresponds to the list.
func assertFollowsList(t *rapid.T, p *Pools) {
	services, counts := make(map[string][]string), make(map[Group]int)
	p.list.Items(func(v Item) {
		m := p.members[v.Entry.ID]
		if m == nil || m.entry != v.Entry {
			t.Fatalf("entry %+v is kept as %+v", v.Entry, m)
		}
		services[v.Entry.Service] = append(services[v.Entry.Service], v.Entry.ID)
		counts[v.Entry.group()]++
	})
	for _, l := range services {
		slices.Sort(l)
	}
	kept := make(map[string][]string)
	for name, l := range p.services {
		for _, m := range l {
			kept[name] = append(kept[name], m.entry.ID)
		}
	}
	assert.Equal(t, services, kept)
	assert.Equal(t, counts, p.counts)
	total := 0
	for _, l := range services {
		total += len(l)
	}
	assert.Len(t, p.members, total)
	assertParts(t, p)
}

// assertParts checks what is recorded of the parts that other nodes are sent.
func assertParts(t *rapid.T, p *Pools) {
	kept, all := uint64(0), uint64(0)
	parts := make(map[hallService]part)
	for _, m := range p.members {
		all ^= m.hash
		v := parts[m.hallService()]
		v.count++
		if m.kept {
			kept ^= m.hash
			v.kept++
		}
		parts[m.hallService()] = v
		if m.entry.Hall == p.hall && !m.kept {
			t.Fatalf("%s of the own hall isn't kept", m.entry.ID)
		}
	}
	assert.Equal(t, all, p.listHash)
	assert.Equal(t, kept, p.keptHash)
	assert.Equal(t, len(parts), len(p.parts))
	for k, v := range parts {
		assert.Equal(t, v.count, p.parts[k].count)
		assert.Equal(t, v.kept, p.parts[k].kept)
		if k.hall != p.hall {
			assert.LessOrEqual(t, v.kept, maxKept)
		}
	}
}

// TestPartsOfLargeHalls draws sizes of a hall and checks that a part of bounded size is kept of it, and all of a
// small one.
func TestPartsOfLargeHalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(timer.NewManual(start).Service(), "self", "a")
		size := 0
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			next := rapid.IntRange(0, 3000).Draw(t, "size")
			p.Update(func(l *List) {
				for i := range max(size, next) {
					v := item(fmt.Sprint("u", i), 1)
					v.Entry.Hall = "b"
					switch {
					case i >= next:
						l.Delete(start, v.Entry.ID)
					case i >= size:
						l.Put(v)
					}
				}
			})
			size = next
			assertParts(t, p)
			if v := p.parts[hallService{"s", "b"}]; size > 4*maxKept {
				assert.Greater(t, v.kept, minKept/2)
			} else if size > 0 && size < minKept {
				assert.Equal(t, size, v.kept)
			}
		}
	})
}

// TestUpdatesFollowTheList draws changes of the list, many of them in one update, and checks after each update
// that what is kept of the upstreams is what a complete pass over the list would give.
func TestUpdatesFollowTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := timer.NewManual(start)
		p := New(c.Service(), "self", "a")
		p.SetSplit("s0", Split{Target: "v1", TrialUpstreams: 2})
		revision := int64(0)
		entry := func() Item {
			revision++
			return Item{Revision: revision, Entry: Entry{
				ID: fmt.Sprint("u", rapid.IntRange(0, 40).Draw(t, "id")), Service: fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service")),
				Hall: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall"), Version: fmt.Sprint("v", rapid.IntRange(0, 1).Draw(t, "version")),
				Born: int64(rapid.IntRange(0, 2).Draw(t, "born")), Leaving: rapid.Bool().Draw(t, "leaving"), Address: "10.0.0.1:80",
			}}
		}
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			p.Update(func(l *List) {
				for range rapid.SampledFrom([]int{1, 2, 40}).Draw(t, "changes") {
					switch rapid.IntRange(0, 6).Draw(t, "change") {
					case 0:
						l.Delete(c.Service().Now(), entry().Entry.ID)
					case 1:
						l.MarkUnreadable(revision, entry().Entry.ID)
					case 2:
						l.MarkLeaving(entry().Entry)
					case 3:
						l.StoreReturned(c.Service().Now())
					case 4:
						l.Expire(c.Service().Now())
					default:
						l.Put(entry())
					}
				}
			})
			assertFollowsList(t, p)
			c.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
		}
	})
}

// TestNewestReportCountsOnlyListedUpstreams checks that requests at an upstream that is no longer listed, or
// whose incarnation has ended, aren't reported as load of its successor.
func TestNewestReportCountsOnlyListedUpstreams(t *testing.T) {
	c := timer.NewManual(start)
	p := New(c.Service(), "self", "a")
	v := item("u", 1)
	v.Entry.Born = 1
	p.Update(func(l *List) { l.Put(v) })
	u := p.Pick(Request{ID: "r", Service: "s"})
	loads, _ := p.Report()
	assert.Len(t, loads, 1)
	v.Entry.Born, v.Revision = 2, 2
	p.Update(func(l *List) { l.Put(v) })
	loads, _ = p.Report()
	assert.Empty(t, loads)
	u.End(ResultGood)
	assert.Empty(t, p.busy)
}
