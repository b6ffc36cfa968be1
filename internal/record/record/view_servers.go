package record

import (
	"maps"
	"slices"
	"strings"
)

// discoveryWriter is the By of a drain that discovery reported.
const discoveryWriter = "discovery"

// reasonStaleCopy is the Reason of a draining server that is known only from a copy older than MaxStaleness.
const reasonStaleCopy = "known only from a stale copy of the record"

// ListedServer is a server in the list that the node uses.
type ListedServer struct {
	Observation
	Reason string // why Phase differs from the observed phase; empty: it does not
}

// ApplyDiscovery merges an endpoint list of a service: the complete list, or only the servers that changed.
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

// observeMissing queues observations in PhaseGone of the servers that a complete list no longer has.
func (v *View) observeMissing(previous, current map[string]Observation) {
	for id, observation := range previous {
		if _, listed := current[id]; !listed {
			observation.Phase = PhaseGone
			v.queueObservation(observation)
		}
	}
}

// drainByDiscovery adds a drain for a server that discovery reports as draining, so that an outdated list that arrives
// later does not undo it.
func (v *View) drainByDiscovery(observation Observation, now int64) {
	name := observation.Service + "/" + observation.ID
	if drain, ok := v.drain(name); ok && drain.covers(observation.Start, v.LatestTime) {
		return
	}
	v.AddDrain(name, Drain{Start: observation.Start, Since: now, By: discoveryWriter}, now)
}

// AddDrain adds a drain that this node is notified of. It takes effect at once, before it is written to the store.
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

// drain returns a server's drain. If both the record and this node have one, it returns the one that covers more.
func (v *View) drain(name string) (Drain, bool) {
	entry := v.entries[drainKey(name)]
	recorded, isRecorded := entry.drain()
	local, isLocal := v.localDrains[name]
	if isLocal && (!isRecorded || local.extends(recorded, entry.Revision)) {
		return local, true
	}
	return recorded, isRecorded
}

// Servers returns a service's servers, sorted by ID, in the phases in which the node has to use them. They are those
// of discovery's list and, until a complete list has arrived, of the recorded observations. Drains apply to both.
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

// addRecordedServers adds a service's servers from the copy. If the copy is stale they are listed as draining, so that
// they get no new requests.
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

// isStale reports whether the copy is too old for its servers to be used without discovery.
func (v *View) isStale(now int64) bool {
	return v.SyncState != Following && v.MaxStaleness > 0 && now-v.LastContact > v.MaxStaleness
}
