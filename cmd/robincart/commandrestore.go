package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"robincart/internal/admin"
	"robincart/internal/handover"
)

// pendingRestore notes what operators command while the saved state can't be read. It goes before what is read later.
type pendingRestore struct {
	servers  map[string]bool
	lameDuck bool
}

func (p *pendingRestore) note(command handover.Command) {
	switch command.Path {
	case admin.PathLameDuckOn, admin.PathLameDuckOff:
		p.lameDuck = true
	default:
		p.servers[command.Server] = true
	}
}

// restore puts the saved state in force. Where the file can't be read for loadTimeout the node serves without it, and
// restores it as soon as that can be, but for what operators have commanded meanwhile.
func (c *commandHandler) restore(ctx context.Context) {
	saved, err := c.stateFile.load()
	if err == nil {
		c.inherit(saved, nil)
		return
	}
	c.log.Error("operator state unreadable", zap.Error(err),
		zap.String("effect", "banned servers are sent to until it can be read"),
		zap.String("advice", "mend the folder of this file, or ban the servers again"))
	c.inherit(operatorState{}, nil)
	c.restoreInBackground(ctx)
}

// inherit puts another process's state in force. knownServers are those that the other process has ever had in its
// list.
func (c *commandHandler) inherit(state operatorState, knownServers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.BannedSince == nil {
		state.BannedSince = map[string]int64{}
	}
	if state.StartedAt == nil {
		state.StartedAt = map[string]int64{}
	}
	c.stateMu.Lock()
	c.state = state
	c.stateMu.Unlock()
	c.enforce(state, knownServers)
}

// enforce gives the cores and the front end a state.
func (c *commandHandler) enforce(state operatorState, knownServers []string) {
	for _, core := range c.cores() {
		core.InheritBans(state.bans(), knownServers)
	}
	c.frontend.SetLameDuck(state.LameDuck)
}

// inheritFromPredecessor puts the predecessor's state in force. stateUnread is set if the predecessor could not
// read the file: then this process does not overwrite it either before it is read.
func (c *commandHandler) inheritFromPredecessor(ctx context.Context, state operatorState, knownServers []string,
	stateUnread bool) {
	c.inherit(state, knownServers)
	if stateUnread {
		c.restoreInBackground(ctx)
		return
	}
	c.stateFile.allowWrites()
	c.stateFile.save(c.operatorState()) // the predecessor may not have been able to
}

// restoreInBackground restores the saved state as soon as it can be read. Nothing waits for its goroutine at the
// process's end: a read in a directory that hangs may never return.
func (c *commandHandler) restoreInBackground(ctx context.Context) {
	c.stateMu.Lock()
	c.pending = &pendingRestore{servers: map[string]bool{}, lameDuck: c.state.LameDuck}
	c.stateMu.Unlock()
	go c.retryRestore(ctx)
}

// stateUnread reports whether the saved state is not known yet.
func (c *commandHandler) stateUnread() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.pending != nil
}

func (c *commandHandler) retryRestore(ctx context.Context) {
	ticker := time.NewTicker(backgroundLoadPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		saved, err := c.stateFile.read()
		if err != nil {
			continue
		}
		c.merge(saved)
		c.log.Info("operator state restored", zap.Int("banned", len(saved.BannedSince)))
		return
	}
}

// merge puts a saved state in force beside what operators have commanded meanwhile, and saves both.
func (c *commandHandler) merge(saved operatorState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.addSaved(saved)
	c.enforce(state, nil)
	c.stateFile.save(state)
	c.stateFile.allowWrites()
}

// addSaved adds a saved state to this process's, and returns a copy of the result.
func (c *commandHandler) addSaved(saved operatorState) operatorState {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	for server, since := range saved.BannedSince {
		if c.pending.servers[server] {
			continue
		}
		c.state.BannedSince[server] = since
		if started, known := saved.StartedAt[server]; known {
			c.state.StartedAt[server] = started
		}
	}
	if !c.pending.lameDuck {
		c.state.LameDuck = saved.LameDuck
	}
	c.pending = nil
	return c.state.clone()
}
