package controller

import (
	"time"

	"go.uber.org/zap"

	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
)

// epochShift is the number of low bits of a revision that count lists within an epoch. The bits above them are the
// epoch, so that every list of an epoch has a higher revision than the lists of all earlier epochs.
const epochShift = 40

// epochOf returns the epoch of a revision.
func epochOf(revision int64) int64 { return revision >> epochShift }

// markListed records that the initial list of a kind has been read. It publishes the first lists of servers once all
// required kinds have been listed.
func (c *Controller) markListed(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.isSynced()
	c.listed[kind] = true
	if before || !c.isSynced() {
		return
	}
	c.log.Info("initial sync done", zap.Duration("took", time.Since(c.started)), zap.Int64("epoch", c.epoch))
	c.publishSnapshots()
	close(c.synced)
}

// isSynced reports whether all required kinds have been listed. The caller holds the mutex.
func (c *Controller) isSynced() bool {
	for _, kind := range requiredKinds {
		if !c.listed[kind] {
			return false
		}
	}
	return true
}

// publishSnapshots publishes a snapshot of each list in the current epoch. The caller holds the mutex.
func (c *Controller) publishSnapshots() {
	for serviceName, list := range c.lists {
		var members []fanout.Member
		for _, member := range c.state.Members(serviceName) {
			members = append(members, c.listMember(member))
		}
		list.PublishSnapshot(c.epoch<<epochShift+c.revisionOffset+c.state.Revision()+1, members)
	}
}

// update applies an observation to the membership state, and publishes the resulting changes.
func (c *Controller) update(observe func(state *membership.State, now float64) []membership.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := observe(c.state, c.now())
	if !c.isSynced() {
		return
	}
	deltas := make(map[string][]fanout.Member)
	for _, change := range changes {
		deltas[change.Service] = append(deltas[change.Service], c.listMember(change.Member))
	}
	for serviceName, list := range c.lists {
		list.PublishDelta(deltas[serviceName])
		if len(c.disconnected) == 0 {
			list.MarkSourceAlive()
		}
	}
}

// listMember converts a server to a member of the discovery protocol.
func (c *Controller) listMember(member membership.Member) fanout.Member {
	startedAt := c.started.Add(time.Duration(member.StartedAt * float64(time.Second)))
	return fanout.Member{
		ID:       member.ID,
		HostPort: member.Addr,
		Locality: member.Zone,
		Phase:    string(member.Phase),
		Size:     1,
		UpSince:  startedAt.UnixMilli(),
	}
}
