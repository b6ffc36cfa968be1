// Package decide makes all decisions of a node and does nothing else: which server gets a request, whether the request
// is sent again, and which requests are rejected. It has no clock, socket or identifier of its own. The package that
// transports the RPCs (internal/simwire in the simulator, internal/core/node on sockets) creates one Balancer for each
// instance with New and calls one method for each event. The Balancer acts through its Host before the method returns.
// It is deterministic: the same calls with the same seed lead to the same actions. docs/design.md gives the reasons for
// each decision.
//
// The files, each with the question that it answers:
//
//	host.go         what does the Balancer call, and what are the types of its own calls?
//	settings.go     what can be configured?
//	configure.go    how do settings take effect, also while RPCs are open?
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
//	qtable.go       which latencies were observed by method, tenant, load level and server? The paper's Q-table
//	latency.go      what is a method's typical latency, and a server's ratio of observed to expected latency?
//	loadreports.go  how many RPCs of other nodes do the servers report?
//
//	admission.go    how many RPCs may be open, and which are rejected?
//	quota.go        which RPCs exceed their tenant's quota?
//	retry.go        may an RPC have another attempt, and how does it end for its client?
//	hedging.go      when does a late attempt get a hedged request?
//	slowstart.go    how many attempts may a server get that has just started?
//	ejection.go     which servers are outliers?
//	connections.go  which idle connections may be reused?
//
//	membership.go   what does a watch event change?
//	watch.go        when is the endpoint list watched again?
//	decaying.go     how do sums and means decay over time?
package decide
