package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"robincart/internal/admin"
	"robincart/internal/handover"
)

// pendingRestore records which parts of the state operators have changed while the saved state has not been read. These
// changes take precedence over the saved state.
type pendingRestore struct {
	servers  map[string]bool
	lameDuck bool
}

func (p *pendingRestore) add(command handover.Command) {
	switch command.Path {
	case admin.PathLameDuckOn, admin.PathLameDuckOff:
		p.lameDuck = true
	default:
		p.servers[command.Server] = true
	}
}

// restore applies the saved state. If the file can't be read within loadTimeout, the node serves without the saved
// state. Once the file can be read, the node applies the saved state, except for the parts that operators have changed
// in the meantime.
func (c *commandHandler) restore(ctx context.Context) {
	saved, err := c.stateFile.load()
	if err == nil {
		c.inherit(saved, nil)
		return
	}
	c.log.Error("operator state unreadable", zap.Error(err),
		zap.String("effect", "banned servers receive requests until the file can be read"),
		zap.String("advice", "repair the directory of this file, or ban the servers again"))
	c.inherit(operatorState{}, nil)
	c.restoreInBackground(ctx)
}

// inherit replaces this process's operator state by a state from the state file or from the predecessor, and applies
// the new state. knownServers are the IDs of all servers that were ever in the predecessor's endpoint list. For a state
// from the file, knownServers is nil.
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
	c.applyState(state, knownServers)
}

// applyState applies a state to the cores and the front end.
func (c *commandHandler) applyState(state operatorState, knownServers []string) {
	for _, core := range c.cores() {
		core.InheritBans(state.bans(), knownServers)
	}
	c.frontend.SetLameDuck(state.LameDuck)
}

// inheritFromPredecessor applies the predecessor's state. stateUnread is set if the predecessor could not read the
// state file; this process then must read the file before it may overwrite the file.
func (c *commandHandler) inheritFromPredecessor(ctx context.Context, state operatorState, knownServers []string,
	stateUnread bool) {
	c.inherit(state, knownServers)
	if stateUnread {
		c.restoreInBackground(ctx)
		return
	}
	c.stateFile.allowWrites()
	c.stateFile.save(c.operatorState()) // the predecessor may have failed to save the state
}

// restoreInBackground restores the saved state once the file can be read. An exiting process does not wait for this
// goroutine: a read from a file system that hangs may never return.
func (c *commandHandler) restoreInBackground(ctx context.Context) {
	c.stateMu.Lock()
	c.pending = &pendingRestore{servers: map[string]bool{}, lameDuck: c.state.LameDuck}
	c.stateMu.Unlock()
	go c.retryRestore(ctx)
}

// stateUnread reports whether the saved state has not been read yet.
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

// merge combines a saved state with the changes that operators have made in the meantime, and applies and saves the
// result.
func (c *commandHandler) merge(saved operatorState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.addSaved(saved)
	c.applyState(state, nil)
	c.stateFile.save(state)
	c.stateFile.allowWrites()
}

// addSaved adds a saved state to this process's state, except for the parts that operators have changed, and returns a
// copy of the result.
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
