package record

import (
	"maps"
	"slices"
)

// ListSource is where a service's endpoint list comes from. Two lists that have the same service name describe the same
// servers only if their sources are equal.
type ListSource struct {
	Discovery string   // address of discovery; empty: the servers are part of the configuration
	Zones     []string // names of the zones, in the order of their numbers
}

// Equal reports whether two sources are the same.
func (s ListSource) Equal(other ListSource) bool {
	return s.Discovery == other.Discovery && slices.Equal(s.Zones, other.Zones)
}

// EndpointList is the endpoint list that one source sends for a service. It belongs to a View. A service that replaces
// another service of the same name has an EndpointList of its own, unless both have the same source.
type EndpointList struct {
	service string
	source  ListSource
	servers map[string]Observation // by server ID
	// complete: a complete list has arrived. Until then, servers that are only in the copy of the record are used, if
	// recordedServers is set.
	complete bool
	// recordedServers: the servers that the record has of the service may be used. It is not set if another source has
	// had the service's name in this process, since it may have listed them.
	recordedServers bool
	// replaced are the servers of the former lists of this name. Those that the first complete list lacks have left the
	// service.
	replaced map[string]Observation
	// drains are the drains that the source has reported since the name was given to another list, by server ID.
	drains map[string]Drain
}

// StartList returns a new list for a service, and makes it the current list of the service's name. The lists that had
// the name before remain usable, but they no longer affect the current list or the record.
func (v *View) StartList(service string, source ListSource) *EndpointList {
	list := &EndpointList{
		service:         service,
		source:          source,
		servers:         map[string]Observation{},
		recordedServers: true,
	}
	if former := v.lists[service]; former != nil {
		list.recordedServers = former.recordedServers && former.source.Equal(source)
		v.detach(former)
		list.replaced = former.known()
	}
	v.lists[service] = list
	return list
}

// MoveList returns the list of a service whose source changes while the service continues. The new list starts with the
// servers of the former list, and becomes the current list of the service's name. The former list can still be in use
// by a service that was replaced before the change.
func (v *View) MoveList(former *EndpointList, source ListSource) *EndpointList {
	v.detach(former)
	list := *former
	list.source = source
	list.servers = maps.Clone(former.servers)
	list.replaced = maps.Clone(former.replaced)
	list.drains = maps.Clone(former.drains)
	v.lists[list.service] = &list
	return &list
}

// detach makes a list independent of the record's servers: it keeps those that it has used so far. From then on, they
// are those of the list to which the name is given.
func (v *View) detach(list *EndpointList) {
	if list.complete || !list.recordedServers {
		return
	}
	list.recordedServers = false
	recorded := map[string]ListedServer{}
	v.addRecordedServers(recorded, list.service, v.LatestTime)
	for id, server := range recorded {
		if _, listed := list.servers[id]; !listed {
			list.servers[id] = server.Observation
		}
	}
}

// isCurrent reports whether a list is the current list of its service's name.
func (v *View) isCurrent(list *EndpointList) bool { return v.lists[list.service] == list }

// known returns the servers of the list, and those of the lists that it replaced before its first complete list.
func (l *EndpointList) known() map[string]Observation {
	known := map[string]Observation{}
	if !l.complete {
		maps.Copy(known, l.replaced)
	}
	maps.Copy(known, l.servers)
	return known
}

// addDrain adds a drain of which only the services that use this list are notified.
func (l *EndpointList) addDrain(id string, drain Drain) {
	if known, ok := l.drains[id]; ok && drain.weakerThan(known) {
		return
	}
	if l.drains == nil {
		l.drains = map[string]Drain{}
	}
	l.drains[id] = drain
}
