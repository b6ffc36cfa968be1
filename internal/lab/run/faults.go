package run

import (
	"context"
	"sync"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/plan"
)

// playFaults makes all faults at their times and reverts each. It returns when all are over or the context has ended.
func (f *fleet) playFaults(ctx context.Context, start time.Time) []Span {
	var playing sync.WaitGroup
	spans := make([]Span, len(f.experiment.Faults))
	for i, fault := range f.experiment.Faults {
		target, err := experiment.ParseFaultTarget(fault.Target)
		if err != nil {
			continue // checked with the file
		}
		at := fault.At.Std()
		name := string(fault.Kind) + " " + fault.Target
		spans[i] = Span{Name: name, From: at, To: at + fault.For.Std()}
		playing.Go(func() {
			if !sleep(ctx, time.Until(start.Add(at))) {
				return
			}
			f.logf("%v: %s", at, name)
			f.playFault(ctx, fault, target)
		})
	}
	playing.Wait()
	return spans
}

// sleep waits and returns true, or returns false when the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// playFault makes a fault and reverts it after its duration.
func (f *fleet) playFault(ctx context.Context, fault experiment.Fault, target experiment.FaultTarget) {
	switch {
	case target.Kind == experiment.TargetDiscovery:
		f.playDiscoveryFault(ctx, fault, f.discoveries[target.Tier])
	case target.Kind == experiment.TargetNode:
		concurrently(f.targetNodes(target), func(number int) { f.playNodeFault(ctx, fault, number) })
	case fault.UsesProxy():
		f.playNetworkFault(ctx, fault, f.targetServers(target))
	default:
		f.playServerFault(ctx, fault, f.targetServers(target))
	}
}

// concurrently calls a function for each element, and returns when all calls have.
func concurrently[T any](elements []T, call func(T)) {
	var calls sync.WaitGroup
	for _, element := range elements {
		calls.Go(func() { call(element) })
	}
	calls.Wait()
}

// targetServers finds the servers of a fault's target. A share is the same servers for the same seed.
func (f *fleet) targetServers(target experiment.FaultTarget) []*serverSlot {
	servers := f.tiers[target.Tier]
	switch {
	case target.Index >= 0:
		return servers[target.Index : target.Index+1]
	case target.Zone != "":
		var inZone []*serverSlot
		for _, s := range servers {
			if s.zone == target.Zone {
				inZone = append(inZone, s)
			}
		}
		return inZone
	case target.Share < 1:
		var share []*serverSlot
		for _, i := range drawShare(f.experiment.Seed, "faults", target.Share, len(servers)) {
			share = append(share, servers[i])
		}
		return share
	}
	return servers
}

// targetNodes finds the nodes of a fault's target, by number. A share is the same nodes for the same seed.
func (f *fleet) targetNodes(target experiment.FaultTarget) []int {
	if target.Index >= 0 {
		return []int{target.Index}
	}
	return drawShare(f.experiment.Seed, "node faults", target.Share, f.experiment.Fleet.Nodes)
}

// drawShare draws a share of n elements, at least one.
func drawShare(seed uint64, source string, share float64, n int) []int {
	count := max(1, int(share*float64(n)+0.5))
	return plan.NewSource(seed, source).Perm(n)[:count]
}
