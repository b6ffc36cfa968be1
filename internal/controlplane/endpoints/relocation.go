package endpoints

import "time"

const (
	// maxRelocationDelay is the time after a change of discovery's address in which a node must apply what the new
	// discovery has. It is shorter than MaxUpdateDelay, and it also counts while discovery rejects polls.
	maxRelocationDelay = 4 * time.Second

	// minRelocationPause is the shortest bound of the pause after a rejected poll of a new address.
	minRelocationPause = 250 * time.Millisecond

	// relocationSpread is the bound of the pause per squared number of nodes: the number of polls that meet another
	// node's poll grows with the square of the number of nodes.
	relocationSpread = 50 * time.Millisecond

	// maxRelocationPolls is the largest number of rejected polls that are followed by a pause for a new address, until
	// a list arrives. It bounds what a series of changes of the address costs discovery.
	maxRelocationPolls = 7

	// maxRejectionLoad is the largest fraction of discovery's time that the rejections of all nodes' polls may take, if
	// a rejection takes discovery as long as a node waits for it.
	maxRejectionLoad = 0.25
)

// relocation is the state of a Watcher after a change of discovery's address.
type relocation struct {
	pending    bool      // no list of the current address has arrived since the change
	changedAt  time.Time // the last change of the address
	rejections int       // rejected polls while the relocation was pending, up to maxRelocationPolls
}

// begin starts a relocation, or continues a pending one with another address.
func (r *relocation) begin(now time.Time) { r.pending, r.changedAt = true, now }

// end ends a relocation: a list of the current address has arrived.
func (r *relocation) end() { r.pending, r.rejections = false, 0 }

// boundPause returns the longest pause after a poll that was rejected now. nodes is the number of nodes that share
// discovery, rejectionTime the time from the start of the poll to its rejection, and longest the longest pause without
// a relocation.
func (r *relocation) boundPause(nodes int, now time.Time, rejectionTime, longest time.Duration) time.Duration {
	if !r.pending || r.rejections >= maxRelocationPolls {
		return longest
	}
	r.rejections++
	left := maxRelocationDelay - now.Sub(r.changedAt)
	return maxPauseInRelocation(nodes, left, rejectionTime, longest)
}

// maxPauseInRelocation returns the longest pause after a rejection with the time left until the new discovery's list
// must be applied.
//
// The pauses get shorter as the time runs out, so that a discovery that rejects polls at first is polled again in time.
// The additional polls come late, when most other nodes have their lists already. Polls of many nodes, or rejections
// that take discovery long, would keep it from answering other nodes, so then the pause is longest.
func maxPauseInRelocation(nodes int, left, rejectionTime, longest time.Duration) time.Duration {
	spread := relocationSpread * time.Duration(nodes*nodes)
	forRejections := time.Duration(float64(nodes) / maxRejectionLoad * float64(rejectionTime))
	shortest := max(minRelocationPause, spread, forRejections)
	if left <= 0 || shortest >= longest {
		return longest
	}
	pause := min(max(shortest, left/2), left*3/4)
	return min(longest, max(minRelocationPause, pause))
}
