package follow

import (
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/store"
)

// Unreadable maps the keys of entries that can't be decoded to the reasons that were logged. It isn't safe for concurrent
// use.
type Unreadable map[string]string

// maxUnreadable bounds the remembered keys, and so the log lines about them.
const maxUnreadable = 256

// Record logs a key and its reason once, and reports whether it did.
func (u Unreadable) Record(log *zap.Logger, p store.Pair, err error) bool {
	reason := err.Error()
	if u[p.Key] == reason || len(u) >= maxUnreadable {
		return false
	}
	u[p.Key] = reason
	log.Warn("entry_unreadable", zap.String("key", p.Key), zap.Int64("revision", p.Modified), zap.String("cause", reason))
	return true
}

// Clear forgets a key that can be decoded again.
func (u Unreadable) Clear(key string) { delete(u, key) }
