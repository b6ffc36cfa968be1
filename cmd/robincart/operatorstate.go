package main

import (
	"maps"
	"time"

	"robincart/internal/core/node"
)

// operatorState is the effect of the operator commands that have not been revoked.
type operatorState struct {
	// BannedSince maps the banned (detached) servers to the time of the ban, in milliseconds of Unix time.
	BannedSince map[string]int64 `json:"out"`
	// StartedAt maps the banned servers to their start times in the endpoint list at the time of the ban, in
	// milliseconds of Unix time. 0 means that the list had no start time: the server was started long ago. A banned
	// server without an entry was banned by a version of the program that did not record start times.
	StartedAt map[string]int64 `json:"starts,omitempty"`
	// LameDuck is set while clients are asked to leave the node.
	LameDuck bool `json:"lame"`
}

// clone returns a deep copy.
func (o operatorState) clone() operatorState {
	o.BannedSince = maps.Clone(o.BannedSince)
	o.StartedAt = maps.Clone(o.StartedAt)
	return o
}

// bans returns the bans in the form that Core.InheritBans takes.
func (o operatorState) bans() map[string]node.Ban {
	bans := make(map[string]node.Ban, len(o.BannedSince))
	for server, since := range o.BannedSince {
		ban := node.Ban{Since: time.UnixMilli(since)}
		if started, known := o.StartedAt[server]; known {
			ban.StartKnown = true
			if started != 0 {
				ban.Started = time.UnixMilli(started)
			}
		}
		bans[server] = ban
	}
	return bans
}

// startMilliseconds returns a start time in milliseconds of Unix time. For the zero time it returns 0.
func startMilliseconds(started time.Time) int64 {
	if started.IsZero() {
		return 0
	}
	return started.UnixMilli()
}
