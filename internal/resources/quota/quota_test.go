package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var one = Amount{InFlight: 1}

func tree(total int64, parts ...float64) (*Tree, []*Service) {
	t := New(Config{Total: Amount{InFlight: total, BodyBytes: 1 << 40, Connections: 1 << 40}, ReservedFraction: 0.5, RevokeAfter: 1, CPUThreshold: 0.9})
	var list []*Service
	for i, g := range parts {
		list = append(list, t.Add(Spec{Name: fmt.Sprint("s", i), Guarantee: g, Weight: 1}))
	}
	return t, list
}

func take(s *Service, n int) (got []*Lease) {
	for range n {
		if l, why := s.Acquire(0, one); why == Admitted {
			got = append(got, l)
		}
	}
	return got
}

// Whatever happens: no more is used than is there; a service below its reserve is never refused; the sums that decisions
// rest on are those of the services; a lease called back was beyond its owner's guarantee.
func TestPromisesHoldInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(Config{Total: Amount{InFlight: 40, BodyBytes: 1000, Connections: 60}, ReservedFraction: rapid.Float64Range(0, 1).Draw(t, "reserve"), RevokeAfter: 1, CPUThreshold: 0.9})
		var services []*Service
		left := 1.0
		add := func() {
			g := rapid.Float64Range(0, left).Draw(t, "guarantee")
			left -= g
			services = append(services, tr.Add(Spec{Name: fmt.Sprint(len(services)), Guarantee: g, Weight: rapid.Float64Range(0.1, 5).Draw(t, "weight"),
				Tenants: []float64{1, 2}}))
		}
		add()
		add()
		var out []*Lease
		now, grown := 0.0, int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if len(services) < 5 {
					add()
				}
			case 1:
				now += rapid.Float64Range(0.01, 2).Draw(t, "pause")
				for _, l := range tr.Tick(now, 0, 1) {
					require.Greater(t, len(l.Revoked()), -1)
					l.Release()
				}
			case 2, 3, 4:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					out[i].Release()
					out[i].Release() // twice is once
					out = append(out[:i], out[i+1:]...)
				}
			case 5:
				if s := services[0]; s.Grow(Amount{Connections: 2}) {
					s.Shrink(Amount{Connections: 1})
					grown++
				}
			default:
				s := services[rapid.IntRange(0, len(services)-1).Draw(t, "who")]
				want := Amount{1, int64(rapid.IntRange(0, 90).Draw(t, "bytes")), 1}
				below := true
				for k := range want {
					below = below && s.used[k]+want[k] <= s.reserve[k]
				}
				q := rapid.IntRange(0, 1).Draw(t, "tenant")
				l, why := s.Acquire(q, want)
				if why == Admitted {
					out = append(out, l)
				}
				require.False(t, below && why != Admitted && why != OverTenantQuota, "refused below its reserve: %v", why)
			}
			var used, kept, lent Amount
			borrowed := 0.0
			for _, s := range services {
				a, b := s.against(s.used)
				for k := range used {
					used[k] += s.used[k]
					kept[k] += a[k]
					lent[k] += b[k]
					require.GreaterOrEqual(t, s.used[k], int64(0))
				}
				if s.borrows {
					borrowed += s.Weight
					require.True(t, b != Amount{} || s.wants)
				}
			}
			require.Equal(t, used, tr.used)
			require.Equal(t, kept, tr.kept)
			require.Equal(t, lent, tr.lent)
			require.InDelta(t, borrowed, tr.borrowed, 1e-9)
			for k := range used {
				require.LessOrEqual(t, used[k], tr.Total[k])
			}
		}
		for _, l := range out {
			l.Release()
		}
		require.Equal(t, Amount{Connections: grown}, tr.used)
	})
}

func TestWhatOthersLeaveIsBorrowedAndComesBackInTime(t *testing.T) {
	tr, s := tree(100, 0.5, 0.5)
	flood := take(s[0], 500)
	assert.Len(t, flood, 75, "all but the other's reserve")
	calm := take(s[1], 500)
	assert.Len(t, calm, 25, "its reserve is at hand at once")
	assert.Empty(t, tr.Tick(10, 0, 1), "it is short from now on")
	assert.Empty(t, tr.Tick(10.9, 0, 1), "the borrower has its time")
	back := tr.Tick(11, 0, 1)
	assert.Len(t, back, 25, "then what is beyond its guarantee is called back, and no more")
	for _, l := range back {
		select {
		case <-l.Revoked():
		default:
			t.Fatal("its request has not been told")
		}
		assert.Contains(t, flood[50:], l, "the newest")
		l.Release()
	}
	assert.Len(t, take(s[1], 500), 25)
	assert.Empty(t, take(s[0], 500), "it has its part, and the rest is in use")
	for _, l := range calm {
		l.Release()
	}
	assert.Len(t, take(s[0], 500), 12, "of the 25 that are left, half: the other was short a moment ago")
}

