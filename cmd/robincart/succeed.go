package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/dataplane/upstream"
	"robincart/internal/handover"
	"robincart/internal/resources/limits"
	"robincart/internal/system/socket"
)

// door is the callers' listener. One that the platform holds can be let go of and taken up again.
type door struct {
	file *os.File // nil: the listener is this process's own
	mu   sync.Mutex
	ln   net.Listener
}

// openDoor listens on an address, or on the descriptor that the platform holds for every process of this node.
func openDoor(addr, descriptor string) (*door, error) {
	if descriptor == "" {
		ln, err := socket.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return &door{ln: ln}, nil
	}
	n, err := strconv.Atoi(descriptor)
	if err != nil || n < 3 {
		return nil, fmt.Errorf("EDGE_ACCEPT_FD is %q, no descriptor", descriptor)
	}
	syscall.CloseOnExec(n)
	d := &door{file: os.NewFile(uintptr(n), "listener")}
	if err := socket.RetryTransient(d.open); err != nil {
		return nil, fmt.Errorf("EDGE_ACCEPT_FD is %s: %w", descriptor, err)
	}
	return d, nil
}

func (d *door) open() error {
	ln, err := socket.FileListener(d.file)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ln = ln
	return nil
}

func (d *door) listener() net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ln
}

// known is what a process hands to its successor.
type known struct {
	Form    int             `json:"Form"` // of this; what another version wrote is not believed
	Said    said            `json:"Said"`
	Unread  bool            `json:"Unread"` // what was said before that process could not be read by it yet
	Servers []node.Endpoint `json:"Servers"`
	Listed  []string        `json:"Listed"`
	Held    int             `json:"Held"` // descriptors
	Seed    uint64          `json:"Seed"` // that ids of requests are known under
	// ListTime is what the list's clock shows, as far as it is known; zero: not told.
	ListTime time.Time `json:"ListTime"`
}

// form is the number of known's form. Whoever changes what a field means counts it up.
const form = 2

const (
	reachTime  = 500 * time.Millisecond
	reachAgain = 20 * time.Millisecond
	stateTime  = time.Second
	// listenAgain is the pause between two tries to listen for a successor.
	listenAgain = 200 * time.Millisecond
	ownFiles    = 24 // of a process, beside those that the budget counts
)

// succession is this process's side towards the ones before and after it.
type succession struct {
	log    *zap.Logger
	ops    *operations
	front  *frontend.Server
	core   *node.Core
	pool   *upstream.Pool
	budget *limits.Budget
	limits limits.Limits
	door   *door
	ln     *net.UnixListener
	before *handover.Link // nil: nobody, or it has gone
	lent   int            // descriptors that the one before holds
	path   string

	mu       sync.Mutex
	heir     *handover.Link // has connected
	gave     bool           // it takes callers, and this process does not
	stopping bool
	all      sync.WaitGroup
}

// succeed looks for a process of this node that serves now, takes over what it knows, and lets this one be succeeded. The directory is the
// node's own. Without one nothing outlives this process; without a listener that outlives it there is no succession, but what operators have
// said is kept.
func (s *succession) succeed(dir, name string) {
	if dir == "" {
		return
	}
	s.path = handover.SocketPath(dir, name)
	s.ops.file = newOperatorFile(s.path+".said", s.log)
	if s.door.file == nil {
		s.ops.restore()
		return
	}
	told, err := s.reach()
	if err != nil {
		s.log.Warn("the process before this one does not hand over", zap.Error(err))
	}
	if s.before != nil {
		s.takeOver(told)
	} else {
		s.ops.restore()
	}
	if err := s.listen(); err != nil {
		s.log.Error("a successor would have to do without this process; it is tried again", zap.Error(err))
		s.all.Go(s.listenLater)
	}
}

// listen lets a successor reach this process.
func (s *succession) listen() error {
	ln, err := handover.Listen(s.path)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return ln.Close()
	}
	s.ln = ln
	s.all.Go(func() { s.accept(ln) })
	return nil
}

// listenLater goes on trying, since a folder may fail for a while.
func (s *succession) listenLater() {
	for {
		time.Sleep(listenAgain)
		s.mu.Lock()
		stopping := s.stopping
		s.mu.Unlock()
		if stopping {
			return
		}
		if s.listen() == nil {
			s.log.Info("a successor can reach this process now")
			return
		}
	}
}

// takeOver goes on with what the process before this one has told.
func (s *succession) takeOver(told known) {
	s.lent = s.budget.Lend(told.Held + ownFiles)
	s.front.SetRequestIDSeed(told.Seed)
	s.part(2) // both together count against it
	s.core.AdoptListClock(told.ListTime)
	if len(told.Servers) > 0 {
		s.core.UpdateEndpoints(told.Servers, true)
	}
	s.ops.link(s.before, true)
	s.ops.follow(told.Said, told.Listed, told.Unread)
}

// reach asks the process before this one what it knows; without one there is no error either. Where it hangs up it is asked again
// for a while: it may not have noticed yet that another successor has died.
func (s *succession) reach() (told known, err error) {
	for end := time.Now().Add(reachTime); ; time.Sleep(reachAgain) {
		link, bad := handover.Dial(s.path, reachTime)
		if bad != nil {
			return known{}, err // of the time before, if there was one
		}
		if err = link.ReceiveState(&told, stateTime); err == nil && told.Form != form {
			err = fmt.Errorf("it speaks form %d and this one %d", told.Form, form)
		}
		if err == nil {
			s.before = link
			return told, nil
		}
		link.Close()
		if !errors.Is(err, io.EOF) || time.Now().After(end) {
			return known{}, err
		}
	}
}

