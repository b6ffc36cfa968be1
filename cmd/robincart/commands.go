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
	"robincart/internal/handover"
	"robincart/internal/system/socket"
)

// lameDuckSetter is implemented by the front end, which asks clients to leave while the node is a lame duck.
type lameDuckSetter interface{ SetLameDuck(on bool) }

// commandHandler executes the operator commands that are sent to this process's admin address or relayed by another
// process of the node. It owns the operator state.
type commandHandler struct {
	frontend  lameDuckSetter
	cores     func() []*node.Core // of all services
	stateFile *operatorStateFile  // nil: the state does not outlive the process
	log       *zap.Logger
	accepting atomic.Bool // clients are accepted

	mu    sync.Mutex                  // held while a command is applied and relayed
	links map[*handover.Link]struct{} // to the node's other processes

	// stateMu is separate from mu to avoid a deadlock: a service that starts reads the state while the services are
	// locked, and a command locks the services while it holds mu.
	stateMu sync.Mutex
	state   operatorState
	// pending is set while the saved state still has to be read, after a failed attempt to read it. Otherwise pending
	// is nil.
	pending *pendingRestore
}

func newCommandHandler(front lameDuckSetter, cores func() []*node.Core, log *zap.Logger) *commandHandler {
	return &commandHandler{
		frontend: front,
		cores:    cores,
		log:      log,
		links:    map[*handover.Link]struct{}{},
		state:    operatorState{BannedSince: map[string]int64{}, StartedAt: map[string]int64{}},
	}
}

// Ready reports whether this process accepts clients.
func (c *commandHandler) Ready() bool { return c.accepting.Load() }

// Detach bans a server in every service that lists the server now or has listed it before.
func (c *commandHandler) Detach(server string) error {
	return c.execute(handover.Command{Path: admin.PathDetach, Server: server}, nil)
}

// Attach ends the ban of a server in all services.
func (c *commandHandler) Attach(server string) error {
	return c.execute(handover.Command{Path: admin.PathAttach, Server: server}, nil)
}

// ExclusionReason returns why a server is excluded in one of the services, or "" if it is not excluded.
func (c *commandHandler) ExclusionReason(server string) string {
	for _, core := range c.cores() {
		if reason := core.ExclusionReason(server); reason != "" {
			return reason
		}
	}
	return ""
}

// SetLameDuck starts or stops asking clients to leave the node.
func (c *commandHandler) SetLameDuck(on bool) error {
	command := handover.Command{Path: admin.PathLameDuckOff}
	if on {
		command.Path = admin.PathLameDuckOn
	}
	return c.execute(command, nil)
}

// execute applies a command, relays it to the node's other processes, and saves the state. from is the link that the
// command was received on, or nil if it came from this process's admin address.
//
// If the state can't be saved in time, the command stays in force, saving is retried, and the error is an
// admin.NotPersistedError. A command that was received on a link does not wait for the save: the process that relayed
// the command responds to the operator, and the link must stay free for the transfer of client connections.
func (c *commandHandler) execute(command handover.Command, from *handover.Link) error {
	number, err := c.applyAndRelay(command, from)
	if err != nil || c.stateFile == nil || from != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	if err := c.stateFile.waitSaved(ctx, number); err != nil {
		return &admin.NotPersistedError{Cause: err}
	}
	return nil
}

// applyAndRelay applies a command, relays it, and starts a save. number is the number of the state that is being saved,
// or 0 if there is no state file.
func (c *commandHandler) applyAndRelay(command handover.Command, from *handover.Link) (number uint64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.apply(command); err != nil {
		return 0, err
	}
	for link := range c.links {
		if link == from {
			continue
		}
		if err := link.SendCommand(command); err != nil {
			c.log.Warn("operator command not relayed", zap.String("path", command.Path),
				zap.String("server", command.Server), zap.Error(err))
		}
	}
	if c.stateFile == nil {
		return 0, nil
	}
	return c.stateFile.save(c.operatorState()), nil
}

