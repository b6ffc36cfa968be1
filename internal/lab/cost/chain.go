package cost

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/load"
)

// MaxDepth bounds a chain.
const MaxDepth = 32

// maxChainRequests bounds the requests that reach the servers of a chain in one case: retries of retries can grow by a
// power of the depth.
const maxChainRequests = 3_000_000

// FailurePoint is where requests fail in a chain, a share of them, with status 500.
type FailurePoint string

// The failure points. A server that fails before its work has not called the next tier; one that fails after it has.
const (
	FailNowhere    FailurePoint = "none"
	FailAtLastTier FailurePoint = "the last tier"
	FailBeforeWork FailurePoint = "each tier, before its work"
	FailAfterWork  FailurePoint = "each tier, after its work"
)

// Chain measures nodes and servers in a row: each server calls the next tier through that tier's node, a real process.
// The servers of a tier share one node here, so that a chain of 20 needs 20 processes; on the platform each has its
// own, which knows less of the next tier.
type Chain struct {
	RigConfig              // of each tier
	Depths    []int        // of MeasureLatency: nodes on a call's path
	Progress  ProgressFunc // may be nil
}

// AttemptCase is a chain whose servers fail, and the calls that are made at its first node.
type AttemptCase struct {
	Depth     int
	FailAt    FailurePoint
	FailShare float64 // of the requests
	Calls     int
	Callers   int // each makes one call after another
	Seed      int64
}

// AttemptCounts is what became of the calls of an AttemptCase, and how many attempts they were for the servers.
type AttemptCounts struct {
	AttemptCase
	OK, Rejected        int
	Aborted, Unanswered int
	Tiers               []int64 // requests that reached each tier, the first node's first
}

// FirstTierPerCall returns the requests that reached the first tier, a call.
func (a *AttemptCounts) FirstTierPerCall() float64 { return float64(a.Tiers[0]) / float64(a.Calls) }

// LastTierPerCall returns the requests that reached the last tier, a call.
func (a *AttemptCounts) LastTierPerCall() float64 {
	return float64(a.Tiers[len(a.Tiers)-1]) / float64(a.Calls)
}

// CountAttempts plays a case on a fresh chain, since what a node has learned in one case must not help it in the next,
// and counts. No count depends on the time that anything takes where the deadline is long enough and hedging is off.
func (c *Chain) CountAttempts(ctx context.Context, attempts AttemptCase) (*AttemptCounts, error) {
	chain, err := startTiers(ctx, &c.RigConfig, &attempts)
	if err != nil {
		return nil, err
	}
	defer chain.close()
	counts := &AttemptCounts{AttemptCase: attempts}
	var mu sync.Mutex
	var started atomic.Int64
	var calling sync.WaitGroup
	for range attempts.Callers {
		calling.Go(func() {
			for started.Add(1) <= int64(attempts.Calls) && ctx.Err() == nil && !chain.exceeded.Load() {
				status, err := chain.all[0].call(false, c.Deadline)
				mu.Lock()
				counts.count(status, err)
				mu.Unlock()
			}
		})
	}
	calling.Wait()
	if err := errors.Join(ctx.Err(), chain.crashed()); err != nil {
		return nil, err
	}
	if chain.exceeded.Load() {
		return nil, fmt.Errorf("%d deep, %s failing %v: more than %d requests reached the servers for %d calls",
			attempts.Depth, attempts.FailAt, attempts.FailShare, maxChainRequests, attempts.Calls)
	}
	for _, tier := range chain.all {
		counts.Tiers = append(counts.Tiers, tier.requests.Load())
	}
	return counts, nil
}

// count counts a call by its end.
func (a *AttemptCounts) count(status int, err error) {
	switch {
	case err != nil:
		a.Unanswered++
	case status == http.StatusOK:
		a.OK++
	case status == http.StatusServiceUnavailable:
		a.Rejected++
	default:
		a.Aborted++
	}
}

// LatencyConfig is the load of a latency measurement.
type LatencyConfig struct {
	Rate     int           // calls a second at the first node, open loop
	Duration time.Duration // measured, of each play
	Rounds   int
	Seed     uint64
}

// MeasureLatency measures open-loop calls by depth, through the nodes and past them, in turns on one chain: calls that
// are to pass fewer nodes enter it nearer its end. A sample's case is its depth.
func (c *Chain) MeasureLatency(ctx context.Context, config LatencyConfig) (Samples, error) {
	deepest := 0
	for _, depth := range c.Depths {
		deepest = max(deepest, depth)
	}
	chain, err := startTiers(ctx, &c.RigConfig,
		&AttemptCase{Depth: deepest, FailAt: FailNowhere, Seed: int64(config.Seed)})
	if err != nil {
		return nil, err
	}
	defer chain.close()
	player := &openLoop{duration: config.Duration, seed: config.Seed}
	var samples Samples
	for round := range config.Rounds {
		arrivals, err := player.plan(config.Rate, round)
		if err != nil {
			return nil, err
		}
		for _, depth := range rotate(c.Depths, round) {
			for _, target := range rotate(chain.all[deepest-depth].targets(), round) {
				sample := Sample{Target: target.name, Case: depth, Round: round}
				if err := player.play(ctx, target, arrivals, &sample); err != nil {
					return nil, fmt.Errorf("%d deep, %s: %w", depth, target.name, err)
				}
				if err := errors.Join(ctx.Err(), chain.crashed()); err != nil {
					return nil, err
				}
				samples = append(samples, sample)
				report(c.Progress, "round %d, %d deep, %s: %d of %d ok, p50 %v, p99 %v",
					round+1, depth, target.name, sample.OK, sample.Calls, sample.P50, sample.P99)
			}
		}
	}
	return samples, nil
}

// targets returns the two ways into the chain at this tier: directly to a server, and by the node.
func (t *tier) targets() []*target {
	return []*target{
		{
			name:         Direct,
			path:         directPath,
			destinations: []load.Destination{{Node: noNode, Addr: t.servers.address(0)}},
		},
		{name: ChainNode, destinations: []load.Destination{{Addr: t.node.Addr}}},
	}
}