func TestBorrowersShareByWeightAndNobodyStarves(t *testing.T) {
	tr := New(Config{Total: Amount{InFlight: 1000, BodyBytes: 1, Connections: 1}, ReservedFraction: 0.5, RevokeAfter: 1, CPUThreshold: 0.9})
	greedy := tr.Add(Spec{Name: "greedy", Weight: 1})
	heavy := tr.Add(Spec{Name: "heavy", Weight: 3})
	tr.Add(Spec{Name: "idle", Guarantee: 0.2, Weight: 1})
	var held []*Lease
	held = append(held, take(greedy, 5000)...)
	assert.Len(t, held, 900)
	// As its requests end, others come in their place; the flood goes on asking first.
	mine := 0
	for round := range 3000 {
		held[0].Release()
		held = append(held[1:], take(greedy, 2)...)
		for _, l := range take(heavy, 1) {
			held = append(held, l)
			mine++
		}
		if round > 2000 {
			assert.InDelta(t, 675, heavy.used[InFlight], 25)
			assert.InDelta(t, 225, greedy.used[InFlight], 25)
		}
	}
	assert.Greater(t, mine, 600)
}

func TestTenantsOfOneServiceShareItsLastQuarter(t *testing.T) {
	tr := New(Config{Total: Amount{InFlight: 100, BodyBytes: 1, Connections: 1}, ReservedFraction: 0.5, RevokeAfter: 1, CPUThreshold: 0.9})
	s := tr.Add(Spec{Name: "s", Guarantee: 1, Weight: 1, Tenants: []float64{1, 1}})
	for range 300 {
		s.Acquire(0, one)
	}
	assert.EqualValues(t, 75, s.used[InFlight], "alone it may have all but the last quarter")
	var held []*Lease
	for range 300 {
		if l, why := s.Acquire(1, one); why == Admitted {
			held = append(held, l)
		}
	}
	assert.Len(t, held, 25, "which is there for the one who has less than its part")
	held[0].Release()
	_, why := s.Acquire(0, one)
	assert.Equal(t, "beyond its tenant's part", why.String())
}

// A thousand services, one of which floods the cores: it alone is turned away, until they are free again.
func TestBusyCoresTurnAwayTheOneThatTakesMost(t *testing.T) {
	tr := New(Config{Total: Amount{InFlight: 1 << 30, BodyBytes: 1 << 30, Connections: 1}, ReservedFraction: 0.5, RevokeAfter: 1, CPUThreshold: 0.8})
	var all []*Service
	for i := range 1000 {
		all = append(all, tr.Add(Spec{Name: fmt.Sprint(i), Guarantee: 0.0005, Weight: 1}))
	}
	now := 1.0
	second := func(cpu float64) (flood, calm int) {
		for range 10 {
			for i := range 2000 {
				if l, why := all[7].Acquire(0, one); why == Admitted {
					flood++
					l.Release()
				}
				if i < 20 {
					if l, why := all[i%10+20].Acquire(0, one); why == Admitted {
						calm++
						l.Release()
					}
				}
			}
			now += 0.1
			tr.Tick(now, cpu/10, 1)
		}
		return flood, calm
	}
	second(0.95)
	flood, calm := second(0.95)
	assert.Equal(t, 200, calm)
	assert.Less(t, flood, 10000)
	second(0.1)
	flood, calm = second(0.1)
	assert.Equal(t, 200, calm)
	assert.Equal(t, 20000, flood)
}

func TestAChangedOrRemovedServiceKeepsTheSums(t *testing.T) {
	tr, s := tree(100, 0.4, 0.4)
	held := take(s[0], 60)
	s[0].Update(0.1, 5)
	s[1].Update(0.9, 1)
	assert.NotEmpty(t, take(s[1], 1))
	tr.Resize(Amount{InFlight: 200, BodyBytes: 1, Connections: 1})
	assert.EqualValues(t, 180, s[1].own[InFlight])
	tr.Remove(s[0])
	tr.Remove(s[0])
	_, why := s[0].Acquire(0, one)
	assert.Equal(t, ServiceRemoved, why)
	for _, l := range held {
		l.Release()
	}
	assert.EqualValues(t, 1, tr.used[InFlight])
	assert.Len(t, tr.Usage(), 1)
	assert.InDelta(t, 0, tr.borrowed, 1e-9)
}

func TestBadPromisesAreAllNamed(t *testing.T) {
	err := Validate(Config{ReservedFraction: 2, RevokeAfter: -1, CPUThreshold: 0}, []Spec{{Name: "a", Guarantee: 0.7, Weight: 1}, {Name: "b", Guarantee: 0.7, Weight: 0, Tenants: []float64{-1}}})
	for _, says := range []string{"reserve", "return", "busy", "service b: weight", "service b: tenant 1", "add up to 1.400"} {
		assert.ErrorContains(t, err, says)
	}
	assert.NoError(t, Validate(Config{ReservedFraction: 0.5, RevokeAfter: 1, CPUThreshold: 0.9}, []Spec{{Name: "a", Guarantee: 1, Weight: 1}}))
}

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{3, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr, _ := tree(1 << 30)
			var all []*Service
			for i := range n {
				all = append(all, tr.Add(Spec{Name: fmt.Sprint(i), Guarantee: 0.5 / float64(n), Weight: 1, Tenants: []float64{1, 1, 1}}))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if l, why := all[i%n].Acquire(i%3, one); why == Admitted {
					l.Release()
				}
				i++
			}
		})
	}
}
