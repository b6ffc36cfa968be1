package membership

import (
	"cmp"
	"slices"
)

// MaxServers is the maximum number of servers that are tracked per service, including servers that left within
// ForgetAfter. Robincart nodes do not accept longer lists.
const MaxServers = 20_000

// serverSet is a set of servers.
type serverSet map[*server]bool

// service holds the servers of a service, including servers that left within ForgetAfter.
type service struct {
	servers map[string]*server // by ID
	shrink  shrinkWindow
}

// State is the observed state of one cluster. Each method that takes an observation returns the resulting changes of
// the lists, draining servers first. A State is not safe for concurrent use.
type State struct {
	config   Config
	now      float64
	revision int64

	services      map[string]*service
	slices        map[string]map[string]Endpoint // by key of the EndpointSlice, then by server ID
	sliceServices map[string]string              // name of the service, by key of the EndpointSlice
	rejected      map[string]int                 // by key of the EndpointSlice: number of endpoints beyond MaxServers
	pods          map[string]Pod                 // by UID
	nodes         map[string]Node                // Kubernetes nodes, by name
	endedAt       map[string]float64             // by UID of the pod: when the pod's end was first observed
	gateOpenTimes map[string]float64             // by UID of the pod: when the pod's readiness gate was opened

	serversByPod  map[string]serverSet
	serversByNode map[string]serverSet
	dirty         serverSet // to be evaluated by evaluateDirty
	timeDependent serverSet // to be evaluated on each Tick, since their phases also depend on time
}

// New returns a state without observations. The first change of the state gets the revision revision + 1.
func New(config Config, revision int64) *State {
	return &State{
		config:        config,
		revision:      revision,
		services:      make(map[string]*service),
		slices:        make(map[string]map[string]Endpoint),
		sliceServices: make(map[string]string),
		rejected:      make(map[string]int),
		pods:          make(map[string]Pod),
		nodes:         make(map[string]Node),
		endedAt:       make(map[string]float64),
		gateOpenTimes: make(map[string]float64),
		serversByPod:  make(map[string]serverSet),
		serversByNode: make(map[string]serverSet),
		dirty:         make(serverSet),
		timeDependent: make(serverSet),
	}
}

// Revision returns the revision of the latest change.
func (s *State) Revision() int64 { return s.revision }

// Rejected returns the number of endpoints of an EndpointSlice that are not tracked because the service already has
// MaxServers servers.
func (s *State) Rejected(sliceKey string) int { return s.rejected[sliceKey] }

