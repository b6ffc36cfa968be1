package quota

import "math"

// cpuSmoothing is the time constant, in seconds, of the exponential moving average of a service's CPU usage.
const cpuSmoothing = 1.0

// minActiveCPU is the smoothed CPU usage, as a fraction of the cores, at or below which a service without requests is
// inactive.
const minActiveCPU = 1e-4

// Tick updates the CPU usage, and revokes leases if a service has been short of its guarantee for RevokeAfter. It
// returns the revoked leases. The caller calls it several times per second, with the time in seconds, the CPU seconds
// that the process has used since the last call, and the number of cores.
func (t *Tree) Tick(now, cpuSeconds, cores float64) []*Lease {
	if elapsed := now - t.lastTickAt; t.lastTickAt > 0 && elapsed > 0 {
		t.measureCPU(elapsed, cpuSeconds, cores)
		t.expireRefusals()
	}
	t.lastTickAt = now
	return t.revoke(now)
}

// measureCPU attributes the used CPU to the services in proportion to the numbers of their requests.
func (t *Tree) measureCPU(elapsed, cpuSeconds, cores float64) {
	totalRequests := 0.0
	for _, s := range t.services {
		totalRequests += s.requests
	}
	t.cpuLoad = cpuSeconds / elapsed / cores
	t.activeCPUWeight = 0
	decay := math.Exp(-elapsed / cpuSmoothing)
	for _, s := range t.services {
		used := 0.0
		if totalRequests > 0 {
			used = cpuSeconds / elapsed / cores * s.requests / totalRequests
		}
		s.cpu = s.cpu*decay + used*(1-decay)
		s.activeCPU = s.requests > 0 || s.cpu > minActiveCPU
		if s.activeCPU {
			t.activeCPUWeight += s.Weight
		}
		s.requests = 0
	}
}

// expireRefusals clears refusedRecently of each service whose borrowing was not refused since the last tick. Such a
// service no longer counts as a borrower, unless it holds a borrowed amount.
func (t *Tree) expireRefusals() {
	for _, s := range t.services {
		if s.refusedRecently && !s.refusedSinceTick {
			s.change(func() { s.refusedRecently = false })
		}
		s.refusedSinceTick = false
	}
}

// countRequest counts a request, whether it is admitted or rejected. measureCPU divides the CPU usage among services by
// these counts.
func (s *Service) countRequest() {
	s.requests++
	if !s.activeCPU && !s.removed {
		s.activeCPU = true
		s.tree.activeCPUWeight += s.Weight
	}
}

// overCPU reports whether the CPU is saturated and the service uses more than its fair share of the CPU. The fair share
// is the larger of two fractions of the CPU that the process uses. The first fraction is the service's guarantee. The
// second fraction is the service's share, by weight, of the fraction that is guaranteed to no service.
func (s *Service) overCPU() bool {
	t := s.tree
	if t.cpuLoad <= t.CPUThreshold || !s.activeCPU || t.activeCPUWeight <= 0 {
		return false
	}
	fairShare := max(s.Guarantee, (1-t.guaranteedFraction)*s.Weight/t.activeCPUWeight) * t.cpuLoad
	return s.cpu > fairShare && s.cpu > 0
}
