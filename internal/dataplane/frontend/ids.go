package frontend

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestIDs knows the requests that are open and those that ended lately. A caller gives each request a new id, so one
// that comes again is a copy by somebody else. Sent on, it would be turned away by one server after another, since
// they know that id, and each time a sound server would be taken for a failing one.
type requestIDs struct {
	maxEnded int // of them in either half: a flood must not fill the memory

	mu sync.Mutex
	// A successor goes on with it. Who finds two ids of one hash can only turn himself away: to hit another's he has to know
	// that one, and could copy it.
	seed          uint64
	ttl          time.Duration // that an ended one is known at least
	open          map[uint64]struct{}
	recent, older map[uint64]struct{} // ended; the older half is forgotten as the recent one takes its place
	rotatedAt        time.Duration
}

func newRequestIDs(life time.Duration, most int) *requestIDs {
	return &requestIDs{ttl: life, maxEnded: most, seed: rand.Uint64(), open: map[uint64]struct{}{},
		recent: map[uint64]struct{}{}}
}

// begin notes that a request with an id is open, and returns false if it is known already. Its end is due with
// the number returned.
func (i *requestIDs) begin(id string) (uint64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	var d xxhash.Digest
	d.ResetWithSeed(i.seed)
	d.WriteString(id)
	n := d.Sum64()
	for _, known := range []map[uint64]struct{}{i.open, i.recent, i.older} {
		if _, ok := known[n]; ok {
			return 0, false
		}
	}
	i.open[n] = struct{}{}
	return n, true
}

// end notes at a time that a request is over.
func (i *requestIDs) end(n uint64, now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.open, n)
	if now >= i.rotatedAt+i.ttl || len(i.recent) >= i.maxEnded {
		i.older, i.recent, i.rotatedAt = i.recent, map[uint64]struct{}{}, now
	}
	i.recent[n] = struct{}{}
}

func (i *requestIDs) setTTL(life time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ttl = life
}

// export is what a successor has to know: all that are open or ended lately, eight bytes each.
func (i *requestIDs) export() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]byte, 0, 8*(len(i.open)+len(i.recent)+len(i.older)))
	for _, half := range []map[uint64]struct{}{i.older, i.recent, i.open} {
		for n := range half {
			out = binary.BigEndian.AppendUint64(out, n)
		}
	}
	return out
}

// importAll knows what another process handed over, as ended now.
func (i *requestIDs) importAll(all []byte, now time.Duration) {
	for ; len(all) >= 8; all = all[8:] {
		i.end(binary.BigEndian.Uint64(all), now)
	}
}

func (i *requestIDs) setSeed(seed uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seed = seed
}
