package record

import (
	"maps"
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

// ApplyDiscovery merges an endpoint list of a service into the view. If complete is true, the list has all servers of
// the service, else only the servers that changed.
func (v *View) ApplyDiscovery(service string, list []Observation, complete bool, now int64) {
	v.advanceClock(now)
	previous := v.discovered[service]
	current := map[string]Observation{}
	if !complete {
		maps.Copy(current, previous)
	}
	for _, observation := range list {
		observation.Service = service
		current[observation.ID] = observation
	}
	v.discovered[service] = current
	if complete {
		v.listedServices[service] = true
		v.observeMissing(previous, current)
	}
	for _, observation := range list {
		observation.Service = service
		if observation.Phase == PhaseGone {
			delete(current, observation.ID)
		}
		if observation.Phase == PhaseDraining {
			v.drainByDiscovery(observation, now)
		}
		v.queueObservation(observation)
	}
}

// observeMissing queues an observation with PhaseGone for each server that the previous list had and the current,
// complete list does not have.
func (v *View) observeMissing(previous, current map[string]Observation) {
	for id, observation := range previous {
		if _, listed := current[id]; !listed {
			observation.Phase = PhaseGone
			v.queueObservation(observation)
		}
	}
}

// drainByDiscovery adds a drain for a server that discovery lists as draining. The drain remains if an outdated list,
// with the server as ready, arrives later.
func (v *View) drainByDiscovery(observation Observation, now int64) {
	name := observation.Service + "/" + observation.ID
	if drain, ok := v.drain(name); ok && drain.covers(observation.Start, v.LatestTime) {
		return
	}
	v.AddDrain(name, Drain{Start: observation.Start, Since: now, By: discoveryWriter}, now)
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

// Servers returns the servers of a service, sorted by ID, each in the phase in which the node has to use it. The
// servers come from discovery's endpoint lists. Until a complete list has arrived, servers that are only in the copy of
// the record are included. A ready server to which a drain applies is returned as draining, whether the server comes
// from discovery or from the copy.
func (v *View) Servers(service string, now int64) []ListedServer {
	now = v.advanceClock(now)
	servers := map[string]ListedServer{}
	if !v.listedServices[service] {
		v.addRecordedServers(servers, service, now)
	}
	for id, observation := range v.discovered[service] {
		servers[id] = ListedServer{Observation: observation}
	}
	list := make([]ListedServer, 0, len(servers))
	for id, server := range servers {
		drain, ok := v.drain(service + "/" + id)
		if ok && server.Phase == PhaseReady && drain.covers(server.Start, now) {
			server.Phase = PhaseDraining
			server.Reason = "drained by " + drain.By
		}
		list = append(list, server)
	}
	slices.SortFunc(list, func(a, b ListedServer) int { return strings.Compare(a.ID, b.ID) })
	return list
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
