package peerplay

import (
	"math/rand/v2"
	"time"

	"robincart/internal/lab/peers"
)

// Event is what happens to the node's process in a play.
type Event string

// The events.
const (
	NoEvent     Event = "none"
	KillNode    Event = "kill"
	StopNode    Event = "stop"    // SIGTERM, SIGKILL at the earliest, a new process
	ReplaceNode Event = "replace" // by a process that takes its clients over
	ReloadNode  Event = "reload"  // SIGHUP, several times
	LoseServer  Event = "lose"    // a server goes, and another process takes its address
)

var events = []Event{NoEvent, KillNode, StopNode, ReplaceNode, ReloadNode, LoseServer}

// machines are the memory, in MB, and the descriptors of nodes.
var machines = [][2]int{{48, 1024}, {64, 384}, {192, 1024}}

// Plan is what a play does.
type Plan struct {
	Seed     uint64
	MemoryMB int
	Sockets  int
	Hedging  bool
	Event    Event
	Crowds   []Crowd
	Strains  []Strain
	Flood    peers.FloodKind // empty: none
	OneCore  bool            // the node has the last core, everything else the others
	Busy     int             // busy processes on the node's core
	Kills    int             // how often KillNode kills the node's process
}

// Strain is a number of clients of one straining kind.
type Strain struct {
	Clients int
	Kind    peers.StrainKind
}

// Crowd is a number of clients that all do the same again and again.
type Crowd struct {
	Clients int
	Request peers.Request
}

// The values that plans are drawn from.
var (
	crowdSizes = []int{10, 40, 150}
	framings   = []peers.Framing{peers.WithLength, peers.Chunked, peers.UntilClosed}
	bodySizes  = []int{150_000, 400_000, 1 << 20}
)

const (
	maxCrowds = 3
	// slowRate and fastRate are in bytes per second.
	slowRate = 30_000
	fastRate = 400_000
	// manyFields is near the most that a head of 16 KB holds.
	manyFields = 2500
	// maxBodyDelay, with maxHeadDelay, leaves a client's time for the first bytes of an answer.
	maxBodyDelay = 1400 * time.Millisecond
	maxHeadDelay = 200 * time.Millisecond
)

// strainSizes are the numbers of clients of a strain.
var strainSizes = []int{1, 5, 60, 300, 900}

// strainMachines are the machines of straining plays.
var strainMachines = [][2]int{{48, 1024}, {64, 384}, {48, 256}}

// The bounds of what a straining plan draws.
const maxStrains, maxBusy, maxKills = 3, 2, 2

// DrawStrainPlan draws the plan of a seed with straining clients, in place of most of its crowds, and one core for the
// node.
func DrawStrainPlan(seed uint64) Plan {
	const stream = 72
	plan := DrawPlan(seed)
	r := rand.New(rand.NewPCG(seed, stream))
	machine := pick(r, strainMachines)
	plan.MemoryMB, plan.Sockets = machine[0], machine[1]
	plan.OneCore = true
	plan.Crowds = plan.Crowds[:r.IntN(2)]
	for range 1 + r.IntN(maxStrains) {
		plan.Strains = append(plan.Strains, Strain{Clients: pick(r, strainSizes), Kind: pick(r, peers.StrainKinds)})
	}
	if r.IntN(3) == 0 {
		plan.Busy = 1 + r.IntN(maxBusy)
	}
	plan.Kills = 1 + r.IntN(maxKills)
	return plan
}

// DrawPlan draws the plan of a seed.
func DrawPlan(seed uint64) Plan {
	const stream = 68
	r := rand.New(rand.NewPCG(seed, stream))
	machine := pick(r, machines)
	plan := Plan{
		Kills: 1, Seed: seed, MemoryMB: machine[0], Sockets: machine[1], Hedging: r.IntN(3) > 0,
		Event: events[r.IntN(len(events))],
	}
	for range 1 + r.IntN(maxCrowds) {
		plan.Crowds = append(plan.Crowds, Crowd{Clients: pick(r, crowdSizes), Request: drawStraining(r)})
	}
	if r.IntN(4) == 0 {
		plan.Flood = pick(r, peers.FloodKinds)
	}
	return plan
}

func pick[T any](r *rand.Rand, choices []T) T { return choices[r.IntN(len(choices))] }

// drawStraining draws the request of a crowd.
func drawStraining(r *rand.Rand) peers.Request {
	size := pick(r, bodySizes)
	switch r.IntN(6) {
	case 0: // writes a large request slowly
		return peers.Request{Method: onceMethod, Size: size, Framing: framings[r.IntN(2)], WriteRate: 100_000}
	case 1: // stops halfway
		return peers.Request{Method: onceMethod, Size: size, Framing: framings[r.IntN(2)], StopAt: size / 2}
	case 2: // stops halfway in a request that is read with its head
		return peers.Request{Method: onceMethod, Size: 60_000, Framing: framings[r.IntN(2)], StopAt: 30_000}
	case 3: // sends very many short fields
		return peers.Request{Method: safeMethod, Fields: r.IntN(2 * manyFields)}
	case 4: // reads a long answer slowly
		return peers.Request{
			Method: safeMethod, ReadRate: 40_000, Behavior: peers.Behavior{Size: size, Framing: pick(r, framings)},
		}
	default: // reads hardly anything
		return peers.Request{
			Method: safeMethod, ReadRate: 200, Behavior: peers.Behavior{Size: 10 * size, Framing: pick(r, framings)},
		}
	}
}

// drawLongAnswer draws a request whose server gives a long answer late or slowly.
func drawLongAnswer(r *rand.Rand) peers.Request {
	behavior := peers.Behavior{
		Size: 80_000 + r.IntN(100_000), Framing: pick(r, framings),
		HeadDelay: rand.N(maxHeadDelay), BodyDelay: time.Duration(r.Int64N(int64(maxBodyDelay))),
		WriteRate: slowRate + r.IntN(fastRate),
	}
	return peers.Request{Method: safeMethod, Behavior: behavior}
}

// drawLargeRequest draws a large request whose server reads slowly or stops reading.
func drawLargeRequest(r *rand.Rand) peers.Request {
	behavior := peers.Behavior{ReadRate: slowRate + r.IntN(2*fastRate)}
	if r.IntN(2) == 0 {
		behavior = peers.Behavior{StopReadAt: 1 + r.IntN(20_000)}
	}
	return peers.Request{Method: onceMethod, Size: pick(r, bodySizes), Framing: framings[r.IntN(2)], Behavior: behavior}
}
