package chaos

import (
	"net"
	"time"

	"robincart/internal/lab/standin"
	"robincart/internal/lab/wire"
	"robincart/internal/protocol/fcgi"
)

// pairServer is a server of either protocol.
type pairServer interface {
	Addr() string
	Stop()
}

// pairResponseBody is the body of each response that is complete.
const pairResponseBody = "seats for two at eight"

// faultPoint is where a response of a length breaks off. Its request has had its effect by then.
type faultPoint struct {
	name string
	at   func(length int) int
}

var faultPoints = []faultPoint{
	{"before", func(int) int { return 0 }},
	{"in the first bytes", func(int) int { return 5 }},
	{"in the head", func(int) int { return 18 }},
	{"in the middle", func(length int) int { return length / 2 }},
	{"before the last byte", func(length int) int { return length - 1 }},
}

// faultChance is one in how many requests is refused, or breaks off at one of the points.
const faultChance = 300

// responseFault is what a server does with one request.
type responseFault struct {
	refuse bool // before it has an effect
	cut    bool
	length int // of the part that is sent, if the response is cut
}

// startServer starts a server of a pair.
func (p *Pairs) startServer(pair *Pair) (pairServer, error) {
	if pair.Out == protocolFastCGI {
		application := &standin.Application{Serve: p.applicationHandler(pair)}
		return application, application.Start("127.0.0.1:0")
	}
	server := &standin.Server{Serve: p.httpHandler(pair)}
	return server, server.Start("127.0.0.1:0")
}

func (p *Pairs) applicationHandler(pair *Pair) func(net.Conn, *standin.ApplicationRequest) bool {
	return func(conn net.Conn, received *standin.ApplicationRequest) bool {
		request := pairRequest{
			method: received.Params["HTTP_X_QOS"],
			trace:  received.Params["HTTP_X_TRACE_ID"],
			key:    received.Params["HTTP_IDEMPOTENCY_KEY"],
		}
		response := received.Answered("Content-Type: text/plain", pairResponseBody)
		refusal := fcgi.AppendEnd(nil, received.ID, 0, fcgi.StatusOverloaded)
		return writePairResponse(conn, p.run(pair, request, len(response)), response, refusal)
	}
}

func (p *Pairs) httpHandler(pair *Pair) func(net.Conn, *wire.Request) bool {
	response := wire.AppendResponse(nil, 200, "Content-Type: text/plain\r\n", []byte(pairResponseBody))
	refusal := wire.AppendResponse(nil, 503, wire.NeverRan+": 1\r\n", nil)
	return func(conn net.Conn, received *wire.Request) bool {
		request := pairRequest{
			method: received.Header.Get(wire.HeaderMethod),
			trace:  received.Header.Get(wire.HeaderTraceID),
			key:    received.Header.Get(wire.HeaderIdempotencyKey),
		}
		return writePairResponse(conn, p.run(pair, request, len(response)), response, refusal)
	}
}

// writePairResponse writes a response, the part of it that is sent, or a refusal. It returns whether the connection is
// used on.
func writePairResponse(conn net.Conn, fault responseFault, response, refusal []byte) bool {
	if fault.cut {
		conn.Write(response[:fault.length])
		return false
	}
	if fault.refuse {
		response = refusal
	}
	_, err := conn.Write(response)
	return err == nil
}

// run notes that a request was received and has its effect, unless it is refused or repeats a key, and returns what its
// server does.
func (p *Pairs) run(pair *Pair, request pairRequest, responseLength int) responseFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := p.nextFault(pair, responseLength)
	if fault.refuse {
		return fault
	}
	if request.key != "" && !pair.addKey(request.key) {
		pair.duplicates++
		return fault
	}
	pair.effects[effectKey{request.method, request.trace}]++
	return fault
}

// nextFault is the fault of one more response. The mutex is held.
func (p *Pairs) nextFault(pair *Pair, responseLength int) responseFault {
	if !pair.faulty {
		return responseFault{}
	}
	chance := p.random.Intn(faultChance)
	switch {
	case chance == 0:
		pair.Faults["refused"]++
		return responseFault{refuse: true}
	case chance <= len(faultPoints):
		point := faultPoints[chance-1]
		pair.Faults[point.name]++
		return responseFault{cut: true, length: point.at(responseLength)}
	}
	return responseFault{}
}

// addKey adds an idempotency key, which all servers of a pair share. It returns false for one that was added within the
// window.
func (p *Pair) addKey(key string) bool {
	now := time.Now()
	at, seen := p.firstSeen[key]
	if seen && now.Sub(at) <= pairWindow {
		return false
	}
	p.firstSeen[key] = now
	return true
}
