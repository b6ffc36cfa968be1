package judge

import (
	"cmp"
	"slices"
	"time"
)

// link is a node and a server that it may send to.
type link struct{ node, server int32 }

// byLink groups notifications by node and server, each group in order of time.
func byLink(notifications []Notification) map[link][]Notification {
	groups := map[link][]Notification{}
	for _, notification := range notifications {
		key := link{notification.Node, notification.Server}
		groups[key] = append(groups[key], notification)
	}
	for _, group := range groups {
		slices.SortStableFunc(group, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	}
	return groups
}

// drainingSince returns since when a node, by its notifications of a server, has known at a moment that the server is
// draining or gone.
func drainingSince(notifications []Notification, at time.Duration) (since time.Duration, draining bool) {
	for _, notification := range notifications {
		switch {
		case notification.At > at:
			return since, draining
		case notification.State == Ready:
			draining = false
		case !draining:
			since, draining = notification.At, true
		}
	}
	return since, draining
}

// checkOverloads checks that no server in slow start was overloaded by nodes that had been notified of its start.
func (e *evaluation) checkOverloads() {
	for _, overload := range e.records.overloads {
		share := e.notifiedShare(overload)
		if share >= minNotifiedShare {
			e.verdict.violate(OverloadedInSlowStart, "server %d at %v, %.0f%% of it by nodes that knew",
				overload.Server, overload.At, 100*share)
		}
	}
}

// notifiedShare is the share of the requests behind an overload that came through nodes which had been notified of the
// server's start.
func (e *evaluation) notifiedShare(overload Overload) float64 {
	all, notified := 0, 0
	for _, request := range e.records.requests {
		inWindow := request.First <= overload.At && request.First >= overload.At-overload.Window
		if request.Server != overload.Server || !inWindow {
			continue
		}
		node, known := e.nodeOf(request.ID)
		if !known {
			continue
		}
		all++
		if e.notifiedOfStart(node, overload, request.First) {
			notified++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(notified) / float64(all)
}

// nodeOf returns the node that an attempt went through, if it is one of this run's and went through one.
func (e *evaluation) nodeOf(id ID) (node int32, known bool) {
	attempts := e.records.attempts
	i, found := slices.BinarySearchFunc(attempts, id, func(a ClientAttempt, id ID) int { return a.ID.compare(id) })
	if !found || attempts[i].Node < 0 {
		return 0, false
	}
	return attempts[i].Node, true
}

// notifiedOfStart returns whether a node had been notified by a moment that the server of an overload had started.
func (e *evaluation) notifiedOfStart(node int32, overload Overload, by time.Duration) bool {
	notifications := e.notifications[link{node, overload.Server}]
	return slices.ContainsFunc(notifications, func(n Notification) bool {
		return n.State == Ready && n.At >= overload.Up && n.At <= by
	})
}

// checkStalledClients checks that no client was left waiting that had stopped in the middle of its request.
func (e *evaluation) checkStalledClients() {
	for _, client := range e.records.stalledClients {
		waited := client.Ended - client.Stopped
		if waited > maxStalled+e.rules.Wire {
			e.verdict.violate(StalledTooLong, "node %d, stopped at %v, ended %v later",
				client.Node, client.Stopped, waited)
		}
	}
}
