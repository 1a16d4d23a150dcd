package memory

// This file learns what the responses of a service usually weigh.

const (
	// leastUsual is what a response of any service may weigh, in bytes, before it counts as larger than usual.
	leastUsual = smallSize
	// usualGain is how far the usual size falls with each whole response that is smaller. A larger one raises it at once.
	usualGain = 1.0 / 64
)

// Observe records the size in bytes of a service's whole response.
func (b *Budget) Observe(service string, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, v := b.usualSize(service), float64(size)
	b.usual[service] = max(v, leastUsual, u-usualGain*(u-v))
}

// Usual returns the size in bytes that a response of a service usually has at most.
func (b *Budget) Usual(service string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.usualSize(service))
}

func (b *Budget) usualSize(service string) float64 { return max(b.usual[service], leastUsual) }
