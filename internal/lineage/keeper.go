package lineage

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// This file tells other nodes which version began a stream, and asks them.

const (
	// maxUntold bounds the records that wait to be told: some seconds of a node's streams.
	maxUntold = 4096
	// tellDelay is how long a record waits for others to the same nodes. A node that ends meanwhile takes it along.
	tellDelay   = 5 * time.Millisecond
	tellTimeout = 400 * time.Millisecond
	tellTries   = 2
	// askTimeout bounds the wait for a node that is asked: some ten round trips.
	askTimeout = 250 * time.Millisecond
	// findTries is how often all are asked who answer: a stream that has just begun may not have been told yet.
	findTries = 2
	findPause = 60 * time.Millisecond
	// findTimeout bounds the search while some don't answer: nodes that are starting again are back within about a second.
	findTimeout = time.Second
	// MaxTime bounds for how long a stream is remembered.
	MaxTime = pool.StreamsLast
)

// ErrNotRestored means that a node can't say yet what it knows: it hasn't read what its process before stored.
var ErrNotRestored = errorx.NewNamespace("lineage").NewType("not_restored").New("what the process before knew hasn't been read yet")

// ErrOutOfStep means that a node can't say that nobody knows a stream: who began it may not have reached this node.
var ErrOutOfStep = errorx.NewNamespace("lineage").NewType("out_of_step").New("this node is out of step with the others")

// Options configures a keeper. All fields are required, but for those of saved.go.
type Options struct {
	Clock *timer.Service
	Log   *zap.Logger
	Node  string // name of this node
	// Nodes returns the nodes that may keep records, this one included.
	Nodes func() []Node
	// InStep reports whether this node is in step with the others.
	InStep func() bool
	// Tell tells another node of streams.
	Tell func(ctx context.Context, node string, list []Record) error
	// Ask asks another node for a stream that is to go on at a service, and hears which versions that one knows.
	Ask func(ctx context.Context, node string, k Key, service string) (version string, known bool, err error)
	Saved
}

// Keeper is what a node remembers of streams, and what it has to tell. It is safe for concurrent use.
type Keeper struct {
	o      Options
	book   *Book
	untold chan Record

	restored     chan struct{} // closed once what the process before stored has been read
	start        time.Time
	unsavedSince atomic.Int64  // nanoseconds from start until the first was kept that has to be saved; 0: none
	kept         atomic.Int64  // number of streams that it has come to keep
	saved        atomic.Int64  // that number at the last save
	dirty        chan struct{} // has one element if it may differ
}

// NewKeeper returns a keeper that knows of no stream.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{o: o, start: o.Clock.Now(), book: NewBook(), untold: make(chan Record, maxUntold), restored: make(chan struct{}), dirty: make(chan struct{}, 1)}
	if o.Load == nil {
		close(k.restored)
	}
	return k
}

// Tell remembers a stream and has it told to its keepers.
func (k *Keeper) Tell(r Record) {
	k.book.Add(k.o.Clock.Now(), r)
	select {
	case k.untold <- r:
	default:
		events.Add("untold", 1)
	}
}

// Hear remembers streams that another node began.
func (k *Keeper) Hear(list []Record) {
	now := k.o.Clock.Now()
	for _, r := range list {
		if r.Left > 0 && r.Left <= MaxTime {
			k.keep(k.book.Add(now, r))
		}
	}
}

// Answer returns the version that began a stream, if this node knows it, to a node that asks. ErrNotRestored: it may yet.
// ErrOutOfStep: another node may know it that this one doesn't reach.
func (k *Keeper) Answer(x Key) (version string, known bool, err error) {
	version, known = k.Version(x)
	if !known && !k.isRestored() {
		return "", false, ErrNotRestored
	}
	if !known && !k.o.InStep() {
		return "", false, ErrOutOfStep
	}
	return version, known, nil
}

// Version returns the version that began a stream, if this node knows it.
func (k *Keeper) Version(x Key) (version string, known bool) {
	return k.book.Version(k.o.Clock.Now(), x)
}

// Run tells other nodes of streams until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-k.untold:
			if k.o.Clock.Sleep(ctx, tellDelay) != nil {
				return
			}
			k.tellAll(ctx, k.take(r)) // doesn't wait: a node that is slow holds up no other
		}
	}
}

