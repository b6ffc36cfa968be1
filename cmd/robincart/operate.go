package main

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/internal/admin"
	"robincart/internal/frontend"
	"robincart/internal/handover"
	"robincart/internal/node"
	"robincart/internal/socket"
)

// operations are what the operators' address acts on.
type operations struct {
	front  *frontend.Server
	cores  func() []*node.Core // of all services
	file   string              // where what operators said is kept, for a process that follows this one; empty: nowhere
	log    *zap.Logger
	taking atomic.Bool // callers are taken

	mu    sync.Mutex                  // one call at a time
	links map[*handover.Link]struct{} // to this node's other processes

	// Apart, since a service that begins asks for it while its set is locked, and a call asks the set for its cores.
	state sync.Mutex
	said  said
}

// said is what operators have said and not taken back.
type said struct {
	Out  map[string]int64 `json:"out"` // servers taken out, since when in milliseconds of Unix time
	Lame bool             `json:"lame"`
}

func (s said) out() map[string]time.Time {
	all := make(map[string]time.Time, len(s.Out))
	for id, since := range s.Out {
		all[id] = time.UnixMilli(since)
	}
	return all
}

func (o *operations) Ready() bool { return o.taking.Load() }

// Detach takes a server out of every service that lists it, or did.
func (o *operations) Detach(server string) bool {
	return o.do(handover.Word{Call: admin.PathDetach, Server: server}, nil)
}

// Attach lets it back into all of them.
func (o *operations) Attach(server string) bool {
	return o.do(handover.Word{Call: admin.PathAttach, Server: server}, nil)
}

// Kept is what one of the services has against it.
func (o *operations) Kept(server string) string {
	for _, c := range o.cores() {
		if why := c.Kept(server); why != "" {
			return why
		}
	}
	return ""
}

func (o *operations) Lame(on bool) {
	w := handover.Word{Call: admin.PathOff}
	if on {
		w.Call = admin.PathOn
	}
	o.do(w, nil)
}

// do does a call, tells this node's other processes but the one that it came from, and keeps what it says.
func (o *operations) do(w handover.Word, from *handover.Link) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch w.Call {
	case admin.PathDetach:
		// Noted first: a service that begins meanwhile hears of it one way or the other.
		fresh := o.note(w.Server, true)
		if !o.each(w.Server, (*node.Core).Detach) {
			if fresh {
				o.note(w.Server, false)
			}
			return false
		}
	case admin.PathAttach:
		if !o.each(w.Server, (*node.Core).Attach) {
			return false
		}
		o.note(w.Server, false)
	case admin.PathOn, admin.PathOff:
		on := w.Call == admin.PathOn
		o.state.Lock()
		o.said.Lame = on
		o.state.Unlock()
		o.front.Lame(on)
	default:
		return false
	}
	for l := range o.links {
		if l != from {
			if err := l.Word(w); err != nil {
				o.log.Warn("another process of this node could not be told", zap.String("call", w.Call), zap.Error(err))
			}
		}
	}
	if o.file != "" {
		// In force all the same: what a full disk costs is only that a process killed now is followed by one that does not know.
		if err := handover.Save(o.file, o.sayings()); err != nil {
			o.log.Error("what operators said could not be kept", zap.Error(err))
		}
	}
	return true
}

// note puts a server among those that are out, or takes it from them, and tells whether that is new.
func (o *operations) note(server string, out bool) bool {
	o.state.Lock()
	defer o.state.Unlock()
	_, was := o.said.Out[server]
	switch {
	case was == out:
		return false
	case out:
		o.said.Out[server] = time.Now().UnixMilli()
	default:
		delete(o.said.Out, server)
	}
	return true
}

// sayings are a copy of what was said.
func (o *operations) sayings() said {
	o.state.Lock()
	defer o.state.Unlock()
	return said{Out: maps.Clone(o.said.Out), Lame: o.said.Lame}
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
	o.state.Lock()
	o.said = s
	o.state.Unlock()
	for _, c := range o.cores() {
		c.Succeed(s.out(), listed)
	}
	o.front.Lame(s.Lame)
}

// begun tells the core of a service that has just begun what was said before.
func (o *operations) begun(c *node.Core) { c.Succeed(o.sayings().out(), nil) }

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
	return &operations{front: front, cores: cores, log: log, links: map[*handover.Link]struct{}{}, said: said{Out: map[string]int64{}}}
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
	return admin.Serve(ln, o, admin.Defaults(), log).Close, nil
}
