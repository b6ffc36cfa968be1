package main

import (
	"maps"
	"time"

	"robincart/internal/core/node"
)

// operatorState is what operators have commanded and not taken back.
type operatorState struct {
	// BannedSince are the servers that are banned (detached), since when in milliseconds of Unix time.
	BannedSince map[string]int64 `json:"out"`
	// StartedAt are the banned servers' start times as the endpoint list had them at the ban, in milliseconds of Unix
	// time; 0 is long ago. A banned server without one was banned by a version of the program that did not note it.
	StartedAt map[string]int64 `json:"starts,omitempty"`
	// LameDuck is set while clients are asked to leave the node.
	LameDuck bool `json:"lame"`
}

// clone returns a copy that shares nothing.
func (o operatorState) clone() operatorState {
	o.BannedSince = maps.Clone(o.BannedSince)
	o.StartedAt = maps.Clone(o.StartedAt)
	return o
}

// bans returns the banned servers as a core takes them over.
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

// startMilliseconds returns a start time in milliseconds of Unix time; the zero time is 0.
func startMilliseconds(started time.Time) int64 {
	if started.IsZero() {
		return 0
	}
	return started.UnixMilli()
}
