package standin

import (
	"time"

	"robincart/internal/lab/judge"
)

// reloadBound is the time after SIGHUP within which a node has to know what its discovery has.
const reloadBound = 4 * time.Second

// scheduleBound has a member's change count as notified to every node once discovery could be reached for the bound,
// unless another change of the member comes before. The mutex is held.
func (d *Discovery) scheduleBound(m Member) {
	if timer := d.boundTimers[m.ID]; timer != nil {
		timer.Stop()
		delete(d.boundTimers, m.ID)
	}
	if d.Bound == 0 || d.Log == nil || m.Phase == phaseReady {
		return
	}
	changedAt := time.Now()
	var timer *time.Timer
	timer = time.AfterFunc(d.Bound, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.stopped || d.boundTimers[m.ID] != timer {
			return
		}
		if wait := d.boundWait(changedAt); wait > 0 {
			timer.Reset(wait)
			return
		}
		delete(d.boundTimers, m.ID)
		d.recordBound(m, d.boundStart(changedAt).Add(d.Bound))
	})
	d.boundTimers[m.ID] = timer
}

// NotifiedAfterReload has the drains and removals that discovery has now count as notified to the listener's node
// reloadBound later, if discovery could be reached throughout, sent its messages whole, and did not move again.
func (d *DiscoveryListener) NotifiedAfterReload() {
	discovery, began := d.discovery, time.Now()
	discovery.mu.Lock()
	revision, spoilt := discovery.revision, discovery.spoiler != nil
	discovery.mu.Unlock()
	time.AfterFunc(reloadBound, func() {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		interrupted := discovery.down || discovery.stopped || discovery.upSince.After(began)
		if discovery.Log == nil || interrupted || d.closed || spoilt || discovery.spoiler != nil {
			return
		}
		at := began.Add(reloadBound).Sub(discovery.Begin)
		for _, change := range discovery.lastChanges(revision) {
			if change.Phase != phaseReady {
				discovery.Log.AddNotification(judge.Notification{
					Node: d.node, Server: change.Index, State: ledgerStates[change.Phase], At: at,
				})
			}
		}
	})
}

// lastChanges are the members' last changes, of those that have not changed after a revision. The mutex is held.
func (d *Discovery) lastChanges(revision int64) map[string]Member {
	last := map[string]Member{}
	for _, change := range d.deltas {
		last[change.member.ID] = change.member
		if change.revision > revision {
			delete(last, change.member.ID)
		}
	}
	return last
}

// boundStart is when the bound of a change starts to run: at the change or, if discovery was down since, once it could
// be reached again.
func (d *Discovery) boundStart(changedAt time.Time) time.Time {
	if d.upSince.After(changedAt) {
		return d.upSince
	}
	return changedAt
}

// boundWait is how long to wait until a change's bound is checked again. It is not positive once the bound has passed.
func (d *Discovery) boundWait(changedAt time.Time) time.Duration {
	if d.down {
		return d.Bound
	}
	return time.Until(d.boundStart(changedAt).Add(d.Bound))
}

// recordBound notes in the ledger that every node has to know of a member's change from a moment on.
func (d *Discovery) recordBound(m Member, at time.Time) {
	for _, l := range d.listeners {
		d.Log.AddNotification(judge.Notification{
			Node:   l.node,
			Server: m.Index,
			State:  ledgerStates[m.Phase],
			At:     at.Sub(d.Begin),
		})
	}
}
