package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/internal/admin"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/handover"
	"robincart/internal/system/socket"
)

// operations are what the operators' address acts on.
type operations struct {
	front  interface{ SetLameDuck(on bool) }
	cores  func() []*node.Core // of all services
	file   *operatorFile       // where what operators said is kept, for a process that follows this one; nil: nowhere
	log    *zap.Logger
	taking atomic.Bool // callers are taken

	mu    sync.Mutex                  // one call at a time
	links map[*handover.Link]struct{} // to this node's other processes

	// Apart, since a service that begins asks for it while its set is locked, and a call asks the set for its cores.
	state sync.Mutex
	said  said
	// What this process was told of while the file could not be read: servers, and "" for the whole node. Nil: the file is known.
	spoken map[string]bool
}

func (o *operations) Ready() bool { return o.taking.Load() }

// Detach takes a server out of every service that lists it, or did.
func (o *operations) Detach(server string) error {
	return o.do(handover.Command{Path: admin.PathDetach, Server: server}, nil)
}

// Attach lets it back into all of them.
func (o *operations) Attach(server string) error {
	return o.do(handover.Command{Path: admin.PathAttach, Server: server}, nil)
}

// ExclusionReason is what one of the services has against it.
func (o *operations) ExclusionReason(server string) string {
	for _, c := range o.cores() {
		if why := c.ExclusionReason(server); why != "" {
			return why
		}
	}
	return ""
}

func (o *operations) SetLameDuck(on bool) error {
	w := handover.Command{Path: admin.PathLameDuckOff}
	if on {
		w.Path = admin.PathLameDuckOn
	}
	return o.do(w, nil)
}

// do does a call, tells this node's other processes but the one that it came from, and keeps what it says. What can't be kept is in force
// all the same, and written as soon as that can be; whoever called is told.
func (o *operations) do(w handover.Command, from *handover.Link) error {
	o.mu.Lock()
	if err := o.apply(w); err != nil {
		o.mu.Unlock()
		return err
	}
	for l := range o.links {
		if l != from {
			if err := l.SendCommand(w); err != nil {
				o.log.Warn("another process of this node could not be told", zap.String("call", w.Path), zap.Error(err))
			}
		}
	}
	number := uint64(0)
	if o.file != nil {
		number = o.file.put(o.sayings())
	}
	o.mu.Unlock()
	if o.file == nil || from != nil { // what comes from another process has its answer there, and connections come behind it
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), keepWithin)
	defer cancel()
	if err := o.file.await(ctx, number); err != nil {
		return &admin.NotPersistedError{Cause: err}
	}
	return nil
}

// apply puts a call in force. The lock of calls is held.
func (o *operations) apply(w handover.Command) error {
	switch w.Path {
	case admin.PathDetach:
		// Noted first: a service that begins meanwhile hears of it one way or the other.
		fresh := o.note(w.Server, true)
		if !o.each(w.Server, (*node.Core).Detach) {
			if fresh {
				o.note(w.Server, false)
			}
			return admin.ErrNeverListed
		}
	case admin.PathAttach:
		if !o.each(w.Server, (*node.Core).Attach) {
			return admin.ErrNeverListed
		}
		o.note(w.Server, false)
	case admin.PathLameDuckOn, admin.PathLameDuckOff:
		on := w.Path == admin.PathLameDuckOn
		o.state.Lock()
		o.said.Lame = on
		o.state.Unlock()
		o.front.SetLameDuck(on)
	default:
		return fmt.Errorf("%q is no call", w.Path)
	}
	o.state.Lock()
	if o.spoken != nil {
		o.spoken[w.Server] = true
	}
	o.state.Unlock()
	return nil
}

// note puts a server among those that are out, or takes it from them, and tells whether that is new.
func (o *operations) note(server string, out bool) bool {
	started, known := o.started(server)
	o.state.Lock()
	defer o.state.Unlock()
	_, was := o.said.Out[server]
	switch {
	case was == out:
		return false
	case out:
		o.said.Out[server] = time.Now().UnixMilli()
		if known {
			o.said.Starts[server] = started
		}
	default:
		delete(o.said.Out, server)
		delete(o.said.Starts, server)
	}
	return true
}

// started is the start that the list tells of a server, in milliseconds of Unix time, 0 for long ago.
func (o *operations) started(server string) (ms int64, known bool) {
	for _, c := range o.cores() {
		if at, listed := c.StartTime(server); listed {
			return unixMilli(at), true
		}
	}
	return 0, false
}

