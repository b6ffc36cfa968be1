// Package decide makes all decisions of a node and does nothing else: which server gets a request, whether the request
// is retried or hedged, and which requests are rejected. It has no clock, socket or identifier of its own. The package
// that transports the RPCs (internal/simwire in the simulator, internal/core/node on sockets) creates one Balancer for
// each instance with New and calls one of its methods for each event. The Balancer acts through its Host before the
// method returns. It is deterministic: the same calls with the same seed lead to the same actions. docs/design.md gives
// the reasons for each decision.
//
// The files, each with the question that it answers:
//
//	host.go         which methods of its host does the Balancer call, and which types does the host pass?
//	settings.go     what can be configured?
//	configure.go    how do new settings take effect, even while RPCs are open?
//	state.go        what does the Balancer store for a server, an RPC and an attempt?
//	balancer.go     how is a Balancer created, and what happens when a timer fires?
//
//	requests.go     what happens between the arrival of an RPC and its end?
//	attempts.go     what happens between the sending of an attempt and its result?
//	feedback.go     which estimates does a result update?
//
//	selection.go    which server gets an attempt?
//	subset.go       which servers get most of the node's attempts?
//	estimator.go    how long would an RPC take at a server now?
//	qtable.go       which latencies were observed by method, tenant, load level and server (the paper's Q-table)?
//	latency.go      what is a method's typical latency, and how much slower than expected is a server?
//	loadreports.go  how many RPCs of other nodes do the servers report?
//
//	admission.go    how many RPCs may be open, and which are rejected?
//	quota.go        which RPCs exceed their tenant's quota?
//	retry.go        may an RPC have another attempt, and does it end with a pushback or an abort?
//	hedging.go      when does a late attempt get a hedged request?
//	stalledresponse.go  what happens if an answer has begun and does not go on?
//	slowstart.go    how many attempts may a server that has just started get?
//	ejection.go     which servers are outliers?
//	connections.go  which idle connections may be reused?
//
//	membership.go   what does a watch event change?
//	watch.go        when is the endpoint list watched again?
//	decaying.go     how do sums and means decay over time?
package decide
