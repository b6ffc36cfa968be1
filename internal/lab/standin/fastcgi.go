package standin

import (
	"net"
	"sync"

	"robincart/internal/protocol/fcgi"
)

// ApplicationRequest is a request as an application gets it.
type ApplicationRequest struct {
	ID     uint16
	Keep   bool
	Params map[string]string
	Body   []byte
	Open   bool // set by its handler: its end is still to come, or its abort
}

// Application is a server that speaks FastCGI. What it writes is its handler's own, byte by byte, so that any fault can be made.
type Application struct {
	// Serve answers one request; false ends its connection.
	Serve func(c net.Conn, q *ApplicationRequest) bool

	ln      net.Listener
	mu      sync.Mutex
	conns   int
	aborted int
	open    map[net.Conn]bool
	all     sync.WaitGroup
}

// Start listens.
func (s *Application) Start(addr string) (err error) {
	if s.ln, err = net.Listen("tcp", addr); err != nil {
		return err
	}
	s.open = map[net.Conn]bool{}
	s.all.Go(func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.open[c] = true
			s.mu.Unlock()
			s.all.Go(func() {
				s.life(c)
				c.Close()
				s.mu.Lock()
				delete(s.open, c)
				s.mu.Unlock()
			})
		}
	})
	return nil
}

// Addr is where it listens.
func (s *Application) Addr() string { return s.ln.Addr().String() }

// Conns is how many connections came.
func (s *Application) Conns() int { s.mu.Lock(); defer s.mu.Unlock(); return s.conns }

// Aborted is how many requests were given up.
func (s *Application) Aborted() int { s.mu.Lock(); defer s.mu.Unlock(); return s.aborted }

// Stop ends it.
func (s *Application) Stop() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

func (s *Application) life(c net.Conn) {
	r, a := &fcgi.Reader{}, &fcgi.Application{Limits: fcgi.Limits{MaxRequests: 16, MaxParams: 64 << 10}}
	r.Init(c, make([]byte, 4096))
	open := map[uint16]*ApplicationRequest{}
	for {
		p, err := r.Next()
		if err != nil {
			return
		}
		e, err := a.Take(p)
		if err != nil {
			return
		}
		switch e.Kind {
		case fcgi.EventParams:
			q := &ApplicationRequest{ID: e.ID, Keep: e.Keep, Params: map[string]string{}}
			for list := e.Params; len(list) > 0; {
				var name, value []byte
				name, value, list, _ = fcgi.Pair(list)
				q.Params[string(name)] = string(value)
			}
			open[e.ID] = q
		case fcgi.EventBody:
			open[e.ID].Body = append(open[e.ID].Body, e.Data...)
		case fcgi.EventReply:
			c.Write(e.Data)
		case fcgi.EventAborted:
			s.mu.Lock()
			s.aborted++
			s.mu.Unlock()
			c.Write(fcgi.AppendEnd(nil, e.ID, 1, fcgi.StatusComplete))
			a.Done(e.ID)
		case fcgi.EventRejected:
			return
		case fcgi.EventBodyEnd:
			q := open[e.ID]
			delete(open, e.ID)
			if !s.Serve(c, q) {
				return
			}
			if !q.Open {
				a.Done(e.ID)
			}
		}
	}
}

// Answered is a whole answer of an application.
func (a *ApplicationRequest) Answered(head, body string) []byte {
	out := fcgi.AppendStream(nil, fcgi.TypeStdout, a.ID, []byte(head+"\r\n\r\n"+body))
	return fcgi.AppendEnd(fcgi.AppendStreamEnd(out, fcgi.TypeStdout, a.ID), a.ID, 0, fcgi.StatusComplete)
}