// apply applies a command. The caller holds mu.
func (c *commandHandler) apply(command handover.Command) error {
	switch command.Path {
	case admin.PathDetach:
		if err := c.detach(command.Server); err != nil {
			return err
		}
	case admin.PathAttach:
		if !c.anyCore(func(core *node.Core) bool { return core.Attach(command.Server) }) {
			return admin.ErrNeverListed
		}
		c.unban(command.Server)
	case admin.PathLameDuckOn, admin.PathLameDuckOff:
		c.setLameDuck(command.Path == admin.PathLameDuckOn)
	default:
		return fmt.Errorf("unknown operator command %q: expected %s, %s, %s or %s", command.Path, admin.PathDetach,
			admin.PathAttach, admin.PathLameDuckOn, admin.PathLameDuckOff)
	}
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.pending != nil {
		c.pending.add(command)
	}
	return nil
}

func (c *commandHandler) detach(server string) error {
	// The state is changed before the cores. If a service starts at the same time, its core either takes the ban from
	// the state or is one of the cores below.
	added := c.ban(server)
	if c.anyCore(func(core *node.Core) bool { return core.Detach(server) }) {
		return nil
	}
	if added {
		c.unban(server)
	}
	return admin.ErrNeverListed
}

// anyCore calls do for every core, and reports whether at least one call returned true.
func (c *commandHandler) anyCore(do func(*node.Core) bool) bool {
	found := false
	for _, core := range c.cores() {
		found = do(core) || found
	}
	return found
}

// ban adds a server to the banned servers. It returns false if the server was banned already.
func (c *commandHandler) ban(server string) (added bool) {
	started, known := c.startTime(server)
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if _, banned := c.state.BannedSince[server]; banned {
		return false
	}
	c.state.BannedSince[server] = time.Now().UnixMilli()
	if known {
		c.state.StartedAt[server] = started
	}
	return true
}

// unban removes a server from the banned servers.
func (c *commandHandler) unban(server string) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	delete(c.state.BannedSince, server)
	delete(c.state.StartedAt, server)
}

func (c *commandHandler) setLameDuck(on bool) {
	c.stateMu.Lock()
	c.state.LameDuck = on
	c.stateMu.Unlock()
	c.frontend.SetLameDuck(on)
}

// startTime returns a server's start time from the endpoint list, in milliseconds of Unix time. 0 means that the list
// has no start time for the server, which then counts as started long ago. known is false if no service lists the
// server.
func (c *commandHandler) startTime(server string) (milliseconds int64, known bool) {
	for _, core := range c.cores() {
		if started, listed := core.StartTime(server); listed {
			return startMilliseconds(started), true
		}
	}
	return 0, false
}

// operatorState returns a copy of the state.
func (c *commandHandler) operatorState() operatorState {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.state.clone()
}

// serviceStarted applies the current bans to the core of a service that has just started.
func (c *commandHandler) serviceStarted(core *node.Core) {
	core.InheritBans(c.operatorState().bans(), nil)
}

// addLink starts to relay commands to another process of the node.
func (c *commandHandler) addLink(link *handover.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[link] = struct{}{}
}

// addSuccessor sends a successor the state, and starts to relay commands to it. No command is executed in between, so
// that the successor learns of each command either from the state or by relay.
func (c *commandHandler) addSuccessor(successor *handover.Link, sendState func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[successor] = struct{}{}
	return sendState()
}

func (c *commandHandler) removeLink(link *handover.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, link)
}

// serveAdmin serves the admin address, unless it is empty, and returns the function that stops serving.
func serveAdmin(address string, commands *commandHandler, log *zap.Logger) (closeAdmin func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := socket.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on admin address: %w", err)
	}
	return admin.Serve(listener, commands, admin.DefaultLimits(), log).Close, nil
}
