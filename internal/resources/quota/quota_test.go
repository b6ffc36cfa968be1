package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const unlimited = 1 << 40

var oneRequest = Amount{InFlight: 1}

func testConfig(requests int64) Config {
	return Config{
		Total:            Amount{InFlight: requests, BodyBytes: unlimited, Connections: unlimited},
		ReservedFraction: 0.5,
		RevokeAfter:      1,
		CPUThreshold:     0.9,
	}
}

// newTestTree returns a tree with one service of weight 1 for each guarantee.
func newTestTree(requests int64, guarantees ...float64) (*Tree, []*Service) {
	tree := New(testConfig(requests))
	var services []*Service
	for i, guarantee := range guarantees {
		services = append(services, tree.Add(Spec{Name: fmt.Sprint("s", i), Guarantee: guarantee, Weight: 1}))
	}
	return tree, services
}

// acquireForTenant acquires leases for up to n requests of a tenant.
func acquireForTenant(s *Service, tenantIndex, n int) []*Lease {
	var leases []*Lease
	for range n {
		if lease, decision := s.Acquire(tenantIndex, oneRequest); decision == Admitted {
			leases = append(leases, lease)
		}
	}
	return leases
}

func acquire(s *Service, n int) []*Lease { return acquireForTenant(s, 0, n) }

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

// randomRun applies random operations to a tree.
type randomRun struct {
	tree         *Tree
	services     []*Service
	leases       []*Lease
	now          float64
	unguaranteed float64 // fraction of the total that is guaranteed to no service
	grown        int64   // connections acquired with Grow and not returned
}

func (run *randomRun) addService(t *rapid.T) {
	guarantee := rapid.Float64Range(0, run.unguaranteed).Draw(t, "guarantee")
	run.unguaranteed -= guarantee
	run.services = append(run.services, run.tree.Add(Spec{
		Name:      fmt.Sprint(len(run.services)),
		Guarantee: guarantee,
		Weight:    rapid.Float64Range(0.1, 5).Draw(t, "weight"),
		Tenants:   []float64{1, 2},
	}))
}

func (run *randomRun) tick(t *rapid.T) {
	run.now += rapid.Float64Range(0.01, 2).Draw(t, "pause")
	for _, lease := range run.tree.Tick(run.now, 0, 1) {
		require.True(t, isRevoked(lease))
		lease.Release()
	}
}

func (run *randomRun) release(t *rapid.T) {
	if len(run.leases) == 0 {
		return
	}
	i := rapid.IntRange(0, len(run.leases)-1).Draw(t, "lease")
	run.leases[i].Release()
	run.leases[i].Release() // the second call does nothing
	run.leases = append(run.leases[:i], run.leases[i+1:]...)
}

func (run *randomRun) grow() {
	s := run.services[0]
	if s.Grow(Amount{Connections: 2}) {
		s.Shrink(Amount{Connections: 1})
		run.grown++
	}
}

func (run *randomRun) acquire(t *rapid.T) {
	s := run.services[rapid.IntRange(0, len(run.services)-1).Draw(t, "service")]
	amount := Amount{1, int64(rapid.IntRange(0, 90).Draw(t, "bytes")), 1}
	withinReserve := true
	for r := range amount {
		withinReserve = withinReserve && s.used[r]+amount[r] <= s.reserve[r]
	}
	tenantIndex := rapid.IntRange(0, 1).Draw(t, "tenant")
	lease, decision := s.Acquire(tenantIndex, amount)
	if decision == Admitted {
		run.leases = append(run.leases, lease)
	}
	rejected := decision != Admitted && decision != OverTenantQuota
	require.False(t, withinReserve && rejected, "rejected below its reserve: %v", decision)
}

func (run *randomRun) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "operation") {
	case 0:
		if len(run.services) < 5 {
			run.addService(t)
		}
	case 1:
		run.tick(t)
	case 2, 3, 4:
		run.release(t)
	case 5:
		run.grow()
	default:
		run.acquire(t)
	}
}

// checkSums compares the tree's sums with sums over the services.
func (run *randomRun) checkSums(t *rapid.T) {
	var used, reserved, borrowed Amount
	borrowerWeight := 0.0
	for _, s := range run.services {
		claim := s.claimFor(s.used)
		used = used.plus(s.used)
		reserved = reserved.plus(claim.reserved)
		borrowed = borrowed.plus(claim.borrowed)
		for r := range s.used {
			require.GreaterOrEqual(t, s.used[r], int64(0))
		}
		if s.borrowing {
			borrowerWeight += s.Weight
			require.True(t, claim.borrowed != Amount{} || s.refusedRecently)
		}
	}
	require.Equal(t, used, run.tree.used)
	require.Equal(t, reserved, run.tree.reserved)
	require.Equal(t, borrowed, run.tree.borrowed)
	require.InDelta(t, borrowerWeight, run.tree.borrowerWeight, 1e-9)
	for r := range used {
		require.LessOrEqual(t, used[r], run.tree.Total[r])
	}
}

