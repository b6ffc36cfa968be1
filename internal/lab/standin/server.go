// Package standin holds what stands round a node in the lab, over loopback sockets and after the protocol page: servers,
// discovery, the front that deals out connections, straight callers, nodes as processes, and nodes made wrong on purpose.
package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
	"robincart/internal/system/socket"
)

// Kind is what a server is made of.
type Kind struct {
	Cores    int
	Speed    float64 // of one core, in the measure of the works asked for
	Queue    int     // RPCs waiting for a core at most; what comes beyond is turned away as never run
	Conns    int     // at most; 0: no limit
	Idle     time.Duration
	PerConn  int // requests on one connection at most; 0: no limit
	ColdFrom float64
	ColdFor  time.Duration // from ColdFrom's part of its speed to all of it, in a straight line
	// A cold server falls over once what was sent to it over FallFor exceeds FallMultiple times what it can do then.
	FallMultiple float64
	FallFor      time.Duration
	Cancels      bool // work of a caller that has gone is dropped; else it is done all the same
}

// IdempotencyKeys drops repeats: which deduplicated calls have had their effect, and when. Servers of one group share it.
type IdempotencyKeys struct {
	Window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time
	swept  time.Time
}

// First tells whether a mark is new within the window, and notes it.
func (m *IdempotencyKeys) First(mark string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.seen == nil {
		m.seen = map[string]time.Time{}
	}
	if now.Sub(m.swept) > m.Window {
		for k, at := range m.seen {
			if now.Sub(at) > m.Window {
				delete(m.seen, k)
			}
		}
		m.swept = now
	}
	if at, known := m.seen[mark]; known && now.Sub(at) <= m.Window {
		return false
	}
	m.seen[mark] = now
	return true
}

// Next is how a server calls the tier behind it: it returns false if the call did not end ok.
type Next func(q *wire.Request, n int, until time.Time) bool

// Server is one stand-in. Faults may be set at any time.
type Server struct {
	Kind
	Index     int32
	Marks     map[string]*IdempotencyKeys // by method; a method without one runs each request
	Log       *judge.Ledger
	Begin     time.Time // the run's start
	Calls     int       // to the tier behind, one after another
	Behind    Next
	Strangers bool // requests that no caller of the lab sent are served, too, and not noted
	// Serve answers instead of the model, for tests: the connection is the handler's until it returns.
	Serve func(c net.Conn, q *wire.Request) (again bool)

	addr string

	mu       sync.Mutex
	ln       net.Listener
	conns    map[net.Conn]struct{}
	up       time.Time // since when it has been cold
	fell     bool
	drains   time.Time // it turns away what comes from then on
	stuck    chan struct{}
	sent     []push // of FallFor
	sentSum  float64
	waitings int

	fault   atomic.Int32
	share   atomic.Int64 // of requests that the fault meets, in millionths
	slow    atomic.Int64 // factor on its work, in thousandths
	cores   chan struct{}
	active  atomic.Int64
	met     atomic.Int64
	stopped atomic.Bool
	got     atomic.Int64

	shortages atomic.Int64
}

type push struct {
	at   time.Time
	work float64 // seconds on a core of speed 1
}

// Fault is what a server does wrong.
type Fault int32

// The faults of a server.
const (
	NoFault     Fault = iota
	Silent            // takes requests and answers none
	Fail              // 500 at once
	ResetBefore       // resets at the request's first bytes
	ResetAfter        // resets after the last byte
	DieMid            // ends in the middle of its answer
	Spoil             // answers with what can't be read
)

// Faults by the names of experiment files.
var Faults = map[string]Fault{"silent": Silent, "fail": Fail, "reset-before": ResetBefore, "reset-after": ResetAfter,
	"die-mid": DieMid, "spoil": Spoil}

// Start listens and serves. An address given up by another server may be taken again.
func (s *Server) Start(addr string) error {
	if s.Cores < 1 {
		s.Cores = 1
	}
	if s.Speed <= 0 {
		s.Speed = 1
	}
	s.cores = make(chan struct{}, s.Cores)
	s.conns = map[net.Conn]struct{}{}
	s.slow.Store(1000)
	s.share.Store(1_000_000)
	return s.Listen(addr)
}

// Listen opens the door, at its old address if none is given.
func (s *Server) Listen(addr string) error {
	if addr == "" {
		s.mu.Lock()
		open := s.ln != nil
		addr = s.addr
		s.mu.Unlock()
		if open || s.stopped.Load() { // by another fault's end, or ended meanwhile: its port is its successor's
			return nil
		}
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.addr = ln, ln.Addr().String()
	s.mu.Unlock()
	go s.accept(ln)
	return nil
}

// Addr is where it listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Got counts the requests that have come.
func (s *Server) Got() int { return int(s.got.Load()) }

// Shortages counts the connections that this process had no descriptor for.
func (s *Server) Shortages() int { return int(s.shortages.Load()) }

// Refuse closes the door and resets all connections, as the end of the process would.
func (s *Server) Refuse() {
	s.mu.Lock()
	ln, conns := s.ln, s.conns
	s.ln, s.conns = nil, map[net.Conn]struct{}{}
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	for c := range conns {
		reset(c)
	}
}

// Stop ends it for good.
func (s *Server) Stop() {
	s.stopped.Store(true)
	s.Freeze(false)
	s.Refuse()
}

// Freeze stops everything in it, as SIGSTOP would; the kernel goes on taking connections and bytes.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.stuck == nil:
		s.stuck = make(chan struct{})
	case !on && s.stuck != nil:
		close(s.stuck)
		s.stuck = nil
	}
}

