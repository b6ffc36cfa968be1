package membership

import (
	"cmp"
	"slices"
)

// MaxServers is how many servers of a service are tracked, those that left lately included: nodes accept no longer
// list.
const MaxServers = 20_000

// serverSet is a set of servers.
type serverSet map[*server]bool

// service is a service's servers, those included that have gone lately.
type service struct {
	servers map[string]*server // by ID
	shrink  shrinkWindow
}

// State is the state of one cluster as far as it has been observed. Each method that takes an observation returns what
// changed in the lists by it, servers that drain first. A State is not safe for concurrent use.
type State struct {
	config   Config
	now      float64
	revision int64

	services map[string]*service
	slices   map[string]map[string]Endpoint // by key of the slice, by server ID
	owners   map[string]string              // the service of each slice
	rejected map[string]int                 // by key of the slice: endpoints beyond MaxServers
	pods     map[string]Pod                 // by UID
	nodes    map[string]Node                // by name
	endedAt  map[string]float64             // by pod: when its end was observed first
	gatedAt  map[string]float64             // by pod: when its readiness gate was opened

	serversByPod  map[string]serverSet
	serversByNode map[string]serverSet
	dirty         serverSet // to be evaluated by settle
	waiting       serverSet // to be evaluated with each tick, since time alone changes them
}

// New returns a state that has observed nothing. Its first change has the revision after the given one.
func New(config Config, revision int64) *State {
	return &State{
		config:        config,
		revision:      revision,
		services:      make(map[string]*service),
		slices:        make(map[string]map[string]Endpoint),
		owners:        make(map[string]string),
		rejected:      make(map[string]int),
		pods:          make(map[string]Pod),
		nodes:         make(map[string]Node),
		endedAt:       make(map[string]float64),
		gatedAt:       make(map[string]float64),
		serversByPod:  make(map[string]serverSet),
		serversByNode: make(map[string]serverSet),
		dirty:         make(serverSet),
		waiting:       make(serverSet),
	}
}

// Revision returns the revision of the latest change.
func (s *State) Revision() int64 { return s.revision }

// Rejected returns how many endpoints of a slice are left out since its service has MaxServers already.
func (s *State) Rejected(sliceKey string) int { return s.rejected[sliceKey] }

// Members returns a service's list by ID, without servers that have gone.
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

// UpdateSlice observes a slice of a service. Servers that it no longer lists have vanished from it.
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
	s.owners[key] = serviceName
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
	return s.settle()
}

// mergeByID returns a slice's endpoints by server ID. Of two endpoints of one server the later one is taken, but the
// server is ready only if both are, and terminates if either does.
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

// trackServer returns a service's server, a new one if the ID is not known; nil if the service has too many.
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

// setNode notes the node that a server runs on.
func (s *State) setNode(server *server, node string) {
	if server.node == node {
		return
	}
	removeFromIndex(s.serversByNode, server.node, server)
	addToIndex(s.serversByNode, node, server)
	server.node = node
}

// DeleteSlice observes that a slice was deleted.
func (s *State) DeleteSlice(key string, now float64) []Change {
	s.advance(now)
	if owner := s.services[s.owners[key]]; owner != nil {
		s.removeFromSlice(key, owner, s.slices[key], nil)
	}
	delete(s.slices, key)
	delete(s.owners, key)
	delete(s.rejected, key)
	return s.settle()
}

// removeFromSlice removes the endpoints of a slice that it had before and no longer lists.
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

// UpdatePod observes a pod. One whose end was observed stays ended, whatever a late event reports.
func (s *State) UpdatePod(pod Pod, now float64) []Change {
	s.advance(now)
	_, ended := s.endedAt[pod.UID]
	if !ended && (pod.Finished || pod.Deleting) {
		s.endedAt[pod.UID] = now
	}
	s.pods[pod.UID] = pod
	s.markDirty(s.serversByPod[pod.UID])
	return s.settle()
}

// MarkPodMissing observes that a list lacks a pod: it was deleted while nobody watched, or the list is incomplete.
// Nothing is concluded from that alone; where no slice lists the pod either, it has vanished.
func (s *State) MarkPodMissing(uid string, now float64) []Change {
	s.advance(now)
	delete(s.pods, uid)
	s.markDirty(s.serversByPod[uid])
	return s.settle()
}

// DeletePod observes that a pod was deleted.
func (s *State) DeletePod(uid string, now float64) []Change {
	s.advance(now)
	pod, known := s.pods[uid]
	if !known && s.serversByPod[uid] == nil {
		return s.settle()
	}
	pod.UID = uid
	pod.Finished = true
	return s.UpdatePod(pod, now)
}

// UpdateNode observes a node.
func (s *State) UpdateNode(name string, node Node, now float64) []Change {
	s.advance(now)
	if node.Missing {
		delete(s.nodes, name) // the end of its pods is observed by itself
	} else {
		s.nodes[name] = node
	}
	s.markDirty(s.serversByNode[name])
	return s.settle()
}

// Tick observes that time has passed. It is to be called some times a second.
func (s *State) Tick(now float64) []Change {
	s.advance(now)
	// Only here: evaluated with each observation, the servers that left in the last minutes would make all of them
	// expensive.
	s.markDirty(s.waiting)
	for uid, endedAt := range s.endedAt {
		if s.now-endedAt > s.config.ForgetAfter && s.serversByPod[uid] == nil {
			delete(s.endedAt, uid)
			delete(s.pods, uid)
			delete(s.gatedAt, uid)
		}
	}
	return s.settle()
}

// advance sets the time. It never goes back: a clock that was set back must not undo a delay.
func (s *State) advance(now float64) { s.now = max(s.now, now) }

func (s *State) markDirty(servers serverSet) {
	for server := range servers {
		s.dirty[server] = true
	}
}

// hasEnded reports whether the end of a server's pod was observed.
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
