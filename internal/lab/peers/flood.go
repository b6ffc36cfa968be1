package peers

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// FloodKind is what a flooding client sends.
type FloodKind string

// The kinds of floods.
const (
	FloodSound    FloodKind = "sound requests"
	FloodUnsound  FloodKind = "unsound requests"
	FloodUnknown  FloodKind = "requests of an unknown class"
	FloodNewNames FloodKind = "requests under ever new names"
	FloodKnownID  FloodKind = "requests with one id"
)

// FloodKinds are all kinds of floods.
var FloodKinds = []FloodKind{FloodSound, FloodUnsound, FloodUnknown, FloodNewNames, FloodKnownID}

const (
	// floodBatch is how many requests a flooding client writes at once.
	floodBatch = 50
	// floodWriteTimeout bounds the write of a batch.
	floodWriteTimeout = time.Second
)

// Flood sends requests on one connection at full speed until the channel is closed. Where the node closes the
// connection it opens another. It reads what it is sent, and returns how many requests it has written.
func Flood(kind FloodKind, request Request, stop <-chan struct{}) int64 {
	written := int64(0)
	for number := int64(0); !closed(stop); {
		conn, err := net.DialTimeout("tcp", request.Addr, dialTimeout)
		if err != nil {
			continue
		}
		go io.Copy(io.Discard, conn)
		for !closed(stop) {
			var batch strings.Builder
			for range floodBatch {
				number++
				batch.WriteString(floodRequest(kind, request, number))
			}
			conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
			if _, err := io.WriteString(conn, batch.String()); err != nil {
				break
			}
			written += floodBatch
		}
		conn.Close()
	}
	return written
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// floodID is the ID of all requests of FloodKnownID.
var floodID atomic.Pointer[string]

func floodRequest(kind FloodKind, request Request, number int64) string {
	request.ID = ""
	switch kind {
	case FloodUnsound:
		return strings.Replace(request.Head(), "X-Expires-In-Ms: ", "X-Expires-In-Ms: x", 1)
	case FloodUnknown:
		request.Method = "unknown"
	case FloodNewNames:
		request.Method = fmt.Sprintf("class-%d", number)
		request.Tenant = fmt.Sprintf("tenant-%d", number)
	case FloodKnownID:
		id := NextID()
		floodID.CompareAndSwap(nil, &id)
		request.ID = *floodID.Load()
	}
	return request.Head()
}

// PipelineAndLeave writes requests at once on one connection, and resets or closes it with their responses unread. It
// returns their IDs and when it has left.
func PipelineAndLeave(
	request Request, requests int, stay time.Duration, withReset bool,
) (ids []string, left time.Time) {
	conn, err := net.DialTimeout("tcp", request.Addr, dialTimeout)
	if err != nil {
		return nil, time.Now()
	}
	var text strings.Builder
	for range requests {
		request.ID = ""
		text.WriteString(request.Head())
		ids = append(ids, request.ID)
	}
	io.WriteString(conn, text.String())
	time.Sleep(stay)
	left = time.Now()
	if withReset {
		reset(conn)
	} else {
		conn.Close()
	}
	return ids, left
}
