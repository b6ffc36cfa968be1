package decide

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// counted is a source whose state can be put back.
type counted uint64

func (c *counted) Seed(seed int64) { *c = counted(seed) }
func (c *counted) Int63() int64    { return int64(c.Uint64() >> 1) }
func (c *counted) Uint64() uint64 {
	*c += 0x9e3779b97f4a7c15
	z := uint64(*c)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// The choice as the design says it, over all servers one after another, with no sum kept.

func plainAble(b *Balancer, now float64) float64 {
	sum := 0.0
	for _, s := range b.servers {
		if s.state == Ready && (s.cut && !b.lost(s, now) || now >= s.ejected) {
			sum += b.cold(s, now) * s.weight
		}
	}
	return sum
}

func plainUnit(b *Balancer, now float64) float64 {
	sum := 0.0
	for _, s := range b.servers {
		if s.state == Ready {
			sum += b.cold(s, now)
		}
	}
	rate := b.done.read(now, unitHalf) * math.Ln2 / unitHalf / max(sum, 1)
	return max(b.best*math.Exp2((b.bestAt-now)/baseHalf), rate, b.floorRate)
}

func plainChoose(b *Balancer, r *RPC, now float64) *Server {
	m := &b.methods[r.Method]
	unit := plainUnit(b, now)
	b.keep, b.keepPace = b.memory(fade, now), b.memory(paceHalf, now)
	few := paceDoubt * b.typical(r.Method, now)
	b.others = strange * max(1, (b.cost.read(now, othersHalf)+few)/(b.due.read(now, othersHalf)+few))
	for pass := range 2 {
		var cands []*Server
		var ests []float64
		best := math.Inf(1)
		for _, s := range b.servers {
			if s.state != Ready || r.ran != nil && !m.within(s, r.ran.Server) || !b.warm(s, unit, now) ||
				pass == 0 && (now < s.ejected || s.strikes >= strikeOut && len(s.pending) > 0 || r.met(s, false)) || pass == 1 && r.met(s, true) {
				continue
			}
			i := b.row(r, s, now)
			doubt, unknown := paceDoubt*b.typical(r.Method, now), b.others
			if b.cold(s, now) < 1 {
				unknown = 1
			}
			q := b.mean(i, b.typical(r.Method, now)) * (s.cost.read(now, b.keepPace) + doubt*unknown) / (s.due.read(now, b.keepPace) + doubt)
			if e := &s.entries[i]; e.at > 0 && now-e.at <= rowLife {
				q += (e.q - q) * math.Exp2((e.at-now)/b.keep)
			}
			crowd := float64(b.out) / float64(max(1, b.ready))
			q += 2 * b.typical(r.Method, now) * float64(len(s.pending)) * b.weight / s.weight / (1 + crowd)
			if len(s.pending) > 0 && now-s.pending[0].sent > s.pending[0].late {
				q += now - s.pending[0].sent
			}
			if s.zone != b.zone {
				q *= 1 + 4*b.cross
			}
			best = min(best, q)
			cands, ests = append(cands, s), append(ests, q)
		}
		if len(cands) == 0 {
			continue
		}
		if b.rng.Float64() < explore {
			return cands[b.rng.Intn(len(cands))]
		}
		n := 0
		for i := range cands {
			if ests[i] <= best*nearTie {
				cands[n] = cands[i]
				n++
			}
		}
		return cands[b.rng.Intn(n)]
	}
	return nil
}

// Up to as many servers as a pick looks at the choice is the plain one: the same server by the same random numbers, after
// any history of answers, failures, ejections, cold starts and changes of the list.
func TestTheChoiceIsThePlainOne(t *testing.T) {
	picks := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, sight).Draw(t, "servers")
		seed := rapid.Int64().Draw(t, "seed")
		h, servers := seeded(seed, n, func(s *Settings) { s.CrossZone = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "cross") })
		src := counted(seed)
		h.b.rng = rand.New(&src)
		speed := map[*Server]float64{}
		for i, s := range servers {
			speed[s] = 0.02 + 0.01*float64(i%7)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.until(h.now + float64(rapid.IntRange(0, 400).Draw(t, "ms"))/1000)
			s := servers[rapid.IntRange(0, n-1).Draw(t, "server")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				h.b.Listed([]Listing{{Server: s, State: State(rapid.IntRange(0, 1).Draw(t, "state")), Weight: 1 + float64(len(s.pending)), CameUp: h.now}}, false)
			case 1, 2, 3:
				h.arrive(rapid.IntRange(0, 3).Draw(t, "method"))
			default:
				if len(h.sent) > 0 {
					if p := h.sent[rapid.IntRange(0, len(h.sent)-1).Draw(t, "pick")]; p.out {
						h.done(p, rapid.SampledFrom([]Result{OK, OK, OK, Failed, Full, Reset, ConnectFailed, TimedOut}).Draw(t, "result"))
					}
				}
			}
			sum := plainAble(h.b, h.now)
			h.b.lack(h.now)
			assert.InDelta(t, sum, h.b.weight*float64(h.b.ready)-h.b.lackWeight, 1e-9)
			r := &RPC{Method: rapid.IntRange(0, 3).Draw(t, "asked")}
			if open := rapid.IntRange(0, 3).Draw(t, "again"); open == 0 && len(h.sent) > 0 {
				r = h.last().RPC
			}
			before := src
			want := plainChoose(h.b, r, h.now)
			after := src
			src = before
			assert.True(t, want == h.b.choose(r, h.now))
			assert.Equal(t, after, src)
			if want != nil {
				picks++
			}
		}
	})
	assert.Greater(t, picks, 1000)
}

// Among thousands the choice must find the sound ones, however few, and keep off the slow.
func TestAmongThousandsTheChoiceFindsTheSound(t *testing.T) {
	h, servers := story(3000, nil)
	fast := map[*Server]bool{}
	for i, s := range servers {
		fast[s] = i%10 == 0
	}
	took := func(s *Server) float64 {
		if fast[s] {
			return 0.02
		}
		return 0.2
	}
	h.warmUp(6000, took)
	n := 0
	for s, k := range h.warmUp(1000, took) {
		if fast[s] {
			n += k
		}
	}
	assert.Greater(t, n, 900)
	for _, s := range servers[3:] { // all but three cannot be used
		s.ejected = h.now + 1000
	}
	for range 50 {
		r := h.arrive(lookup)
		assert.Contains(t, servers[:3], h.last().Server)
		h.done(r.picks[0], OK)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 100, 400, 5000} {
		b.Run(map[int]string{16: "16", 100: "100", 400: "400", 5000: "5000"}[n]+" servers", func(b *testing.B) {
			h, _ := story(n, nil)
			h.warmUp(2*n, always(0.01))
			b.ReportAllocs()
			for b.Loop() {
				h.timers, h.sent = h.timers[:0], h.sent[:0]
				h.arrive(lookup)
				h.now += 0.0001
				h.done(h.last(), OK)
			}
		})
	}
}
