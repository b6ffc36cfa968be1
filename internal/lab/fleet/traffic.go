package fleet

import "sync/atomic"

const (
	// headerBytes are those of IPv4 and of TCP with time stamps, on each segment and on each acknowledgement.
	headerBytes = 52
	// handshakeSegments begin and end a connection.
	handshakeSegments = 7
)

// Traffic counts what one end sends and receives. A read or a write counts as one segment; each is acknowledged by
// another, without data.
type Traffic struct {
	out, in       atomic.Int64 // payload bytes
	writes, reads atomic.Int64
	dials, failed atomic.Int64
	open          atomic.Int64
}

// Volume returns what has been counted.
func (t *Traffic) Volume() Volume {
	return Volume{
		Out:    t.out.Load(),
		In:     t.in.Load(),
		Writes: t.writes.Load(),
		Reads:  t.reads.Load(),
		Dials:  t.dials.Load(),
		Failed: t.failed.Load(),
		Open:   t.open.Load(),
	}
}

// Volume is Traffic at one moment, or between two.
type Volume struct{ Out, In, Writes, Reads, Dials, Failed, Open int64 }

// Add returns the sum of two volumes.
func (v Volume) Add(other Volume) Volume {
	return Volume{
		Out:    v.Out + other.Out,
		In:     v.In + other.In,
		Writes: v.Writes + other.Writes,
		Reads:  v.Reads + other.Reads,
		Dials:  v.Dials + other.Dials,
		Failed: v.Failed + other.Failed,
		Open:   v.Open + other.Open,
	}
}

// Since returns what was counted since an earlier moment. What is open is as it is now.
func (v Volume) Since(earlier Volume) Volume {
	return Volume{
		Out:    v.Out - earlier.Out,
		In:     v.In - earlier.In,
		Writes: v.Writes - earlier.Writes,
		Reads:  v.Reads - earlier.Reads,
		Dials:  v.Dials - earlier.Dials,
		Failed: v.Failed - earlier.Failed,
		Open:   v.Open,
	}
}

// Payload returns the bytes of both ways.
func (v Volume) Payload() int64 { return v.Out + v.In }

// Messages returns the reads and writes.
func (v Volume) Messages() int64 { return v.Writes + v.Reads }

// Wire returns the bytes of both ways with headers estimated: those of each segment and of its acknowledgement, and of
// each connection's begin and end.
func (v Volume) Wire() int64 {
	return v.Payload() + headerBytes*(2*v.Messages()+handshakeSegments*v.Dials)
}
