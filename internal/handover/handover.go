// Package handover transfers state, client connections and operator commands between two processes of one node: the
// successor replaces the predecessor. The package also saves the state that has to outlive both processes.
//
// Two processes are joined by a Link, a Unix socket at SocketPath in the node's own directory:
//
//	predecessor                                successor
//	Listen, accept                             Dial
//	SendState                          ->      ReceiveState
//	Peer.SuccessorReady                <-      SendReady, once the successor accepts clients
//	SendRequestIDs, SendConnection...  ->      Peer.RequestIDs, Peer.Connection
//	SendCommand                        <->     SendCommand, at any time
//
// A message is a byte for its kind, four bytes for the length of its payload, four bytes for the payload's checksum
// (CRC-32C), and the payload as JSON. The file descriptor of a connection is sent with its message as ancillary data.
// Save and Load use the same form for a file.
//
// The package owns the form of the messages and the socket. It does not interpret the state. Its callers decide when
// to hand over, and what to do about a process that dies.
package handover

import "net"

// Command is one call of an operator to the admin address.
type Command struct {
	Path   string `json:"Call"`
	Server string `json:"Server,omitempty"`
}

// Peer handles the messages that a Link receives. The methods are called one at a time, from Link.Serve.
type Peer interface {
	// SuccessorReady is called when the successor accepts clients.
	SuccessorReady()
	// RequestIDs receives the IDs of requests that began at the predecessor.
	RequestIDs(encoded []byte)
	// Connection receives a client's connection. hadRequest tells whether a request has arrived on the connection
	// before.
	Connection(conn net.Conn, hadRequest bool)
	// Command receives a command that an operator sent to the other process.
	Command(command Command)
	// Disconnected is called with the reason after the link has ended. No other method is called afterwards.
	Disconnected(err error)
}
