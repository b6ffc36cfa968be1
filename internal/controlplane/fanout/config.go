package fanout

import "time"

// Config bounds a List.
type Config struct {
	History           int           // deltas kept for watchers that reconnect
	HeartbeatInterval time.Duration // between empty lines to a watcher
	WriteTimeout      time.Duration // of one write to a watcher
	MaxWatchers       int           // connections at once
	BatchDelay        time.Duration // how long servers that become ready wait for others; 0: they are published at once
	// EpochOf returns the epoch of a revision. A node that has a revision of a later epoch than the list's is sent
	// nothing. nil: there are no epochs.
	EpochOf func(revision int64) int64
}

// DefaultConfig returns a configuration under which nodes notice a dead controller within the time that they allow.
func DefaultConfig() Config {
	return Config{
		History:           4096,
		HeartbeatInterval: 2 * time.Second,
		WriteTimeout:      2 * time.Second,
		MaxWatchers:       10_000,
		BatchDelay:        20 * time.Millisecond,
	}
}
