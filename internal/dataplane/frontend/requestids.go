package frontend

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestIDs remembers the IDs of the requests that are in flight and of those that ended lately, by their hashes. A
// client gives each request a new ID, so one that comes again is a copy by somebody else. Forwarded, it would be
// rejected by one server after another, since they know that ID, and sound servers would be taken for failing ones.
//
// Ended requests are in two generations. The older one is forgotten when the recent one is full, or as old as the TTL.
type requestIDs struct {
	maxEnded int // in each generation: a flood must not fill the memory

	mu sync.Mutex
	// seed is that of the hashes; a successor takes it over. Whoever finds two IDs of one hash can only have himself
	// rejected: to hit another's he has to know that one, and could copy it.
	seed          uint64
	ttl           time.Duration // for which an ended one is remembered at least
	inFlight      map[uint64]struct{}
	recent, older map[uint64]struct{}
	rotatedAt     time.Duration // when recent became the recent one
}

const hashBytes = 8 // of an exported ID

func newRequestIDs(ttl time.Duration, maxEnded int) *requestIDs {
	return &requestIDs{
		ttl:      ttl,
		maxEnded: maxEnded,
		seed:     rand.Uint64(),
		inFlight: map[uint64]struct{}{},
		recent:   map[uint64]struct{}{},
	}
}

// begin notes that a request with an ID is in flight, and returns the ID's hash, by which it is to be ended. It returns
// false if the ID is known already.
func (r *requestIDs) begin(id string) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var digest xxhash.Digest
	digest.ResetWithSeed(r.seed)
	digest.WriteString(id)
	hash := digest.Sum64()
	for _, known := range []map[uint64]struct{}{r.inFlight, r.recent, r.older} {
		if _, ok := known[hash]; ok {
			return 0, false
		}
	}
	r.inFlight[hash] = struct{}{}
	return hash, true
}

// end notes that the request with an ID has ended.
func (r *requestIDs) end(hash uint64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, hash)
	if now >= r.rotatedAt+r.ttl || len(r.recent) >= r.maxEnded {
		r.older = r.recent
		r.recent = map[uint64]struct{}{}
		r.rotatedAt = now
	}
	r.recent[hash] = struct{}{}
}

func (r *requestIDs) setTTL(ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ttl = ttl
}

func (r *requestIDs) setSeed(seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seed = seed
}

// export returns the hashes of all known IDs, big-endian one after another.
func (r *requestIDs) export() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	exported := make([]byte, 0, hashBytes*(len(r.inFlight)+len(r.recent)+len(r.older)))
	for _, known := range []map[uint64]struct{}{r.older, r.recent, r.inFlight} {
		for hash := range known {
			exported = binary.BigEndian.AppendUint64(exported, hash)
		}
	}
	return exported
}

// importAll adds the IDs that another process exported, as ended now.
func (r *requestIDs) importAll(exported []byte, now time.Duration) {
	for ; len(exported) >= hashBytes; exported = exported[hashBytes:] {
		r.end(binary.BigEndian.Uint64(exported), now)
	}
}
