package run

import (
	"strings"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/spread"
	"robincart/internal/lab/standin"
)

// straightTarget is a target whose callers follow discovery until it is closed.
type straightTarget interface {
	load.Target
	Close()
}

// straightCallers are the callers of an arm without nodes: with one view of all traffic, or one each.
func straightCallers(e *experiment.Experiment, arm string, d *standin.Discovery) straightTarget {
	policy, perNode := strings.CutSuffix(arm, experiment.PerNode)
	if perNode {
		return standin.NewDirectClients(policy, d, e.Seed, e.Fleet.Nodes)
	}
	return standin.NewDirectClient(policy, d, e.Seed)
}

// firstTier are the numbers of the servers that nodes at the front send to.
func (f *Fleet) firstTier() (numbers []int32) {
	for _, p := range f.tiers[0] {
		numbers = append(numbers, p.now().Index)
	}
	return numbers
}

// Windows of the measures. What callers and servers feel of a herd lasts about a latency target.
const (
	longWindow  = time.Second
	shortWindow = 100 * time.Millisecond
)

// settling is how long a run takes until nodes know their servers: no measure of evenness counts what comes before.
const settling = 2 * time.Second

// evenness measures how evenly the first tier's servers were reached.
func evenness(e *experiment.Experiment, log *judge.Ledger, servers []int32, played time.Duration, metrics map[string]float64) {
	nodeOf := map[judge.ID]int32{}
	log.EachAttempt(func(t judge.ClientAttempt) { nodeOf[t.ID] = t.Node })
	var arrivals []spread.Arrival
	log.EachServerRequest(func(p judge.ServerRequest) {
		node, known := nodeOf[p.ID]
		if !known {
			node = -1
		}
		arrivals = append(arrivals, spread.Arrival{Server: p.Server, Node: node, At: p.First})
	})
	target := e.Method[0].Target.Std()
	long := spread.Measure(arrivals, servers, settling, played, longWindow)
	short := spread.Measure(arrivals, servers, settling, played, shortWindow)
	metrics["spread_dispersion"], metrics["spread_dispersion_100ms"] = long.Dispersion, short.Dispersion
	metrics["spread_peak"], metrics["spread_idle"] = long.Peak, long.Idle
	metrics["spread_agreement"] = short.Agreement
	metrics["spread_herds"] = float64(spread.Measure(arrivals, servers, settling, played, target).Herds)
}