// Fault sets what it does wrong with a share of its requests.
func (s *Server) Fault(f Fault, share float64) {
	s.share.Store(int64(share * 1_000_000))
	s.fault.Store(int32(f))
}

// Slow makes its work take so many times as long.
func (s *Server) Slow(factor float64) { s.slow.Store(int64(factor * 1000)) }

// Drain turns away what comes from a moment on; zero ends that.
func (s *Server) Drain(from time.Time) {
	s.mu.Lock()
	s.drains = from
	s.mu.Unlock()
}

// Cold makes it cold from now on.
func (s *Server) Cold() {
	s.mu.Lock()
	s.up, s.fell, s.sent, s.sentSum = time.Now(), false, nil, 0
	s.mu.Unlock()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// gate holds up whatever a frozen process would not do.
func (s *Server) gate() {
	for {
		s.mu.Lock()
		stuck := s.stuck
		s.mu.Unlock()
		if stuck == nil {
			return
		}
		<-stuck
	}
}

func (s *Server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			s.shortages.Add(1) // the lab's own shortage: the run is void, but it goes on to its end
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if err != nil {
			return
		}
		// Taken even while frozen, as the kernel takes it for a stopped process: a request's first byte is to be seen
		// when it comes. That the process does nothing for it is the gate's part.
		s.mu.Lock()
		full := s.ln != ln || s.Conns > 0 && len(s.conns) >= s.Conns
		if !full {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if full {
			reset(c)
			continue
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 2048)
	for n := 1; ; n++ {
		if s.Idle > 0 {
			c.SetReadDeadline(time.Now().Add(s.Idle))
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		s.gate()
		if Fault(s.fault.Load()) == ResetBefore && s.meets() {
			reset(c)
			return
		}
		c.SetReadDeadline(first.Add(10 * time.Second))
		q, err := wire.ReadRequest(r)
		if err != nil {
			return // what it can't read it closes on
		}
		s.got.Add(1)
		if s.Serve != nil {
			if !s.Serve(c, q) {
				return
			}
			continue
		}
		if strings.HasPrefix(q.Path, "/health/live") || q.Path == "/stats" {
			fmt.Fprintf(c, "%s", wire.Answer(nil, 200, "", fmt.Appendf(nil, `{"queue":%d,"active":%d}`, s.queued(), s.active.Load())))
			continue
		}
		if !s.request(c, q, first) || q.Close || s.PerConn > 0 && n >= s.PerConn {
			return
		}
	}
}

func (s *Server) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitings
}

// meets tells whether the fault meets this request: every so many, so that the share is exact.
func (s *Server) meets() bool {
	share := s.share.Load()
	n := s.met.Add(1)
	return n*share/1_000_000 > (n-1)*share/1_000_000
}

// request is the life of one request at a server.
func (s *Server) request(c net.Conn, q *wire.Request, first time.Time) (again bool) {
	id, known := wire.ParseID(q.Header.Get(wire.Trace))
	if !known && !s.Strangers {
		c.Write(wire.Answer(nil, 400, "", nil))
		return true
	}
	came := time.Now()
	p := judge.ServerRequest{ID: judge.ID{Call: id.Call, Inner: id.Inner, N: id.Try}, Server: s.Index, First: first.Sub(s.Begin)}
	p.Start = came.Sub(s.Begin)
	p.End = p.Start
	if q.Header.Get(wire.Left) != "" {
		p.Until = q.Deadline(first).Sub(s.Begin)
	}
	log := func() {
		if s.Log != nil && known {
			s.Log.AddServerRequest(p)
		}
	}
	work, _ := strconv.ParseFloat(q.Query("w"), 64)
	wait, _ := strconv.ParseFloat(q.Query("i"), 64)
	s.mu.Lock()
	turns := !s.drains.IsZero() && came.After(s.drains)
	s.mu.Unlock()
	fault := Fault(s.fault.Load())
	if fault != NoFault && !s.meets() {
		fault = NoFault
	}
	if s.push(work/1000, came) {
		log()
		return false // it fell over; its connections have been reset
	}
	switch {
	case turns:
		log()
		c.Write(never(nil))
		return true
	case fault == Silent:
		p.Ran, p.Effect = true, s.effect(q)
		log()
		one := make([]byte, 1)
		c.SetReadDeadline(q.Deadline(came).Add(time.Minute))
		c.Read(one)
		return false
	case fault == Fail:
		p.Ran = true
		log()
		c.Write(wire.Answer(nil, 500, "", nil))
		return true
	case fault == ResetAfter:
		p.Ran, p.Effect = true, s.effect(q)
		log()
		reset(c)
		return false
	}
	if !s.work(c, q, &p, work, wait) {
		log()
		if p.Ran {
			return false // the caller has gone
		}
		c.Write(never(nil))
		return true
	}
	log()
	s.gate()
	status, body := 200, fmt.Appendf(nil, "trace=%s server=%d\n", q.Header.Get(wire.Trace), s.Index)
	if s.Behind != nil && !s.behind(q, came) {
		status, body = 500, nil
	}
	text := wire.Answer(nil, status, "Content-Type: text/plain\r\n", body)
	switch fault {
	case DieMid:
		c.Write(text[:len(text)-len(body)/2-1])
		reset(c)
		return false
	case Spoil:
		c.Write([]byte("HTTP/1.1 two hundred\r\nContent-Length: -5\r\nno header\r\n\r\n"))
		return false
	}
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Write(text)
	return err == nil
}

func never(to []byte) []byte { return wire.Answer(to, 503, wire.NeverRan+": 1\r\n", nil) }

func (s *Server) behind(q *wire.Request, came time.Time) bool {
	for i := range s.Calls {
		if !s.Behind(q, i, q.Deadline(came)) {
			return false
		}
	}
	return true
}

// effect is what a request does, once: a repeat within the window is dropped.
func (s *Server) effect(q *wire.Request) bool {
	m := s.Marks[q.Header.Get(wire.Method)]
	return m == nil || m.First(q.Header.Get(wire.Key))
}

// work waits for a core and does the work by sleeping on it: cores here are time, not cycles, so that many servers fit
// on one machine. It returns false for what was turned away (Ran is false) or dropped for a caller that has gone.
func (s *Server) work(c net.Conn, q *wire.Request, p *judge.ServerRequest, work, wait float64) bool {
	if work <= 0 && wait <= 0 {
		p.Ran, p.Effect = true, s.effect(q)
		return true
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	select {
	case s.cores <- struct{}{}:
	default:
		s.mu.Lock()
		if s.waitings >= s.Queue {
			s.mu.Unlock()
			return false
		}
		s.waitings++
		s.mu.Unlock()
		s.cores <- struct{}{}
		s.mu.Lock()
		s.waitings--
		s.mu.Unlock()
	}
	s.gate()
	if s.Cancels && socket.StateOf(c) == socket.StateClosed {
		<-s.cores
		return false
	}
	begun := time.Now()
	p.Start, p.Ran, p.Effect = begun.Sub(s.Begin), true, s.effect(q)
	rest := time.Duration(work / s.speed(begun) * float64(time.Millisecond))
	gone := false
	for rest > 0 && !gone {
		part := min(rest, 20*time.Millisecond)
		time.Sleep(part)
		rest -= part
		s.gate()
		gone = s.Cancels && rest > 0 && socket.StateOf(c) == socket.StateClosed
	}
	<-s.cores
	if wait > 0 && !gone {
		time.Sleep(time.Duration(wait * float64(time.Millisecond)))
		s.gate()
	}
	p.End = time.Since(s.Begin)
	return !gone
}

// speed is what one core does now, in seconds of work a second.
func (s *Server) speed(now time.Time) float64 {
	v := s.Speed * 1000 / float64(s.slow.Load())
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if s.ColdFor > 0 && !up.IsZero() {
		if warm := now.Sub(up).Seconds() / s.ColdFor.Seconds(); warm < 1 {
			v *= s.ColdFrom + (1-s.ColdFrom)*warm
		}
	}
	return v
}

// push counts what is sent to a cold server and tells whether that has pushed it over.
func (s *Server) push(work float64, now time.Time) bool {
	if s.FallMultiple == 0 || s.ColdFor == 0 {
		return false
	}
	able := s.speed(now) * float64(s.Cores)
	s.mu.Lock()
	if s.up.IsZero() || now.Sub(s.up) > s.ColdFor || s.fell {
		fell := s.fell
		s.mu.Unlock()
		return fell
	}
	s.sent = append(s.sent, push{now, work})
	s.sentSum += work
	for len(s.sent) > 0 && now.Sub(s.sent[0].at) > s.FallFor {
		s.sentSum -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	up := s.up
	over := s.sentSum > s.FallMultiple*able*s.FallFor.Seconds()
	s.fell = over
	s.mu.Unlock()
	if over {
		if s.Log != nil {
			s.Log.AddOverload(judge.Overload{Server: s.Index, Up: up.Sub(s.Begin), At: now.Sub(s.Begin), Window: s.FallFor})
		}
		s.Refuse()
	}
	return over
}
