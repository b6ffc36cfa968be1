package simwire

import (
	"fmt"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

// instance is one node of the simulator: it owns a balancer and is its decide.Host.
type instance struct {
	hub      *Hub
	id       int
	settings *settings.Instance
	balancer *decide.Balancer

	servers   map[string]*decide.Server // by address
	addresses map[*decide.Server]string

	requests       map[string]*request // by the wire's id
	requestsByRPC  map[*decide.RPC]*request
	attemptNumbers map[*decide.Attempt]int // of the attempts in flight

	timers        map[int]any // payloads by the wire's numbers
	lastTimer     int
	hadWatchEvent bool // since the watch last failed
}

// request keeps an RPC's wire id until its last attempt has ended.
type request struct {
	id       string
	rpc      *decide.RPC
	attempts []*decide.Attempt // by the wire's numbers
	inFlight int
	ended    bool
}

// newInstance starts an instance with settings in the wire's form.
func newInstance(hub *Hub, id int, seed int64, encodedSettings string) (*instance, error) {
	parsed, err := settings.Parse([]byte(encodedSettings))
	if err != nil {
		return nil, err
	}
	inst := &instance{
		hub:            hub,
		id:             id,
		settings:       parsed,
		servers:        map[string]*decide.Server{},
		addresses:      map[*decide.Server]string{},
		requests:       map[string]*request{},
		requestsByRPC:  map[*decide.RPC]*request{},
		attemptNumbers: map[*decide.Attempt]int{},
		timers:         map[int]any{},
	}
	inst.balancer = decide.New(inst, parsed.Settings, seed)
	return inst, nil
}

// server is the server at an address. There is a new one at an address that was never listed before.
func (i *instance) server(addr string) *decide.Server {
	s := i.servers[addr]
	if s == nil {
		s = &decide.Server{}
		i.servers[addr] = s
		i.addresses[s] = addr
	}
	return s
}

// end marks a request as ended.
func (i *instance) end(r *request) {
	r.ended = true
	i.drop(r)
}

// drop forgets an ended request once nothing more of it can arrive.
func (i *instance) drop(r *request) {
	if r.ended && r.inFlight == 0 {
		delete(i.requests, r.id)
		delete(i.requestsByRPC, r.rpc)
	}
}

// violate stops the adapter: the balancer asked for what the wire would refuse.
func (i *instance) violate(format string, args ...any) {
	if i.hub.violation == nil {
		i.hub.violation = fmt.Errorf("instance %d: %s", i.id, fmt.Sprintf(format, args...))
	}
}
