package standin

import (
	"time"

	"robincart/internal/lab/judge"
)

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
