package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const plenty = 1 << 40

var oneRequest = Amount{InFlight: 1}

func testConfig(requests int64) Config {
	return Config{
		Total:            Amount{InFlight: requests, BodyBytes: plenty, Connections: plenty},
		ReservedFraction: 0.5,
		RevokeAfter:      1,
		CPUThreshold:     0.9,
	}
}

// newTestTree returns a tree with a service of weight 1 for each guarantee.
func newTestTree(requests int64, guarantees ...float64) (*Tree, []*Service) {
	tree := New(testConfig(requests))
	var services []*Service
	for i, guarantee := range guarantees {
		services = append(services, tree.Add(Spec{Name: fmt.Sprint("s", i), Guarantee: guarantee, Weight: 1}))
	}
	return tree, services
}

// acquireOf acquires up to n requests of a tenant.
func acquireOf(s *Service, tenantIndex, n int) []*Lease {
	var leases []*Lease
	for range n {
		if lease, decision := s.Acquire(tenantIndex, oneRequest); decision == Admitted {
			leases = append(leases, lease)
		}
	}
	return leases
}

func acquire(s *Service, n int) []*Lease { return acquireOf(s, 0, n) }

func releaseAll(leases []*Lease) {
	for _, lease := range leases {
		lease.Release()
	}
}

func isRevoked(l *Lease) bool {
	select {
	case <-l.Revoked():
		return true
	default:
		return false
	}
}

// history applies random operations to a tree.
type history struct {
	tree         *Tree
	services     []*Service
	leases       []*Lease
	now          float64
	unguaranteed float64 // part of the total
	grown        int64
}

func (h *history) addService(t *rapid.T) {
	guarantee := rapid.Float64Range(0, h.unguaranteed).Draw(t, "guarantee")
	h.unguaranteed -= guarantee
	h.services = append(h.services, h.tree.Add(Spec{
		Name:      fmt.Sprint(len(h.services)),
		Guarantee: guarantee,
		Weight:    rapid.Float64Range(0.1, 5).Draw(t, "weight"),
		Tenants:   []float64{1, 2},
	}))
}

func (h *history) tick(t *rapid.T) {
	h.now += rapid.Float64Range(0.01, 2).Draw(t, "pause")
	for _, lease := range h.tree.Tick(h.now, 0, 1) {
		require.True(t, isRevoked(lease))
		lease.Release()
	}
}

func (h *history) release(t *rapid.T) {
	if len(h.leases) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.leases)-1).Draw(t, "lease")
	h.leases[i].Release()
	h.leases[i].Release() // the second call does nothing
	h.leases = append(h.leases[:i], h.leases[i+1:]...)
}

func (h *history) grow() {
	s := h.services[0]
	if s.Grow(Amount{Connections: 2}) {
		s.Shrink(Amount{Connections: 1})
		h.grown++
	}
}

func (h *history) acquire(t *rapid.T) {
	s := h.services[rapid.IntRange(0, len(h.services)-1).Draw(t, "service")]
	amount := Amount{1, int64(rapid.IntRange(0, 90).Draw(t, "bytes")), 1}
	withinReserve := true
	for r := range amount {
		withinReserve = withinReserve && s.used[r]+amount[r] <= s.reserve[r]
	}
	tenantIndex := rapid.IntRange(0, 1).Draw(t, "tenant")
	lease, decision := s.Acquire(tenantIndex, amount)
	if decision == Admitted {
		h.leases = append(h.leases, lease)
	}
	rejected := decision != Admitted && decision != OverTenantQuota
	require.False(t, withinReserve && rejected, "rejected below its reserve: %v", decision)
}

func (h *history) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "operation") {
	case 0:
		if len(h.services) < 5 {
			h.addService(t)
		}
	case 1:
		h.tick(t)
	case 2, 3, 4:
		h.release(t)
	case 5:
		h.grow()
	default:
		h.acquire(t)
	}
}