// take returns a record and those that wait behind it.
func (k *Keeper) take(r Record) []Record {
	list := []Record{r}
	for {
		select {
		case r := <-k.untold:
			list = append(list, r)
		default:
			return list
		}
	}
}

// HandOn tells the nodes that stay all that this one remembers, before it stops. It is to be called when it begins to
// stop, since the others no longer ask it, and just before its end, since some have told it more.
func (k *Keeper) HandOn(ctx context.Context) {
	list := k.book.Records(k.o.Clock.Now())
	k.tellAll(ctx, list).Wait()
	if len(list) > 0 {
		k.o.Log.Info("streams_handed_on", zap.Int("streams", len(list)))
	}
}

// tellAll tells streams to their keepers, in messages of bounded size.
func (k *Keeper) tellAll(ctx context.Context, list []Record) *sync.WaitGroup {
	nodes := Candidates(k.o.Nodes())
	byNode := make(map[string][]Record)
	for _, r := range list {
		for _, name := range Told(r.Key, nodes) {
			byNode[name] = append(byNode[name], r)
		}
	}
	k.keep(len(byNode[k.o.Node]))
	delete(byNode, k.o.Node)
	var w sync.WaitGroup
	for name, l := range byNode {
		for part := range slices.Chunk(l, maxUntold) {
			w.Go(func() { k.tell(ctx, name, part) }) // bounded by its time-outs
		}
	}
	return &w
}

func (k *Keeper) tell(ctx context.Context, node string, list []Record) {
	var err error
	for range tellTries {
		c, cancel := context.WithTimeout(ctx, tellTimeout)
		err = k.o.Tell(c, node, list)
		cancel()
		if err == nil {
			events.Add("told", int64(len(list)))
			return
		}
	}
	events.Add("untold", int64(len(list)))
	k.o.Log.Info("streams_untold", zap.String("peer", node), zap.Int("streams", len(list)), zap.String("cause", err.Error()))
}

// Found is what is known of a stream.
type Found struct {
	Version string // that began it
	Known   bool
	// Lost reports that all nodes that were asked have answered, and none knows the stream.
	Lost bool
	// Denied reports that it is lost, and that another node is among those that have answered.
	Denied bool
}

// Find returns the version that began a stream, if this node or one of the stream's keepers knows it. It asks again while
// some of them don't answer. Those that don't know it say which versions of the service may have begun it.
func (k *Keeper) Find(ctx context.Context, x Key, service string) Found {
	if v, ok := k.Version(x); ok {
		return Found{Version: v, Known: true}
	}
	c, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answered, others := 0, 0
	for names := Asked(x, Candidates(k.o.Nodes())); answered < findTries; names = AskedWidely(x, k.o.Nodes()) {
		v, ok, asked, all := k.ask(c, x, service, names)
		if ok {
			events.Add("found", 1)
			return Found{Version: v, Known: true}
		}
		if all {
			answered++
			others = max(others, asked)
		}
		if k.o.Clock.Sleep(c, findPause) != nil {
			break
		}
	}
	events.Add("not_found", 1)
	lost := answered >= findTries
	return Found{Lost: lost, Denied: lost && others > 0}
}

// answer is what a node said that was asked.
type answer struct {
	version string
	known   bool
	err     error
}

// ask asks nodes that may know a stream, and returns how many others it asked and whether all of them answered.
func (k *Keeper) ask(c context.Context, x Key, service string, names []string) (version string, known bool, asked int, all bool) {
	answers := make(chan answer, len(names))
	for _, name := range names {
		if name == k.o.Node {
			continue
		}
		asked++
		go func() { answers <- k.askNode(c, name, x, service) }()
	}
	all = true
	for range asked {
		a := <-answers
		if a.known {
			return a.version, true, asked, true
		}
		all = all && a.err == nil
	}
	version, known = k.Version(x) // this node may have been told meanwhile
	return version, known, asked, all && k.isRestored()
}

func (k *Keeper) askNode(c context.Context, name string, x Key, service string) answer {
	t, cancel := context.WithTimeout(c, askTimeout)
	defer cancel()
	v, known, err := k.o.Ask(t, name, x, service)
	if err != nil && !errors.Is(context.Cause(c), context.Canceled) { // another one has answered
		k.o.Log.Info("find_failed", zap.String("peer", name), zap.String("cause", err.Error()))
	}
	return answer{v, known && err == nil, err}
}

var events = expvar.NewMap("streams")
