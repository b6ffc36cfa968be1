package standin

import (
	"net"
	"sync"

	"robincart/internal/protocol/fcgi"
)

const (
	// The limits of an application.
	maxApplicationRequests = 16
	maxApplicationParams   = 64 << 10

	applicationBufferSize = 4096
	// abortedStatus is the application status of a request that was aborted.
	abortedStatus = 1
)

// ApplicationRequest is a request as an application receives it.
type ApplicationRequest struct {
	ID     uint16
	Keep   bool // the connection is kept after it
	Params map[string]string
	Body   []byte
	Open   bool // set by its handler: its end is sent later, or it is aborted
}

// Application is a server that speaks FastCGI. Its handler writes the records of a response itself, byte by byte, so
// that it can make any fault.
type Application struct {
	// Serve responds to one request. It returns false to end the connection.
	Serve func(conn net.Conn, request *ApplicationRequest) bool

	listener net.Listener
	running  sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	accepted int
	aborted  int
}

// Start listens and serves.
func (a *Application) Start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	a.listener = listener
	a.conns = map[net.Conn]struct{}{}
	a.running.Go(a.accept)
	return nil
}

// Addr is the address that it listens on.
func (a *Application) Addr() string { return a.listener.Addr().String() }

// Conns is the number of connections accepted.
func (a *Application) Conns() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted
}

// Aborted is the number of requests aborted.
func (a *Application) Aborted() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// Stop closes the listener and all connections, and waits until their handlers have returned.
func (a *Application) Stop() {
	a.listener.Close()
	a.mu.Lock()
	for conn := range a.conns {
		conn.Close()
	}
	a.mu.Unlock()
	a.running.Wait()
}

// accept accepts connections until the listener is closed.
func (a *Application) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.accepted++
		a.conns[conn] = struct{}{}
		a.mu.Unlock()
		a.running.Go(func() {
			a.serve(conn)
			conn.Close()
			a.mu.Lock()
			delete(a.conns, conn)
			a.mu.Unlock()
		})
	}
}

// serve serves one connection until its end.
func (a *Application) serve(conn net.Conn) {
	reader := &fcgi.Reader{}
	reader.Init(conn, make([]byte, applicationBufferSize))
	limits := fcgi.Limits{MaxRequests: maxApplicationRequests, MaxParams: maxApplicationParams}
	s := &applicationSession{
		application: a,
		conn:        conn,
		codec:       &fcgi.Application{Limits: limits},
		requests:    map[uint16]*ApplicationRequest{},
	}
	for {
		record, err := reader.Next()
		if err != nil {
			return
		}
		event, err := s.codec.Take(record)
		if err != nil || !s.handle(event) {
			return
		}
	}
}

// applicationSession is one connection to an application.
type applicationSession struct {
	application *Application
	conn        net.Conn
	codec       *fcgi.Application
	requests    map[uint16]*ApplicationRequest // that are being received
}

// handle handles one event of the connection. It returns false if the connection ends.
func (a *applicationSession) handle(event fcgi.Event) bool {
	switch event.Kind {
	case fcgi.EventParams:
		params := decodeParams(event.Params)
		a.requests[event.ID] = &ApplicationRequest{ID: event.ID, Keep: event.KeepConn, Params: params}
	case fcgi.EventBody:
		request := a.requests[event.ID]
		request.Body = append(request.Body, event.Data...)
	case fcgi.EventReply:
		a.conn.Write(event.Data)
	case fcgi.EventAborted:
		a.abort(event.ID)
	case fcgi.EventRejected:
		return false
	case fcgi.EventBodyEnd:
		return a.respond(event.ID)
	}
	return true
}

func decodeParams(encoded []byte) map[string]string {
	params := map[string]string{}
	for len(encoded) > 0 {
		var name, value []byte
		name, value, encoded, _ = fcgi.Pair(encoded)
		params[string(name)] = string(value)
	}
	return params
}

// abort answers the abort of a request.
func (a *applicationSession) abort(id uint16) {
	a.application.mu.Lock()
	a.application.aborted++
	a.application.mu.Unlock()
	a.conn.Write(fcgi.AppendEnd(nil, id, abortedStatus, fcgi.StatusComplete))
	a.codec.Done(id)
}

// respond has the handler respond to a request that was received. It returns false if the connection ends.
func (a *applicationSession) respond(id uint16) bool {
	request := a.requests[id]
	delete(a.requests, id)
	if !a.application.Serve(a.conn, request) {
		return false
	}
	if !request.Open {
		a.codec.Done(id)
	}
	return true
}

// Answered is a complete response to a request.
func (a *ApplicationRequest) Answered(head, body string) []byte {
	records := fcgi.AppendStream(nil, fcgi.TypeStdout, a.ID, []byte(head+"\r\n\r\n"+body))
	records = fcgi.AppendStreamEnd(records, fcgi.TypeStdout, a.ID)
	return fcgi.AppendEnd(records, a.ID, 0, fcgi.StatusComplete)
}
