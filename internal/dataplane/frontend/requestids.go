package frontend

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestIDs remembers the hashes of the IDs of requests that are in flight or have ended recently. A client uses a new
// ID for each of its requests. A request with a known ID therefore comes from another client, and is rejected as a
// duplicate. If the duplicate were forwarded, one server after another would reject it, since the servers know the ID.
// Healthy servers would then count as failing.
//
// The hashes of ended requests are kept in two generations. When the recent generation is full or has reached the age
// ttl, the older generation is dropped, and the recent one takes its place.
type requestIDs struct {
	maxEnded int // maximum of hashes in each generation; limits the memory during a flood of requests

	mu sync.Mutex
	// seed is the seed of the hashes; a successor process uses the same seed. A client that finds two IDs with the same
	// hash can only cause the rejection of its own requests. To cause the rejection of another client's request, a
	// client would have to know the ID of that request, and could then simply send a request with this ID.
	seed uint64
	// ttl is the minimum time for which the ID of an ended request is kept. If the recent generation is full before it
	// has reached the age ttl, the oldest IDs are dropped earlier.
	ttl           time.Duration
	inFlight      map[uint64]struct{}
	recent, older map[uint64]struct{}
	rotatedAt     time.Duration // when the recent generation began
}

const hashBytes = 8 // size of an exported hash

// IDAnnouncer is called with an ID, in the form of ExportRequestIDs, before the request with that ID begins.
type IDAnnouncer func(encoded []byte)

// AnnounceRequestIDs has each request's ID announced from now on. A predecessor still receives requests on connections
// that are in use, and the successor must not run them again. A nil function ends that.
func (s *Server) AnnounceRequestIDs(announce IDAnnouncer) { s.announceID.Store(&announce) }

// announce announces the ID with a hash, if another process wants to know it.
func (s *Server) announce(hash uint64) {
	if announce := s.announceID.Load(); announce != nil && *announce != nil {
		(*announce)(binary.BigEndian.AppendUint64(nil, hash))
	}
}

func newRequestIDs(ttl time.Duration, maxEnded int) *requestIDs {
	return &requestIDs{
		ttl:      ttl,
		maxEnded: maxEnded,
		seed:     rand.Uint64(),
		inFlight: map[uint64]struct{}{},
		recent:   map[uint64]struct{}{},
	}
}

// begin records that a request with an ID is in flight, and returns the hash of the ID. The caller passes this hash to
// end. begin returns false if the ID is already known.
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

// end records the end of the request whose ID has the given hash.
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

// importAll adds the hashes that another process exported. The imported hashes are treated as hashes of requests that
// end now.
func (r *requestIDs) importAll(exported []byte, now time.Duration) {
	for ; len(exported) >= hashBytes; exported = exported[hashBytes:] {
		r.end(binary.BigEndian.Uint64(exported), now)
	}
}
