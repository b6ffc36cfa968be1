package fanout

import "strconv"

// Phases of a member that this package handles differently from the other phases.
const (
	phaseReady = "ready"
	phaseGone  = "gone" // the member is removed from the list
)

// Member is a server in a list, in the form of the discovery protocol.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// message is a snapshot, which has all members, or a delta, which has the changed members.
type message struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // true: a snapshot
	Members  []Member `json:"members"`
}

// chunkTrailer ends a chunk of a chunked HTTP body. It follows the line in the chunk.
const chunkTrailer = "\r\n"

// heartbeat is a chunk with an empty line, which shows a watcher that the controller is alive.
var heartbeat = newChunk(nil)

// newChunk encodes a line, and a line break after it, as a chunk of a chunked HTTP body.
func newChunk(line []byte) []byte {
	chunk := strconv.AppendInt(nil, int64(len(line)+1), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, line...)
	chunk = append(chunk, '\n')
	return append(chunk, chunkTrailer...)
}

// lineOf returns the line in a chunk, with its line break.
func lineOf(chunk []byte) []byte {
	for i, b := range chunk {
		if b == '\n' { // the end of the chunk's size
			return chunk[i+1 : len(chunk)-len(chunkTrailer)]
		}
	}
	return nil
}