// checkSums compares the tree's sums with those of the services.
func (h *history) checkSums(t *rapid.T) {
	var used, reserved, borrowed Amount
	borrowerWeight := 0.0
	for _, s := range h.services {
		claim := s.claimFor(s.used)
		used = used.plus(s.used)
		reserved = reserved.plus(claim.reserved)
		borrowed = borrowed.plus(claim.borrowed)
		for r := range s.used {
			require.GreaterOrEqual(t, s.used[r], int64(0))
		}
		if s.borrowing {
			borrowerWeight += s.Weight
			require.True(t, claim.borrowed != Amount{} || s.refusedLately)
		}
	}
	require.Equal(t, used, h.tree.used)
	require.Equal(t, reserved, h.tree.reserved)
	require.Equal(t, borrowed, h.tree.borrowed)
	require.InDelta(t, borrowerWeight, h.tree.borrowerWeight, 1e-9)
	for r := range used {
		require.LessOrEqual(t, used[r], h.tree.Total[r])
	}
}

// Whatever happens: no more is used than is there; a service below its reserve is never rejected; the sums that
// decisions rest on are those of the services; a lease that Tick returns is revoked.
func TestTree_AnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{unguaranteed: 1, tree: New(Config{
			Total:            Amount{InFlight: 40, BodyBytes: 1000, Connections: 60},
			ReservedFraction: rapid.Float64Range(0, 1).Draw(t, "reserved fraction"),
			RevokeAfter:      1,
			CPUThreshold:     0.9,
		})}
		h.addService(t)
		h.addService(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h.step(t)
			h.checkSums(t)
		}
		releaseAll(h.leases)
		require.Equal(t, Amount{Connections: h.grown}, h.tree.used)
	})
}

func TestTree_RevokesBorrowed(t *testing.T) {
	tree, services := newTestTree(100, 0.5, 0.5)
	flooded, calm := services[0], services[1]
	flood := acquire(flooded, 500)
	assert.Len(t, flood, 75, "all but the other's reserve")
	calmLeases := acquire(calm, 500)
	assert.Len(t, calmLeases, 25, "its reserve is never lent")
	assert.Empty(t, tree.Tick(10, 0, 1), "it is short from now on")
	assert.Empty(t, tree.Tick(10.9, 0, 1), "before RevokeAfter")
	revoked := tree.Tick(11, 0, 1)
	assert.Len(t, revoked, 25, "what is beyond the borrower's guarantee, and no more")
	for _, lease := range revoked {
		assert.True(t, isRevoked(lease))
		assert.Contains(t, flood[50:], lease, "the newest")
		lease.Release()
	}
	assert.Len(t, acquire(calm, 500), 25)
	assert.Empty(t, acquire(flooded, 500), "it has its part, and the rest is in use")
	releaseAll(calmLeases)
	assert.Len(t, acquire(flooded, 500), 12, "half of the 25 that are left: the other was short a moment ago")
}

func TestTree_BorrowersShareByWeight(t *testing.T) {
	tree := New(testConfig(1000))
	greedy := tree.Add(Spec{Name: "greedy", Weight: 1})
	heavy := tree.Add(Spec{Name: "heavy", Weight: 3})
	tree.Add(Spec{Name: "idle", Guarantee: 0.2, Weight: 1})
	leases := acquire(greedy, 5000)
	assert.Len(t, leases, 900)
	// As its requests end, others follow; the greedy service always asks first.
	admitted := 0
	for round := range 3000 {
		leases[0].Release()
		leases = append(leases[1:], acquire(greedy, 2)...)
		ofHeavy := acquire(heavy, 1)
		admitted += len(ofHeavy)
		leases = append(leases, ofHeavy...)
		if round > 2000 {
			assert.InDelta(t, 675, heavy.used[InFlight], 25)
			assert.InDelta(t, 225, greedy.used[InFlight], 25)
		}
	}
	assert.Greater(t, admitted, 600)
}

