package fanout

import "time"

// Config configures a List.
type Config struct {
	History           int           // number of deltas kept for watchers that reconnect
	HeartbeatInterval time.Duration // between empty lines to a watcher
	WriteTimeout      time.Duration // for one write to a watcher
	MaxWatchers       int           // connections at once
	BatchDelay        time.Duration // collects servers that become ready into one delta; 0: each change is sent at once
	// EpochOf returns the epoch of a revision. A node whose revision is of a later epoch than the list's is sent
	// nothing. nil: revisions have no epochs.
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