// After any sequence of operations, usage is within the total and the tree's sums equal those over the services. A
// request within the reserve of its service is never rejected, except by its tenant's quota. A lease that Tick returns
// is revoked.
func TestTree_RandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &randomRun{unguaranteed: 1, tree: New(Config{
			Total:            Amount{InFlight: 40, BodyBytes: 1000, Connections: 60},
			ReservedFraction: rapid.Float64Range(0, 1).Draw(t, "reserved fraction"),
			RevokeAfter:      1,
			CPUThreshold:     0.9,
		})}
		run.addService(t)
		run.addService(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			run.step(t)
			run.checkSums(t)
		}
		releaseAll(run.leases)
		require.Equal(t, Amount{Connections: run.grown}, run.tree.used)
	})
}

func TestTree_RevokesBorrowed(t *testing.T) {
	tree, services := newTestTree(100, 0.5, 0.5)
	flooded, other := services[0], services[1]
	floodedLeases := acquire(flooded, 500)
	assert.Len(t, floodedLeases, 75, "the total minus the other service's reserve")
	otherLeases := acquire(other, 500)
	assert.Len(t, otherLeases, 25, "its reserve is never lent")
	assert.Empty(t, tree.Tick(10, 0, 1), "the shortage begins at this tick")
	assert.Empty(t, tree.Tick(10.9, 0, 1), "before RevokeAfter")
	revoked := tree.Tick(11, 0, 1)
	assert.Len(t, revoked, 25, "everything beyond the borrower's guarantee, and nothing else")
	for _, lease := range revoked {
		assert.True(t, isRevoked(lease))
		assert.Contains(t, floodedLeases[50:], lease, "the newest leases are revoked")
		lease.Release()
	}
	assert.Len(t, acquire(other, 500), 25)
	assert.Empty(t, acquire(flooded, 500), "each service uses its whole guarantee")
	releaseAll(otherLeases)
	assert.Len(t, acquire(flooded, 500), 12, "half of the available 25: the other service still counts as a borrower")
}

func TestTree_BorrowersShareByWeight(t *testing.T) {
	tree := New(testConfig(1000))
	greedy := tree.Add(Spec{Name: "greedy", Weight: 1})
	heavy := tree.Add(Spec{Name: "heavy", Weight: 3})
	tree.Add(Spec{Name: "idle", Guarantee: 0.2, Weight: 1})
	leases := acquire(greedy, 5000)
	assert.Len(t, leases, 900)
	// After each request that ends, both services send new requests. The requests of the greedy service always come
	// first.
	admitted := 0
	for round := range 3000 {
		leases[0].Release()
		leases = append(leases[1:], acquire(greedy, 2)...)
		heavyLeases := acquire(heavy, 1)
		admitted += len(heavyLeases)
		leases = append(leases, heavyLeases...)
		if round > 2000 {
			assert.InDelta(t, 675, heavy.used[InFlight], 25)
			assert.InDelta(t, 225, greedy.used[InFlight], 25)
		}
	}
	assert.Greater(t, admitted, 600)
}

func TestService_TenantsShareContendedRequests(t *testing.T) {
	tree := New(testConfig(100))
	s := tree.Add(Spec{Name: "s", Guarantee: 1, Weight: 1, Tenants: []float64{1, 1}})
	acquireForTenant(s, 0, 300)
	assert.EqualValues(t, 75, s.used[InFlight], "a single active tenant may use three quarters")
	leases := acquireForTenant(s, 1, 300)
	assert.Len(t, leases, 25, "the last quarter is for tenants below their share")
	leases[0].Release()
	_, decision := s.Acquire(0, oneRequest)
	assert.Equal(t, OverTenantQuota, decision)
	assert.Equal(t, "over tenant quota", decision.String())
}

// One of 1000 services saturates the CPU. Only its requests are rejected, until the CPU is no longer saturated.
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
	// runSecond simulates one second with ten ticks and the given CPU load. It returns how many requests of the flooded
	// service and of ten other services were admitted.
	runSecond := func(cpu float64) (ofFlooded, ofOthers int) {
		for range 10 {
			for i := range 2000 {
				ofFlooded += admits(flooded)
				if i < 20 {
					ofOthers += admits(services[i%10+20])
				}
			}
			now += 0.1
			tree.Tick(now, cpu/10, 1)
		}
		return ofFlooded, ofOthers
	}
	runSecond(0.95)
	ofFlooded, ofOthers := runSecond(0.95)
	assert.Equal(t, 200, ofOthers)
	assert.Less(t, ofFlooded, 10000)
	runSecond(0.1)
	ofFlooded, ofOthers = runSecond(0.1)
	assert.Equal(t, 200, ofOthers)
	assert.Equal(t, 20000, ofFlooded)
}

func TestTree_SumsAfterUpdateResizeAndRemove(t *testing.T) {
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
