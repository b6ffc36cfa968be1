// Package membership derives the servers of each service and their phases from the objects that a cluster manager
// reports: EndpointSlices, pods and Kubernetes nodes. It also limits how many servers are in slow start at once,
// through the readiness gates of pods.
//
// The package is a pure state machine: State takes observations and the time, and returns the changes of the lists of
// servers. It has no goroutine, no I/O and no clock. Times are in seconds since a point in time that the caller
// chooses.
package membership

// Endpoint is one endpoint of an EndpointSlice.
type Endpoint struct {
	Addr        string // HOST:PORT
	Pod         string // UID of the pod; empty if the EndpointSlice does not name a pod
	Node        string // name of the Kubernetes node
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
	GatedService    string // service for which the pod's readiness gate limits slow starts; empty: the pod has no gate
	Deleting        bool
	Finished        bool    // failed or succeeded
	StartedAt       float64 // when the last of the pod's containers started; 0: not known
	ContainersReady bool    // all containers of the pod are ready
	GateOpen        bool    // the condition of the pod's readiness gate is true
}

// Node is the state of a Kubernetes node.
type Node struct {
	Zone     string
	Evicting bool // the node has a taint with the effect NoExecute, which evicts pods from the node
	Cordoned bool
	Missing  bool // the node does not exist
}

// Phase is the phase of a server. The discovery protocol uses the same names.
type Phase string

// Phases of a server.
const (
	Ready    Phase = "ready"
	Draining Phase = "draining" // the server gets no new requests; requests in flight continue
	Gone     Phase = "gone"
)

// Member is a server in a service's list.
type Member struct {
	ID        string // UID of the pod; the address if no pod is known
	Addr      string
	Zone      string
	Phase     Phase
	StartedAt float64
}

// Change is a changed server of a service, with the revision of the lists after the change.
type Change struct {
	Revision int64
	Service  string
	Member
}
