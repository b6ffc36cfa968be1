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

// minWeight is the weight of a server whose recorded weight is missing.
const minWeight = 0.01

// phaseOf maps a server's state to the phase of its observation.
var phaseOf = map[decide.State]string{
	decide.Ready:    record.PhaseReady,
	decide.Draining: record.PhaseDraining,
	decide.Gone:     record.PhaseGone,
}

// Subscription sits between one service's discovery, whose lists it takes as an endpoints.Receiver, and the service's
// core, to which it publishes them merged with the record.
type Subscription struct {
	cache   *Cache
	service string

	mu            sync.Mutex // held while publishing: lists reach the core in the order in which they were merged
	core          endpoints.Receiver
	lastPublished string
}

// Subscribe returns a service's subscription. What the record has of the service's servers is published to the core at
// once, so that a node serves before its discovery answers.
func (c *Cache) Subscribe(service string, core endpoints.Receiver) *Subscription {
	s := &Subscription{cache: c, service: service, core: core}
	c.mu.Lock()
	c.subscriptions[service] = s
	c.mu.Unlock()
	s.publish()
	return s
}

// Unsubscribe ends a subscription when its service is removed.
func (c *Cache) Unsubscribe(s *Subscription) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscriptions[s.service] == s {
		delete(c.subscriptions, s.service)
	}
}

// publishAll publishes the lists that have changed.
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

// UpdateEndpoints takes a list of discovery: complete, or the servers that changed. It is merged and published before
// UpdateEndpoints returns; the store gets it in its own time.
func (s *Subscription) UpdateEndpoints(list []node.Endpoint, complete bool) {
	observations := make([]record.Observation, 0, len(list))
	for _, endpoint := range list {
		observations = append(observations, observationOf(endpoint))
	}
	c := s.cache
	c.mu.Lock()
	c.view.ApplyDiscovery(s.service, observations, complete, c.millis())
	c.mu.Unlock()
	s.publish()
	c.writeRequested.Set()
	c.snapshotRequested.Set()
}

// EndpointWatchFailed passes a failure of discovery's watch to the core.
func (s *Subscription) EndpointWatchFailed(failure node.WatchFailure) {
	s.core.EndpointWatchFailed(failure)
}

// publish gives the core the merged list, if it has changed.
func (s *Subscription) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cache
	c.mu.Lock()
	servers := c.view.Servers(s.service, c.millis())
	c.mu.Unlock()
	list := make([]node.Endpoint, 0, len(servers))
	for _, server := range servers {
		list = append(list, endpointOf(server))
	}
	text, _ := json.Marshal(list) // to compare it: a struct of strings, numbers and times is always encoded
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
