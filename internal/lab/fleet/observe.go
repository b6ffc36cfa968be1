package fleet

import (
	"fmt"
	"time"

	"robincart/decide"
	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/core/node"
)

// serverPhases are the phases by the servers' states.
var serverPhases = map[decide.State]Phase{
	decide.Ready:    PhaseReady,
	decide.Draining: PhaseDraining,
	decide.Gone:     PhaseGone,
}

// observedReceiver is a core's receiver of endpoint lists, and notes what has come into force there.
type observedReceiver struct {
	endpoints.Receiver
	node    *hollowNode
	present map[string]bool // addresses in the list
}

// observe wraps the receiver of a service's endpoint list.
func (h *hollowNode) observe(_ string, receiver endpoints.Receiver) endpoints.Receiver {
	return &observedReceiver{Receiver: receiver, node: h, present: map[string]bool{}}
}

// UpdateEndpoints puts a list in force and notes what it changed.
func (o *observedReceiver) UpdateEndpoints(entries []node.Endpoint, full bool) {
	o.Receiver.UpdateEndpoints(entries, full)
	now := time.Now().UnixNano()
	o.node.all.notify(o.note(entries, full, now))
}

// note returns the events of a list.
func (o *observedReceiver) note(entries []node.Endpoint, full bool, now int64) []Event {
	n := o.node
	var events []Event
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if entry.State == decide.Gone && entry.Addr == "" {
			continue
		}
		listed[entry.Addr] = true
		o.present[entry.Addr] = true
		phase := serverPhases[entry.State]
		if n.phases[entry.Addr] != phase {
			n.phases[entry.Addr] = phase
			events = append(events, Event{At: now, Node: n.number, Subject: entry.Addr, Phase: phase})
		}
	}
	if !full {
		return events
	}
	for address := range o.present {
		if listed[address] {
			continue
		}
		delete(o.present, address)
		n.phases[address] = PhaseGone // remembered: it must not come back
		events = append(events, Event{At: now, Node: n.number, Subject: address, Phase: PhaseGone})
	}
	return events
}

// noteSettings notes the settings of a configuration that has come into force.
func (h *hollowNode) noteSettings(config *nodeconfig.Config) {
	now := time.Now().UnixNano()
	h.all.notify(h.changedSettings(config, now))
}

// changedSettings returns the events of the settings that differ from those before.
func (h *hollowNode) changedSettings(config *nodeconfig.Config, now int64) []Event {
	var events []Event
	h.mu.Lock()
	defer h.mu.Unlock()
	note := func(name, value string) {
		if h.settings[name] != value {
			h.settings[name] = value
			events = append(events, Event{At: now, Node: h.number, Subject: name + "=" + value, Phase: PhaseSet})
		}
	}
	for i := range config.Services {
		service := &config.Services[i]
		note(weightSetting(service.Name), fmt.Sprint(service.Weight))
		for _, tenant := range service.Tenants {
			note("quota "+service.Name+"/"+tenant.Name, fmt.Sprint(tenant.Quota))
		}
	}
	return events
}

// weightSetting returns the name of a service's weight in events.
func weightSetting(service string) string { return "weight " + service }

// readyServers returns how many servers are ready by the lists of the node.
func (h *hollowNode) readyServers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, phase := range h.phases {
		if phase == PhaseReady {
			count++
		}
	}
	return count
}