// unixMilli is a listed start as milliseconds of Unix time; the zero time is 0.
func unixMilli(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// sayings are a copy of what was said.
func (o *operations) sayings() said {
	o.state.Lock()
	defer o.state.Unlock()
	return o.said.clone()
}

func (o *operations) each(server string, do func(*node.Core, string) bool) bool {
	any := false
	for _, c := range o.cores() {
		any = do(c, server) || any
	}
	return any
}

// succeed puts in force what operators had told a process before this one.
func (o *operations) succeed(s said, listed []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.Out == nil {
		s.Out = map[string]int64{}
	}
	if s.Starts == nil {
		s.Starts = map[string]int64{}
	}
	o.state.Lock()
	o.said = s
	o.state.Unlock()
	for _, c := range o.cores() {
		c.Inherit(s.bans(), listed)
	}
	o.front.SetLameDuck(s.Lame)
}

// restore puts in force what stands in the operators' file. Where that can't be read for long the node serves without it, and takes it over
// as soon as it can: but for what operators have said meanwhile.
func (o *operations) restore() {
	before, err := o.file.load()
	if err == nil {
		o.succeed(before, nil)
		return
	}
	o.log.Error("what operators told the process before can't be read yet; servers that they took out are sent to until it can", zap.Error(err),
		zap.String("advice", "mend the folder of this file, or take the servers out again"))
	o.succeed(said{}, nil)
	o.awaitFile()
}

// awaitFile takes the file over as soon as it can be read.
func (o *operations) awaitFile() {
	o.state.Lock()
	o.spoken = map[string]bool{"": o.said.Lame}
	o.state.Unlock()
	go o.restoreLater()
}

// unread tells whether what stands in the file is not known yet.
func (o *operations) unread() bool {
	o.state.Lock()
	defer o.state.Unlock()
	return o.spoken != nil
}

// follow goes on with what the process before this one has told. Where that one had not been able to read the file, neither has this one, and
// nothing is written over it before.
func (o *operations) follow(told said, listed []string, unread bool) {
	o.succeed(told, listed)
	if unread {
		o.awaitFile()
		return
	}
	o.file.adopt()
	o.file.put(o.sayings()) // the process before may not have been able to
}

func (o *operations) restoreLater() {
	for {
		time.Sleep(loadPauseLater)
		before, err := o.file.peek()
		if err != nil {
			continue
		}
		o.merge(before)
		o.log.Info("what operators told the process before is in force again", zap.Int("out", len(before.Out)))
		return
	}
}

// merge adds what an earlier process had been told to what this one has, and keeps both.
func (o *operations) merge(before said) {
	o.mu.Lock()
	o.state.Lock()
	for server, since := range before.Out {
		if o.spoken[server] {
			continue
		}
		o.said.Out[server] = since
		if started, known := before.Starts[server]; known {
			o.said.Starts[server] = started
		}
	}
	if !o.spoken[""] {
		o.said.Lame = before.Lame
	}
	o.spoken = nil
	state := o.said.clone()
	o.state.Unlock()
	for _, c := range o.cores() {
		c.Inherit(state.bans(), nil)
	}
	o.front.SetLameDuck(state.Lame)
	o.file.put(state)
	o.file.adopt()
	o.mu.Unlock()
}

// begun tells the core of a service that has just begun what was said before.
func (o *operations) begun(c *node.Core) { c.Inherit(o.sayings().bans(), nil) }

// link has another process of this node told of calls, or no longer.
func (o *operations) link(l *handover.Link, on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if on {
		o.links[l] = struct{}{}
	} else {
		delete(o.links, l)
	}
}

// newOperations starts with nothing said.
func newOperations(front *frontend.Server, cores func() []*node.Core, log *zap.Logger) *operations {
	return &operations{front: front, cores: cores, log: log, links: map[*handover.Link]struct{}{},
		said: said{Out: map[string]int64{}, Starts: map[string]int64{}}}
}

// operated serves the operators' address, if there is one, and returns its end.
func operated(addr string, o *operations, log *zap.Logger) (func(), error) {
	if addr == "" {
		return func() {}, nil
	}
	ln, err := socket.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("the operators' address: %w", err)
	}
	return admin.Serve(ln, o, admin.DefaultLimits(), log).Close, nil
}
