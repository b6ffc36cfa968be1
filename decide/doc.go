// Package decide makes all decisions of a node and does nothing else: which server gets a request, whether it is sent
// again, and what is rejected. It knows no clock, socket or identifier. Whoever carries RPCs (internal/simwire in the
// simulator, internal/core/node on sockets) makes one Balancer for each instance with New and calls one method for each
// event; the Balancer acts at once through its Host. It is deterministic: the same calls with the same seed lead to the
// same actions. docs/design.md has the reasons behind each decision.
//
// The files, by the question that each answers:
//
//	host.go         what does the Balancer call, and what are the types of its own calls?
//	settings.go     what is configured?
//	configure.go    how do settings take effect, also while RPCs are open?
//	state.go        what is known of one server, one RPC, one attempt?
//	balancer.go     what makes up a Balancer? New, timers
//
//	requests.go     what happens from an RPC's arrival to its end?
//	attempts.go     what happens from an attempt's sending to its result?
//	feedback.go     what does each result teach?
//
//	selection.go    which server gets an attempt?
//	subset.go       which servers does the node know well enough to send to?
//	estimator.go    how long would an RPC take at a server now?
//	qtable.go       what was learnt by method, tenant, load level and server? The paper's Q-table
//	latency.go      how long does a method take, and how fast is a server beside what was expected of it?
//	loadreports.go  what do servers report of other nodes' RPCs?
//
//	admission.go    how many RPCs may be open, and which are rejected?
//	quota.go        what is beyond a tenant's quota?
//	retry.go        may an RPC be attempted again, and how does it end for its client?
//	hedging.go      when is a late attempt given a hedged request?
//	slowstart.go    what may a server be sent that has just started?
//	ejection.go     which servers are outliers?
//	connections.go  which idle connections are trusted?
//
//	membership.go   what does a watch event change?
//	watch.go        when is the endpoint list watched again?
//	decaying.go     how do sums and means fade with time?
package decide
