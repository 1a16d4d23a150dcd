package follow

import (
	"sync"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/store"
)

// Unreadable remembers which keys have values that can't be decoded, and logs each once, however often it is read. A key
// is forgotten when it is replaced by a value that can be decoded, or removed. Its zero value knows of none. It is safe for
// concurrent use.
type Unreadable struct {
	mu      sync.Mutex
	reasons map[string]string // that were logged, by key
}

// maxUnreadable bounds the remembered keys, and so the log lines about them.
const maxUnreadable = 256

// Record logs a message with a key and its reason once, and reports whether it did.
func (u *Unreadable) Record(log func(message string, fields ...zap.Field), message string, p store.Pair, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	reason := logging.Shorten(err.Error())
	if u.reasons[p.Key] == reason || len(u.reasons) >= maxUnreadable {
		return false
	}
	if u.reasons == nil {
		u.reasons = make(map[string]string)
	}
	u.reasons[p.Key] = reason
	log(message, zap.String("key", p.Key), zap.Int64("revision", p.Modified), zap.String("cause", reason))
	return true
}

// Clear forgets a key that can be decoded again, or is gone.
func (u *Unreadable) Clear(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.reasons, key)
}

// Keep forgets all keys but those of a complete list.
func (u *Unreadable) Keep(all []store.Pair) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.reasons) == 0 {
		return
	}
	kept := make(map[string]string)
	for _, p := range all {
		if reason, ok := u.reasons[p.Key]; ok {
			kept[p.Key] = reason
		}
	}
	u.reasons = kept
}
