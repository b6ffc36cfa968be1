package quota

import "math"

// cpuSmoothing is the time constant, in seconds, by which a service's use of the CPU is smoothed.
const cpuSmoothing = 1.0

// minCPU is the part of the cores below which a service without requests counts as inactive.
const minCPU = 1e-4

// Tick measures the CPU, and returns the leases that are revoked by it. It is called a few times a second with the time
// in seconds, the CPU seconds that the process has used since the last call, and the cores that it has.
func (t *Tree) Tick(now, cpuSeconds, cores float64) []*Lease {
	if elapsed := now - t.tickedAt; t.tickedAt > 0 && elapsed > 0 {
		t.measureCPU(elapsed, cpuSeconds, cores)
		t.forgetRefusals()
	}
	t.tickedAt = now
	return t.revoke(now)
}

// measureCPU divides the CPU that was used among the services by their requests.
func (t *Tree) measureCPU(elapsed, cpuSeconds, cores float64) {
	allRequests := 0.0
	for _, s := range t.services {
		allRequests += s.requests
	}
	t.cpuLoad = cpuSeconds / elapsed / cores
	t.activeCPUWeight = 0
	previous := math.Exp(-elapsed / cpuSmoothing)
	for _, s := range t.services {
		used := 0.0
		if allRequests > 0 {
			used = cpuSeconds / elapsed / cores * s.requests / allRequests
		}
		s.cpu = s.cpu*previous + used*(1-previous)
		s.activeCPU = s.requests > 0 || s.cpu > minCPU
		if s.activeCPU {
			t.activeCPUWeight += s.Weight
		}
		s.requests = 0
	}
}

// forgetRefusals ends the borrowing of services that were not refused to borrow since the last tick.
func (t *Tree) forgetRefusals() {
	for _, s := range t.services {
		if s.refusedLately && !s.refusedNow {
			s.change(func() { s.refusedLately = false })
		}
		s.refusedNow = false
	}
}

// countRequest counts a request, admitted or not, for the division of the CPU.
func (s *Service) countRequest() {
	s.requests++
	if !s.activeCPU && !s.removed {
		s.activeCPU = true
		s.tree.activeCPUWeight += s.Weight
	}
}

// overCPU reports whether the cores are saturated and the service uses more than its fair part: its guarantee, or its
// part by weight of what is not guaranteed to anybody.
func (s *Service) overCPU() bool {
	t := s.tree
	if t.cpuLoad <= t.CPUThreshold || !s.activeCPU || t.activeCPUWeight <= 0 {
		return false
	}
	fair := max(s.Guarantee, (1-t.guaranteedFraction)*s.Weight/t.activeCPUWeight) * t.cpuLoad
	return s.cpu > fair && s.cpu > 0
}
