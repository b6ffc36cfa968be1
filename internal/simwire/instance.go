package simwire

import (
	"fmt"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

// instance is one node of the simulator. It owns a balancer, for which it implements decide.Host.
type instance struct {
	hub      *Hub
	id       int
	settings *settings.Instance
	balancer *decide.Balancer

	servers   map[string]*decide.Server // by address
	addresses map[*decide.Server]string

	requests       map[string]*request // by request id
	requestsByRPC  map[*decide.RPC]*request
	attemptNumbers map[*decide.Attempt]int // of the attempts in flight; each request numbers its attempts from 0

	timers        map[int]any // payloads, by timer number
	lastTimer     int
	hadWatchEvent bool // a server list has arrived since the watch last failed
}

// request is an RPC and its id. It is kept until the RPC and all of its attempts have ended.
type request struct {
	id       string
	rpc      *decide.RPC
	attempts []*decide.Attempt // by attempt number
	inFlight int               // number of attempts without a result
	ended    bool              // the client has received its answer or has disconnected
}

// newInstance starts an instance with encoded settings.
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

// serverAt returns the server at an address. It adds the server if the address is new.
func (i *instance) serverAt(addr string) *decide.Server {
	s := i.servers[addr]
	if s == nil {
		s = &decide.Server{}
		i.servers[addr] = s
		i.addresses[s] = addr
	}
	return s
}

// endRequest marks a request as ended.
func (i *instance) endRequest(r *request) {
	r.ended = true
	i.removeIfDone(r)
}

// removeIfDone removes a request that has ended and has no attempts in flight, since no further result can arrive.
func (i *instance) removeIfDone(r *request) {
	if r.ended && r.inFlight == 0 {
		delete(i.requests, r.id)
		delete(i.requestsByRPC, r.rpc)
	}
}

// reportViolation makes Hub.Run return an error because the balancer made an invalid call.
func (i *instance) reportViolation(format string, args ...any) {
	if i.hub.violation == nil {
		i.hub.violation = fmt.Errorf("instance %d: %s", i.id, fmt.Sprintf(format, args...))
	}
}
