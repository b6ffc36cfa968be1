// Package membership decides which servers a service has, and in which phase each of them is, from what a cluster
// manager reports: endpoints of slices, pods and nodes. It also decides how many servers may be in slow start at once,
// by pods' readiness gates.
//
// The package is a pure state machine: State is given observations and the time, and returns what changed in the lists
// of servers. It has no goroutine, no I/O and no clock. Times are seconds since a zero that the caller chooses.
package membership

// Endpoint is one endpoint of an EndpointSlice.
type Endpoint struct {
	Addr        string // with the port
	Pod         string // UID of the pod; empty if the slice does not name one
	Node        string
	Zone        string
	Ready       bool
	Terminating bool
}

// id returns the ID of the server that the endpoint belongs to.
func (e Endpoint) id() string {
	if e.Pod != "" {
		return e.Pod
	}
	return e.Addr
}

// Pod is the state of a pod.
type Pod struct {
	UID             string
	GatedService    string // service whose slow starts the pod's readiness gate paces; empty: it has no gate
	Deleting        bool
	Finished        bool    // failed or succeeded
	StartedAt       float64 // when the last of its containers started; 0: not known
	ContainersReady bool    // all its containers are ready
	GateOpen        bool    // the condition of its readiness gate is true
}

// Node is the state of a node.
type Node struct {
	Zone     string
	Evicting bool // it has a taint that evicts its pods
	Cordoned bool
	Missing  bool // there is no such node
}

// Phase is the phase of a server. The discovery protocol has the same names.
type Phase string

// Phases of a server.
const (
	Ready    Phase = "ready"
	Draining Phase = "draining" // it takes no new requests; those in flight go on
	Gone     Phase = "gone"
)

// Member is a server in a service's list.
type Member struct {
	ID        string // UID of the pod, or the address where no pod is known
	Addr      string
	Zone      string
	Phase     Phase
	StartedAt float64
}

// Change is a server that changed, and the revision that the lists have with it.
type Change struct {
	Revision int64
	Service  string
	Member
}
