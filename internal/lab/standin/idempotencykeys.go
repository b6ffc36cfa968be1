package standin

import (
	"sync"
	"time"
)

// IdempotencyKeys knows which deduplicated requests have had their effect, and when. The servers of a group share it.
type IdempotencyKeys struct {
	Window time.Duration // for which a key is known

	mu      sync.Mutex
	seen    map[string]time.Time
	sweptAt time.Time
}

// Add adds a key. It returns false for one that was added before within the window.
func (i *IdempotencyKeys) Add(key string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.sweep(now)
	if addedAt, known := i.seen[key]; known && now.Sub(addedAt) <= i.Window {
		return false
	}
	i.seen[key] = now
	return true
}

// sweep forgets the keys whose window has passed, once a window. The mutex is held.
func (i *IdempotencyKeys) sweep(now time.Time) {
	if i.seen == nil {
		i.seen = map[string]time.Time{}
	}
	if now.Sub(i.sweptAt) <= i.Window {
		return
	}
	for key, addedAt := range i.seen {
		if now.Sub(addedAt) > i.Window {
			delete(i.seen, key)
		}
	}
	i.sweptAt = now
}
