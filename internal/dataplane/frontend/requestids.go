package frontend

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestIDs remembers the hashes of the IDs of requests that are in flight or have ended recently. A client uses a new
// ID for each request, so a request with a known ID is a copy by another client. If the copy were forwarded, one server
// after another would reject it, since they know the ID, and healthy servers would count as failing.
//
// The hashes of ended requests are kept in two generations. The older one is dropped when the recent one is full, or as
// old as the TTL.
type requestIDs struct {
	maxEnded int // in each generation: limits the memory during a flood of requests

	mu sync.Mutex
	// seed is the seed of the hashes; a successor process takes it over. A client that finds two IDs with the same hash
	// can only cause the rejection of its own requests. To cause the rejection of another client's request it would
	// have to know the ID of that request, and could then copy the ID.
	seed          uint64
	ttl           time.Duration // for which the ID of an ended request is remembered, unless a generation fills up
	inFlight      map[uint64]struct{}
	recent, older map[uint64]struct{}
	rotatedAt     time.Duration // when the recent generation began
}

const hashBytes = 8 // size of an exported hash

func newRequestIDs(ttl time.Duration, maxEnded int) *requestIDs {
	return &requestIDs{
		ttl:      ttl,
		maxEnded: maxEnded,
		seed:     rand.Uint64(),
		inFlight: map[uint64]struct{}{},
		recent:   map[uint64]struct{}{},
	}
}

// begin records that a request with an ID is in flight, and returns the hash of the ID for end. It returns false if the
// ID is already known.
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

// end records the end of a request, given by the hash of its ID.
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

// export returns the hashes of all known IDs, big-endian, one after another.
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

// importAll adds the hashes that another process exported, as those of requests that end now.
func (r *requestIDs) importAll(exported []byte, now time.Duration) {
	for ; len(exported) >= hashBytes; exported = exported[hashBytes:] {
		r.end(binary.BigEndian.Uint64(exported), now)
	}
}