// part is how many processes of this node share its memory now.
func (s *succession) part(of int64) {
	debug.SetMemoryLimit(s.limits.MemoryLimit / of)
	s.budget.Memory().Resize(s.limits.BodyMemory / of)
}

// takes tells the process before this one that callers are taken here.
func (s *succession) takes() {
	if s.before == nil {
		return
	}
	s.log.Info("callers are taken over from the process before")
	s.all.Go(func() { s.before.Serve((*forebear)(s)) })
	if err := s.before.SendReady(); err != nil {
		s.log.Warn("the process before this one could not be told", zap.Error(err))
	}
}

func (s *succession) accept(ln *net.UnixListener) {
	for {
		c, err := ln.AcceptUnix()
		if err != nil {
			return // closed
		}
		l := handover.NewLink(c)
		s.mu.Lock()
		busy := s.heir != nil || s.stopping
		if !busy {
			s.heir = l
		}
		s.mu.Unlock()
		if busy {
			l.Close()
			continue
		}
		s.ops.mu.Lock() // what is said from now on goes to it as a word
		err = l.SendState(known{Form: form, Said: s.ops.sayings(), Unread: s.ops.unread(), Servers: s.core.Endpoints(), Listed: s.core.KnownServers(), Held: s.limits.Descriptors - s.budget.Available(),
			Seed: s.front.RequestIDSeed(), ListTime: s.core.ListClock()})
		s.ops.links[l] = struct{}{}
		s.ops.mu.Unlock()
		if err != nil {
			s.log.Warn("a successor could not be told", zap.Error(err))
		}
		s.all.Go(func() { l.Serve((*heir)(s)) })
	}
}

// given tells whether a successor takes callers. From then on none does so here again.
func (s *succession) given() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	return s.gave
}

// close ends it all.
func (s *succession) close() {
	s.mu.Lock()
	s.stopping = true
	heir := s.heir
	if s.ln != nil {
		s.ln.Close()
	}
	s.mu.Unlock()
	if heir != nil {
		heir.Close()
	}
	if s.before != nil {
		s.before.Close()
	}
	s.all.Wait()
}

// heir is what a process does with its successor's words.
type heir succession

// SuccessorReady hands callers over: this process lets go of the listener, and connections go over between requests.
func (h *heir) SuccessorReady() {
	h.mu.Lock()
	h.gave = true
	link := h.heir
	h.mu.Unlock()
	h.ops.taking.Store(false)
	h.log.Info("callers are handed to a successor")
	h.door.listener().Close()
	// No request begins here from now on but on connections that are in use, which have one by then.
	if err := link.SendRequestIDs(h.front.ExportRequestIDs()); err != nil {
		h.log.Warn("the successor could not be told which requests are open", zap.Error(err))
	}
	h.front.TransferTo(link.SendConnection)
	for h.pool.EvictIdle() { // its descriptors count against the successor's
	}
	(*succession)(h).part(2)
}

func (h *heir) Connection(c net.Conn, _ bool) { c.Close() } // not a successor's to send

func (h *heir) RequestIDs([]byte) {} // nor these

func (h *heir) Command(w handover.Command) { h.ops.do(w, h.heir) }

// Disconnected takes callers up again where the successor has died and nobody ends this process: nobody else would take them.
func (h *heir) Disconnected(err error) {
	h.ops.link(h.heir, false)
	h.mu.Lock()
	resumes := h.gave && !h.stopping
	h.heir, h.gave = nil, false
	h.mu.Unlock()
	if !resumes {
		return
	}
	h.log.Error("the successor has gone; callers are taken here again", zap.Error(err))
	(*succession)(h).part(1)
	h.front.TransferTo(nil)
	if err := h.door.open(); err != nil {
		h.log.Error("the listener could not be opened again", zap.Error(err))
		return
	}
	if ln, err := handover.Listen(h.path); err == nil { // the successor had taken the path
		h.mu.Lock()
		h.ln.Close()
		h.ln = ln
		h.mu.Unlock()
		h.all.Go(func() { (*succession)(h).accept(ln) })
	}
	h.front.Serve(h.door.listener())
	h.ops.taking.Store(true)
}

// forebear is what a process does with the words of the one before it.
type forebear succession

func (f *forebear) SuccessorReady() {}

func (f *forebear) RequestIDs(all []byte) { f.front.ImportRequestIDs(all) }

func (f *forebear) Connection(c net.Conn, asked bool) {
	if f.lent > 0 { // it holds one less
		f.lent--
		f.budget.Release()
	}
	f.front.Adopt(c, asked)
}

func (f *forebear) Command(w handover.Command) { f.ops.do(w, f.before) }

func (f *forebear) Disconnected(error) {
	f.ops.link(f.before, false)
	for ; f.lent > 0; f.lent-- {
		f.budget.Release()
	}
	(*succession)(f).part(1)
	f.log.Info("the process before has ended")
}
