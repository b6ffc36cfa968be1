package frontend

import (
	"hash/maphash"
	"sync"
	"time"
)

// ids knows the requests that are open and those that ended lately. A caller gives each request a new id, so one
// that comes again is a copy by somebody else. Sent on, it would be turned away by one server after another, since
// they know that id, and each time a sound server would be taken for a failing one.
type ids struct {
	most int // of them in either half: a flood must not fill the memory
	seed maphash.Seed

	mu            sync.Mutex
	life          time.Duration // that an ended one is known at least
	open          map[uint64]struct{}
	recent, older map[uint64]struct{} // ended; the older half is forgotten as the recent one takes its place
	turned        time.Duration
}

func newIDs(life time.Duration, most int) *ids {
	return &ids{life: life, most: most, seed: maphash.MakeSeed(), open: map[uint64]struct{}{},
		recent: map[uint64]struct{}{}}
}

// begin notes that a request with an id is open, and returns false if it is known already. Its end is due with
// the number returned.
func (k *ids) begin(id string) (uint64, bool) {
	n := maphash.String(k.seed, id)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range []map[uint64]struct{}{k.open, k.recent, k.older} {
		if _, ok := known[n]; ok {
			return 0, false
		}
	}
	k.open[n] = struct{}{}
	return n, true
}

// end notes at a time that a request is over.
func (k *ids) end(n uint64, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, n)
	if now >= k.turned+k.life || len(k.recent) >= k.most {
		k.older, k.recent, k.turned = k.recent, map[uint64]struct{}{}, now
	}
	k.recent[n] = struct{}{}
}

func (k *ids) keep(life time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.life = life
}
