package link

// This file learns what the responses of a service, and the events of its streams, usually have. Unlike package memory's, the
// sizes begin small: a response that a VM has ample memory for may take a small link for long.

const (
	// leastUsual is what any response or event may have, in bytes, before it counts as larger than usual.
	leastUsual = 4 << 10
	// usualGain is how far the usual size falls with each whole response that is smaller. A larger one raises it at once.
	usualGain = 1.0 / 64
)

// key is that of what is learned.
type key struct {
	service string
	events  bool
}

func (r *Response) key() key { return key{r.o.Service, r.o.Events} }

// observe records the size in bytes of a whole response or event.
func (l *Link) observe(k key, size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, v := float64(l.usualSize(k)), float64(size)
	l.usual[k] = max(v, leastUsual, u-usualGain*(u-v))
}

// Usual returns the size in bytes that a response, or an event of it, usually has at most.
func (l *Link) Usual(o Options) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usualSize(key{o.Service, o.Events})
}

func (l *Link) usualSize(k key) int64 { return max(int64(l.usual[k]), leastUsual) }
