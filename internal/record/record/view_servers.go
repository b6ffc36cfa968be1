package record

import (
	"slices"
	"strings"
)

// discoveryWriter is the value of By in a drain that discovery reported.
const discoveryWriter = "discovery"

// reasonStaleCopy is the value of Reason for a server that is listed as draining because the node knows it only from
// its copy of the record, and the last contact with the store is more than MaxStaleness ago.
const reasonStaleCopy = "known only from a stale copy of the record"

// ListedServer is a server in the list that View.Servers returns for a service.
type ListedServer struct {
	Observation
	Reason string // why Phase differs from the observed phase; empty if it does not differ
}

// ApplyDiscovery merges an update of an endpoint list into the view. If complete is true, the update has all servers of
// the service, else only the servers that changed. An update of a list that is no longer current changes that list
// only: its servers are not those of the service that has the name now.
func (v *View) ApplyDiscovery(list *EndpointList, update []Observation, complete bool, now int64) {
	v.advanceClock(now)
	var previous map[string]Observation
	if complete {
		previous = list.known()
		list.servers = map[string]Observation{}
	}
	for _, observation := range update {
		observation.Service = list.service
		list.servers[observation.ID] = observation
	}
	if complete {
		list.complete, list.replaced = true, nil
		v.observeMissing(list, previous)
	}
	for _, observation := range update {
		observation.Service = list.service
		if observation.Phase == PhaseGone {
			delete(list.servers, observation.ID)
		}
		if observation.Phase == PhaseDraining {
			v.drainByDiscovery(list, observation, now)
		}
		if v.isCurrent(list) {
			v.queueObservation(observation)
		}
	}
}

// observeMissing queues an observation with PhaseGone for each server that was known before and that the current,
// complete list does not have.
func (v *View) observeMissing(list *EndpointList, previous map[string]Observation) {
	if !v.isCurrent(list) {
		return
	}
	for id, observation := range previous {
		if _, listed := list.servers[id]; !listed {
			observation.Phase = PhaseGone
			v.queueObservation(observation)
		}
	}
}

// drainByDiscovery adds a drain for a server that discovery lists as draining. The drain remains if an outdated list,
// with the server as ready, arrives later.
func (v *View) drainByDiscovery(list *EndpointList, observation Observation, now int64) {
	drain := Drain{Start: observation.Start, Since: now, By: discoveryWriter}
	if !v.isCurrent(list) {
		list.addDrain(observation.ID, drain)
		return
	}
	name := observation.Service + "/" + observation.ID
	if known, ok := v.drain(name); ok && known.covers(observation.Start, v.LatestTime) {
		return
	}
	v.AddDrain(name, drain, now)
}

// AddDrain adds a drain of which this node is notified. The drain takes effect at once, even before it is written to
// the store.
func (v *View) AddDrain(name string, drain Drain, now int64) {
	v.advanceClock(now)
	drain.Supersedes = max(drain.Supersedes, v.entries[drainKey(name)].Revision)
	v.addLocalDrain(name, drain)
}

func (v *View) addLocalDrain(name string, drain Drain) {
	known, ok := v.localDrains[name]
	if ok && drain.weakerThan(known) {
		reopens := known.Ended && drain.Supersedes > known.Supersedes
		if !reopens {
			return
		}
	}
	v.localDrains[name] = drain
	v.drainChanges++
	v.queueDrain(name, drain)
}

// drain returns the drain of a server. If both the record and the local drains have a drain of the server, drain
// returns the one that covers more.
func (v *View) drain(name string) (Drain, bool) {
	entry := v.entries[drainKey(name)]
	recorded, isRecorded := entry.drain()
	local, isLocal := v.localDrains[name]
	if isLocal && (!isRecorded || local.extends(recorded, entry.Revision)) {
		return local, true
	}
	return recorded, isRecorded
}

// Servers returns the servers of a list, sorted by ID, each in the phase in which the node has to use it. Until a
// complete list has arrived, servers that are only in the copy of the record are included, unless the record's servers
// are of another source. A ready server to which a drain applies is returned as draining, whether the server comes from
// discovery or from the copy.
func (v *View) Servers(list *EndpointList, now int64) []ListedServer {
	now = v.advanceClock(now)
	servers := map[string]ListedServer{}
	if !list.complete && list.recordedServers {
		v.addRecordedServers(servers, list.service, now)
	}
	for id, observation := range list.servers {
		servers[id] = ListedServer{Observation: observation}
	}
	listed := make([]ListedServer, 0, len(servers))
	for id, server := range servers {
		drain, ok := v.drainOf(list, id, server.Start, now)
		if ok && server.Phase == PhaseReady {
			server.Phase = PhaseDraining
			server.Reason = "drained by " + drain.By
		}
		listed = append(listed, server)
	}
	slices.SortFunc(listed, func(a, b ListedServer) int { return strings.Compare(a.ID, b.ID) })
	return listed
}

// drainOf returns the drain that applies to the process of a listed server that started at the time start.
func (v *View) drainOf(list *EndpointList, id string, start, now int64) (Drain, bool) {
	if drain, ok := list.drains[id]; ok && drain.covers(start, now) {
		return drain, true
	}
	drain, ok := v.drain(list.service + "/" + id)
	return drain, ok && drain.covers(start, now)
}

// addRecordedServers adds the servers of a service that are in the copy of the record. If the copy is stale, ready
// servers are listed as draining, so that they get no new requests.
func (v *View) addRecordedServers(servers map[string]ListedServer, service string, now int64) {
	stale := v.isStale(now)
	for key, entry := range v.entries {
		if key.Kind != KindServer {
			continue
		}
		id, ok := strings.CutPrefix(key.Name, service+"/")
		if !ok {
			continue
		}
		observation, ok := entry.observation()
		if !ok || observation.Phase == PhaseGone {
			continue
		}
		observation.Service = service
		observation.ID = id
		server := ListedServer{Observation: observation}
		if stale && server.Phase == PhaseReady {
			server.Phase = PhaseDraining
			server.Reason = reasonStaleCopy
		}
		servers[id] = server
	}
}

// isStale reports whether the copy is so old that servers known only from it must get no new requests.
func (v *View) isStale(now int64) bool {
	return v.SyncState != Following && v.MaxStaleness > 0 && now-v.LastContact > v.MaxStaleness
}
