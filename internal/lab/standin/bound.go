package standin

import (
	"time"

	"robincart/internal/lab/judge"
)

// Watch is how discovery tells of changes.
type Watch int

// The ways of a discovery to tell of changes.
const (
	WatchStreams      Watch = iota // a watch tells of each change until its connection ends
	WatchWaits                     // a watch ends with the first change that it tells after its list, or after a time without one
	WatchEndsWithList              // a watch ends right behind its list: who wants to know of changes asks again
)

// bind notes that a change counts as told to every node once discovery could be reached for the bound, unless another one of the
// same member comes before. The lock is held.
func (d *Discovery) bind(m Member) {
	if t := d.binding[m.ID]; t != nil {
		t.Stop()
		delete(d.binding, m.ID)
	}
	if d.Bound == 0 || d.Log == nil || m.Phase == "ready" {
		return
	}
	changed := time.Now()
	var due *time.Timer
	look := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.stopped || d.binding[m.ID] != due {
			return
		}
		if d.gone {
			due.Reset(d.Bound)
			return
		}
		since := changed
		if d.back.After(since) {
			since = d.back
		}
		if left := time.Until(since.Add(d.Bound)); left > 0 {
			due.Reset(left)
			return
		}
		delete(d.binding, m.ID)
		for _, o := range d.doors {
			d.Log.AddNotification(judge.Notification{Node: o.node, Server: m.Index, State: states[m.Phase], At: since.Add(d.Bound).Sub(d.Begin)})
		}
	}
	due = time.AfterFunc(d.Bound, look)
	d.binding[m.ID] = due
}