func TestService_TenantsShareTheContendedPart(t *testing.T) {
	tree := New(testConfig(100))
	s := tree.Add(Spec{Name: "s", Guarantee: 1, Weight: 1, Tenants: []float64{1, 1}})
	acquireOf(s, 0, 300)
	assert.EqualValues(t, 75, s.used[InFlight], "alone it may have all but the last quarter")
	leases := acquireOf(s, 1, 300)
	assert.Len(t, leases, 25, "which is for the tenant that has less than its part")
	leases[0].Release()
	_, decision := s.Acquire(0, oneRequest)
	assert.Equal(t, OverTenantQuota, decision)
	assert.Equal(t, "beyond its tenant's part", decision.String())
}

// One of a thousand services saturates the cores: it alone is rejected, until they are free again.
func TestTree_CPUSaturated(t *testing.T) {
	config := testConfig(1 << 30)
	config.CPUThreshold = 0.8
	tree := New(config)
	var services []*Service
	for i := range 1000 {
		services = append(services, tree.Add(Spec{Name: fmt.Sprint(i), Guarantee: 0.0005, Weight: 1}))
	}
	flooded := services[7]
	now := 1.0
	admits := func(s *Service) int {
		leases := acquire(s, 1)
		releaseAll(leases)
		return len(leases)
	}
	// second plays one second with ten ticks, and returns how many requests of the flooded and of calm services were
	// admitted.
	second := func(cpu float64) (flood, calm int) {
		for range 10 {
			for i := range 2000 {
				flood += admits(flooded)
				if i < 20 {
					calm += admits(services[i%10+20])
				}
			}
			now += 0.1
			tree.Tick(now, cpu/10, 1)
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

func TestTree_ChangedServicesKeepTheSums(t *testing.T) {
	tree, services := newTestTree(100, 0.4, 0.4)
	leases := acquire(services[0], 60)
	services[0].Update(0.1, 5)
	services[1].Update(0.9, 1)
	assert.NotEmpty(t, acquire(services[1], 1))
	tree.Resize(Amount{InFlight: 200, BodyBytes: 1, Connections: 1})
	assert.EqualValues(t, 180, services[1].guaranteed[InFlight])
	tree.Remove(services[0])
	tree.Remove(services[0])
	_, decision := services[0].Acquire(0, oneRequest)
	assert.Equal(t, ServiceRemoved, decision)
	releaseAll(leases)
	assert.EqualValues(t, 1, tree.used[InFlight])
	assert.Len(t, tree.Usage(), 1)
	assert.InDelta(t, 0, tree.borrowerWeight, 1e-9)
}

func TestValidate(t *testing.T) {
	err := Validate(Config{ReservedFraction: 2, RevokeAfter: -1, CPUThreshold: 0}, []Spec{
		{Name: "a", Guarantee: 0.7, Weight: 1},
		{Name: "b", Guarantee: 0.7, Weight: 0, Tenants: []float64{-1}},
	})
	for _, mistake := range []string{
		"reserve", "return", "busy", "service b: weight", "service b: tenant 1", "add up to 1.400",
	} {
		assert.ErrorContains(t, err, mistake)
	}
	assert.NoError(t, Validate(testConfig(1), []Spec{{Name: "a", Guarantee: 1, Weight: 1}}))
}

func BenchmarkAcquire(b *testing.B) {
	for _, count := range []int{3, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tree := New(testConfig(1 << 30))
			var services []*Service
			for i := range count {
				services = append(services, tree.Add(Spec{
					Name:      fmt.Sprint(i),
					Guarantee: 0.5 / float64(count),
					Weight:    1,
					Tenants:   []float64{1, 1, 1},
				}))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if lease, decision := services[i%count].Acquire(i%3, oneRequest); decision == Admitted {
					lease.Release()
				}
				i++
			}
		})
	}
}