// Members returns the published servers of a service, sorted by ID. Servers that are gone are not included.
func (s *State) Members(serviceName string) []Member {
	var members []Member
	if service := s.services[serviceName]; service != nil {
		for _, server := range service.servers {
			if server.published && server.Phase != Gone {
				members = append(members, server.Member)
			}
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// UpdateSlice records the endpoints of an EndpointSlice of a service. A server that the EndpointSlice listed before,
// and that is not among the endpoints, has vanished from the EndpointSlice.
func (s *State) UpdateSlice(key, serviceName string, endpoints []Endpoint, now float64) []Change {
	s.advance(now)
	owner := s.services[serviceName]
	if owner == nil {
		owner = &service{servers: make(map[string]*server)}
		s.services[serviceName] = owner
	}
	before := s.slices[key]
	listed := mergeByID(endpoints)
	s.slices[key] = listed
	s.sliceServices[key] = serviceName
	delete(s.rejected, key)
	for id, endpoint := range listed {
		server := s.trackServer(owner, serviceName, id, endpoint.Pod)
		if server == nil {
			s.rejected[key]++
			continue
		}
		s.setNode(server, endpoint.Node)
		server.endpoints[key] = endpoint
		s.dirty[server] = true
	}
	s.removeFromSlice(key, owner, before, listed)
	return s.evaluateDirty()
}

// mergeByID returns the endpoints of an EndpointSlice, keyed by server ID. If two endpoints have the same server ID,
// they are merged: the merged endpoint is ready only if both are ready, and terminating if either is terminating. All
// its other fields are those of the later endpoint.
func mergeByID(endpoints []Endpoint) map[string]Endpoint {
	byID := make(map[string]Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		if other, duplicate := byID[endpoint.id()]; duplicate {
			endpoint.Ready = endpoint.Ready && other.Ready
			endpoint.Terminating = endpoint.Terminating || other.Terminating
		}
		byID[endpoint.id()] = endpoint
	}
	return byID
}

// trackServer returns the server with an ID, and adds the server to the service if it is not known yet. It returns nil
// if the server is not known and the service already has MaxServers servers.
func (s *State) trackServer(owner *service, serviceName, id, pod string) *server {
	if known := owner.servers[id]; known != nil {
		return known
	}
	if len(owner.servers) >= MaxServers {
		return nil
	}
	added := &server{
		Member:    Member{ID: id, Phase: Gone},
		service:   serviceName,
		pod:       pod,
		endpoints: make(map[string]Endpoint),
	}
	owner.servers[id] = added
	addToIndex(s.serversByPod, pod, added)
	return added
}

// setNode records the Kubernetes node that a server runs on.
func (s *State) setNode(server *server, node string) {
	if server.node == node {
		return
	}
	removeFromIndex(s.serversByNode, server.node, server)
	addToIndex(s.serversByNode, node, server)
	server.node = node
}

// DeleteSlice records the deletion of an EndpointSlice.
func (s *State) DeleteSlice(key string, now float64) []Change {
	s.advance(now)
	if owner := s.services[s.sliceServices[key]]; owner != nil {
		s.removeFromSlice(key, owner, s.slices[key], nil)
	}
	delete(s.slices, key)
	delete(s.sliceServices, key)
	delete(s.rejected, key)
	return s.evaluateDirty()
}

// removeFromSlice deletes the endpoint of each server that an EndpointSlice listed before and no longer lists.
func (s *State) removeFromSlice(key string, owner *service, before, listed map[string]Endpoint) {
	for id := range before {
		server := owner.servers[id]
		if _, still := listed[id]; server == nil || still {
			continue
		}
		delete(server.endpoints, key)
		s.dirty[server] = true
	}
}

// UpdatePod records the state of a pod. A pod whose end was observed stays ended, even if a late event reports it as
// running.
func (s *State) UpdatePod(pod Pod, now float64) []Change {
	s.advance(now)
	_, ended := s.endedAt[pod.UID]
	if !ended && (pod.Finished || pod.Deleting) {
		s.endedAt[pod.UID] = now
	}
	s.pods[pod.UID] = pod
	s.markDirty(s.serversByPod[pod.UID])
	return s.evaluateDirty()
}

// MarkPodMissing records that a list of pods does not contain a known pod: the pod was deleted between two watches, or
// the list is incomplete. The pod's server keeps its phase while an EndpointSlice lists the server. If no EndpointSlice
// lists the server, the server has vanished.
func (s *State) MarkPodMissing(uid string, now float64) []Change {
	s.advance(now)
	delete(s.pods, uid)
	s.markDirty(s.serversByPod[uid])
	return s.evaluateDirty()
}

// DeletePod records the deletion of a pod.
func (s *State) DeletePod(uid string, now float64) []Change {
	s.advance(now)
	pod, known := s.pods[uid]
	if !known && s.serversByPod[uid] == nil {
		return s.evaluateDirty()
	}
	pod.UID = uid
	pod.Finished = true
	return s.UpdatePod(pod, now)
}

// UpdateNode records the state of a Kubernetes node.
func (s *State) UpdateNode(name string, node Node, now float64) []Change {
	s.advance(now)
	if node.Missing {
		delete(s.nodes, name) // the ends of the Kubernetes node's pods are observed separately
	} else {
		s.nodes[name] = node
	}
	s.markDirty(s.serversByNode[name])
	return s.evaluateDirty()
}

// Tick evaluates the servers whose phase depends on time. It should be called several times per second.
func (s *State) Tick(now float64) []Change {
	s.advance(now)
	// Evaluate the servers in timeDependent only here. They include all servers that left within ForgetAfter, so to
	// evaluate them after each observation would be expensive.
	s.markDirty(s.timeDependent)
	for uid, endedAt := range s.endedAt {
		if s.now-endedAt > s.config.ForgetAfter && s.serversByPod[uid] == nil {
			delete(s.endedAt, uid)
			delete(s.pods, uid)
			delete(s.gateOpenTimes, uid)
		}
	}
	return s.evaluateDirty()
}

// advance sets the time, which never decreases: a clock that was set back must not undo a delay.
func (s *State) advance(now float64) { s.now = max(s.now, now) }

func (s *State) markDirty(servers serverSet) {
	for server := range servers {
		s.dirty[server] = true
	}
}

// hasEnded reports whether the end of a server's pod was observed: the pod was being deleted, had finished or was
// deleted.
func (s *State) hasEnded(server *server) bool {
	_, ended := s.endedAt[server.pod]
	return ended && server.pod != ""
}

func addToIndex(index map[string]serverSet, key string, server *server) {
	if key == "" {
		return
	}
	if index[key] == nil {
		index[key] = make(serverSet)
	}
	index[key][server] = true
}

func removeFromIndex(index map[string]serverSet, key string, server *server) {
	delete(index[key], server)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}
