// Package handover carries state, client connections and operator commands between two processes of one node, of
// which the successor replaces the predecessor, and saves the state that has to outlive both.
//
// Two processes are joined by a Link, a Unix socket at SocketPath in the node's own directory:
//
//	predecessor                                successor
//	Listen, accept                             Dial
//	SendState                          ->      ReceiveState
//	Peer.SuccessorReady                <-      SendReady, once it accepts clients
//	SendRequestIDs, SendConnection...  ->      Peer.RequestIDs, Peer.Connection
//	SendCommand                        <->     SendCommand, at any time
//
// Each message is a byte for its kind, four for its length, four for a checksum (CRC-32C), and JSON; a connection's
// file descriptor goes with it as ancillary data. Save and Load use the same form for a file.
//
// The package owns the form of the messages and the socket. It does not know what the state means, when to hand
// over, or what to do about a process that dies: its callers decide that.
package handover

import "net"

// Command is one call of an operator on the admin address.
type Command struct {
	Path   string `json:"Call"`
	Server string `json:"Server,omitempty"`
}

// Peer handles what a Link receives. The methods are called one at a time, from Link.Serve.
type Peer interface {
	// SuccessorReady is called when the successor accepts clients.
	SuccessorReady()
	// RequestIDs hands over the IDs of requests that began at the predecessor.
	RequestIDs(encoded []byte)
	// Connection hands over a client's connection, and whether a request has arrived on it before.
	Connection(conn net.Conn, hadRequest bool)
	// Command hands over what an operator commanded the other process.
	Command(command Command)
	// Disconnected is called when the link has ended, with the reason. It is the last call.
	Disconnected(err error)
}
