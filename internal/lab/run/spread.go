package run

import (
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/spread"
)

// The windows in which arrivals at servers are counted. Herds are counted in windows of a latency target, which is how
// long clients and servers notice one.
const (
	longWindow  = time.Second
	shortWindow = 100 * time.Millisecond
)

// spreadWarmUp is how long a run takes until nodes know their servers: what comes before is not counted.
const spreadWarmUp = 2 * time.Second

// addSpread adds how evenly a load was spread over the servers of the first tier.
func addSpread(
	metrics map[string]float64, e *experiment.Experiment, ledger *judge.Ledger, servers []int32, played time.Duration,
) {
	arrivals := serverArrivals(ledger)
	measure := func(window time.Duration) spread.Measures {
		return spread.Measure(arrivals, servers, spreadWarmUp, played, window)
	}
	long, short := measure(longWindow), measure(shortWindow)
	metrics["spread_dispersion"] = long.Dispersion
	metrics["spread_dispersion_100ms"] = short.Dispersion
	metrics["spread_peak"] = long.Peak
	metrics["spread_idle"] = long.Idle
	metrics["spread_agreement"] = short.Agreement
	metrics["spread_herds"] = float64(measure(e.Methods[0].Target.Std()).Herds)
}

// serverArrivals lists the requests at servers with the nodes that sent them; -1: none of this run's.
func serverArrivals(ledger *judge.Ledger) []spread.Arrival {
	nodes := map[judge.ID]int32{}
	ledger.EachAttempt(func(attempt judge.ClientAttempt) { nodes[attempt.ID] = attempt.Node })
	var arrivals []spread.Arrival
	ledger.EachServerRequest(func(request judge.ServerRequest) {
		node, known := nodes[request.ID]
		if !known {
			node = -1
		}
		arrivals = append(arrivals, spread.Arrival{Server: request.Server, Node: node, At: request.First})
	})
	return arrivals
}
