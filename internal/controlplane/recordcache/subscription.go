package recordcache

import (
	"encoding/json"
	"sync"
	"time"

	"robincart/decide"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/core/node"
	"robincart/internal/record/record"
)

// minWeight is the lowest weight of a server, also used if its recorded weight is missing.
const minWeight = 0.01

// phaseOf maps a server's state to the phase of its observation.
var phaseOf = map[decide.State]string{
	decide.Ready:    record.PhaseReady,
	decide.Draining: record.PhaseDraining,
	decide.Gone:     record.PhaseGone,
}

// Subscription connects the discovery of one service with the service's core. It receives endpoint lists as an
// endpoints.Receiver, merges each list with the record, and publishes the result to the core. A service that replaces
// another service has a Subscription of its own. The Subscription of the replaced service continues to receive lists
// from its own discovery until its last request has ended.
type Subscription struct {
	cache   *Cache
	service string
	list    *record.EndpointList // guarded by the cache's mutex

	mu            sync.Mutex // held during publish, so that the core gets lists in the order in which they were merged
	core          endpoints.Receiver
	lastPublished string // JSON of the last list that the core got
}

// Subscribe returns the subscription of a service whose endpoint list comes from source. It immediately publishes to
// the core the servers that are in the record, so that a node can serve before discovery has sent a list. It publishes
// none of them if another source had the service's name before: they may be the servers of another service.
func (c *Cache) Subscribe(service string, source record.ListSource, core endpoints.Receiver) *Subscription {
	c.mu.Lock()
	s := &Subscription{cache: c, service: service, core: core, list: c.view.StartList(service, source)}
	c.subscriptions[service] = s
	c.mu.Unlock()
	s.publish()
	return s
}

// Continue returns the subscription of a service that replaces another service and has the same name and the same
// source. Both use one endpoint list.
func (c *Cache) Continue(replaced *Subscription, core endpoints.Receiver) *Subscription {
	c.mu.Lock()
	s := &Subscription{cache: c, service: replaced.service, core: core, list: replaced.list}
	c.subscriptions[s.service] = s
	c.mu.Unlock()
	s.publish()
	return s
}

// SetSource changes the source of the service's endpoint list. The core keeps its servers until the new source sends a
// list.
func (s *Subscription) SetSource(source record.ListSource) {
	s.cache.mu.Lock()
	defer s.cache.mu.Unlock()
	s.list = s.cache.view.MoveList(s.list, source)
}

// Unsubscribe ends a subscription. The caller calls it when the subscription's service is removed.
func (c *Cache) Unsubscribe(s *Subscription) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscriptions[s.service] == s {
		delete(c.subscriptions, s.service)
	}
}

// publishAll publishes each service's merged list, if it has changed.
func (c *Cache) publishAll() {
	c.mu.Lock()
	subscriptions := make([]*Subscription, 0, len(c.subscriptions))
	for _, s := range c.subscriptions {
		subscriptions = append(subscriptions, s)
	}
	c.mu.Unlock()
	for _, s := range subscriptions {
		s.publish()
	}
}

// UpdateEndpoints merges a list from discovery with the record, and publishes the result before it returns. The list
// has only the changed servers unless complete is true. The store is written later.
func (s *Subscription) UpdateEndpoints(list []node.Endpoint, complete bool) {
	observations := make([]record.Observation, 0, len(list))
	for _, endpoint := range list {
		observations = append(observations, observationOf(endpoint))
	}
	c := s.cache
	c.mu.Lock()
	c.view.ApplyDiscovery(s.list, observations, complete, c.millis())
	c.mu.Unlock()
	s.publish()
	c.writeRequested.Set()
	c.snapshotRequested.Set()
}

// EndpointWatchFailed passes a failure of discovery's watch to the core.
func (s *Subscription) EndpointWatchFailed(failure node.WatchFailure) {
	s.core.EndpointWatchFailed(failure)
}

// publish sends the merged list to the core, if it has changed.
func (s *Subscription) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cache
	c.mu.Lock()
	servers := c.view.Servers(s.list, c.millis())
	c.mu.Unlock()
	list := make([]node.Endpoint, 0, len(servers))
	for _, server := range servers {
		list = append(list, endpointOf(server))
	}
	text, _ := json.Marshal(list) // for comparison; strings, numbers and times always encode
	if string(text) == s.lastPublished {
		return
	}
	s.lastPublished = string(text)
	s.core.UpdateEndpoints(list, true)
}

func observationOf(endpoint node.Endpoint) record.Observation {
	observation := record.Observation{
		ID:           endpoint.ID,
		Addr:         endpoint.Addr,
		Phase:        phaseOf[endpoint.State],
		Zone:         endpoint.Zone,
		Cell:         endpoint.Cell,
		Weight:       endpoint.Weight,
		ListRevision: endpoint.Revision,
	}
	if !endpoint.StartedAt.IsZero() {
		observation.Start = endpoint.StartedAt.UnixMilli()
	}
	return observation
}

func endpointOf(server record.ListedServer) node.Endpoint {
	endpoint := node.Endpoint{
		ID:       server.ID,
		Addr:     server.Addr,
		Zone:     server.Zone,
		Cell:     server.Cell,
		Weight:   max(server.Weight, minWeight),
		State:    decide.Ready,
		Revision: server.ListRevision,
	}
	if server.Phase != record.PhaseReady {
		endpoint.State = decide.Draining
	}
	if server.Start > 0 {
		endpoint.StartedAt = time.UnixMilli(server.Start)
	}
	return endpoint
}
