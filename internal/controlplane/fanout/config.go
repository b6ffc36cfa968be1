package fanout

import "time"

// Config configures a List.
type Config struct {
	History           int           // number of deltas kept for watchers that reconnect
	HeartbeatInterval time.Duration // time between heartbeats (empty lines) to a watcher
	WriteTimeout      time.Duration // time limit for one write to a watcher
	MaxWatchers       int           // largest number of connections at once
	BatchDelay        time.Duration // servers that become ready within this time share one delta; 0: no sharing
	// EpochOf returns the epoch of a revision. If a node's revision belongs to a later epoch than the list's revision,
	// the node is sent nothing. nil: revisions have no epochs.
	EpochOf func(revision int64) int64
}

// DefaultConfig returns the default configuration. Its heartbeats are frequent enough for nodes to detect a dead
// controller in time.
func DefaultConfig() Config {
	return Config{
		History:           4096,
		HeartbeatInterval: 2 * time.Second,
		WriteTimeout:      2 * time.Second,
		MaxWatchers:       10_000,
		BatchDelay:        20 * time.Millisecond,
	}
}
