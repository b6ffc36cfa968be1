package handover

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"robincart/internal/system/socket"
)

// sendTimeout limits the time to send one message: a process that does not read must not delay clients.
const sendTimeout = time.Second

// Link is one end of a handover. Its Send methods may be called by several goroutines at once.
type Link struct {
	conn    *net.UnixConn
	writing sync.Mutex // held while one message is written
}

// NewLink returns a link over a connection. The link owns the connection from then on.
func NewLink(conn *net.UnixConn) *Link { return &Link{conn: conn} }

// Close closes the link. A running Serve returns.
func (l *Link) Close() error { return l.conn.Close() }

// SendState sends the state of this process. The state has to be the first message.
func (l *Link) SendState(state any) error { return l.send(kindState, state, nil) }

// SendReady announces that this process accepts clients.
func (l *Link) SendReady() error { return l.send(kindReady, struct{}{}, nil) }

// SendRequestIDs sends the IDs of requests that began at this process.
func (l *Link) SendRequestIDs(encoded []byte) error { return l.send(kindRequestIDs, encoded, nil) }

// SendCommand passes an operator's command on to the other process.
func (l *Link) SendCommand(command Command) error { return l.send(kindCommand, command, nil) }

// SendConnection sends a client's connection. hadRequest tells whether a request has arrived on the connection before.
// The caller has to close its own copy of the connection.
func (l *Link) SendConnection(conn net.Conn, hadRequest bool) error {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return fmt.Errorf("handover: %T has no file descriptor", conn)
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	// Control keeps the descriptor open while it is sent: the number of a closed descriptor may be reused for another
	// file.
	err = raw.Control(func(descriptor uintptr) {
		sendErr = l.send(kindConnection, hadRequest, syscall.UnixRights(int(descriptor)))
	})
	if err != nil {
		return err
	}
	return sendErr
}

// send writes one message. After a failure the link is closed: the other end could not tell where the next message
// begins.
func (l *Link) send(kind messageKind, payload any, rights []byte) error {
	encoded, err := encode(kind, payload)
	if err != nil {
		return err
	}
	l.writing.Lock()
	defer l.writing.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	written, _, err := l.conn.WriteMsgUnix(encoded, rights, nil)
	if err == nil && written < len(encoded) {
		_, err = l.conn.Write(encoded[written:])
	}
	if err != nil {
		l.conn.Close()
	}
	return err
}

// ReceiveState reads the state, which has to be the first message.
func (l *Link) ReceiveState(state any, timeout time.Duration) error {
	l.conn.SetReadDeadline(time.Now().Add(timeout))
	defer l.conn.SetReadDeadline(time.Time{})
	received, err := l.receive()
	received.closeDescriptor()
	if err != nil {
		return err
	}
	if received.kind != kindState {
		return &ProtocolError{Kind: byte(received.kind), Reason: "expected the state as the first message"}
	}
	return json.Unmarshal(received.payload, state)
}

// Serve passes received messages to a peer until the link ends.
func (l *Link) Serve(peer Peer) {
	for {
		received, err := l.receive()
		if err == nil {
			err = received.dispatch(peer)
		}
		received.closeDescriptor()
		if err != nil {
			l.conn.Close()
			peer.Disconnected(err)
			return
		}
	}
}

// receive reads one message. The caller has to close the descriptor of the message, also after an error.
func (l *Link) receive() (message, error) {
	received := message{descriptor: noDescriptor}
	head, err := l.receiveHeader(&received)
	if err != nil {
		return received, err
	}
	received.kind = head.kind()
	size, err := head.payloadSize()
	if err != nil {
		return received, err
	}
	received.payload = make([]byte, size)
	if _, err := io.ReadFull(l.conn, received.payload); err != nil {
		return received, err
	}
	return received, head.verify(received.payload)
}

// receiveHeader reads a message's header and the descriptor that was sent with it.
func (l *Link) receiveHeader(received *message) (header, error) {
	head := make(header, headerSize)
	ancillary := make([]byte, syscall.CmsgSpace(descriptorSize))
	for filled := 0; filled < len(head); {
		n, ancillarySize, _, _, err := l.conn.ReadMsgUnix(head[filled:], ancillary)
		if rightsErr := received.takeDescriptors(ancillary[:ancillarySize]); rightsErr != nil {
			return nil, rightsErr
		}
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return nil, io.EOF
		}
		filled += n
	}
	return head, nil
}

const (
	// noDescriptor is the descriptor field of a message without a descriptor.
	noDescriptor = -1
	// descriptorSize is the size of a descriptor in ancillary data, in bytes.
	descriptorSize = 4
)

// message is one received message.
type message struct {
	kind       messageKind
	payload    []byte
	descriptor int // in this process; noDescriptor if none was sent, or it has been taken
}

// takeDescriptors keeps the last of the descriptors in ancillary data, and closes all others.
func (m *message) takeDescriptors(ancillary []byte) error {
	if len(ancillary) == 0 {
		return nil
	}
	controls, err := syscall.ParseSocketControlMessage(ancillary)
	if err != nil {
		return err
	}
	for _, control := range controls {
		descriptors, err := syscall.ParseUnixRights(&control)
		if err != nil {
			return err
		}
		for _, descriptor := range descriptors {
			syscall.CloseOnExec(descriptor)
			m.closeDescriptor()
			m.descriptor = descriptor
		}
	}
	return nil
}

// closeDescriptor closes the descriptor that was sent with the message, unless it has been taken.
func (m *message) closeDescriptor() {
	if m.descriptor == noDescriptor {
		return
	}
	syscall.Close(m.descriptor)
	m.descriptor = noDescriptor
}

// dispatch passes the message to a peer. It returns an error for an unexpected kind or a malformed payload.
func (m *message) dispatch(peer Peer) error {
	switch m.kind {
	case kindReady:
		peer.SuccessorReady()
	case kindRequestIDs:
		var encoded []byte
		if err := json.Unmarshal(m.payload, &encoded); err != nil {
			return err
		}
		peer.RequestIDs(encoded)
	case kindCommand:
		var command Command
		if err := json.Unmarshal(m.payload, &command); err != nil {
			return err
		}
		peer.Command(command)
	case kindConnection:
		return m.dispatchConnection(peer)
	default:
		return &ProtocolError{Kind: byte(m.kind), Reason: "expected kind T, I, C or W"}
	}
	return nil
}

func (m *message) dispatchConnection(peer Peer) error {
	var hadRequest bool
	if err := json.Unmarshal(m.payload, &hadRequest); err != nil {
		return &ProtocolError{Kind: byte(m.kind), Reason: "malformed payload", Cause: err}
	}
	if m.descriptor == noDescriptor {
		return &ProtocolError{Kind: byte(m.kind), Reason: "expected a file descriptor, found none"}
	}
	file := os.NewFile(uintptr(m.descriptor), "client connection")
	m.descriptor = noDescriptor
	conn, err := socket.FromFile(file)
	if err != nil {
		return nil // the client has closed the connection during the transfer
	}
	peer.Connection(conn, hadRequest)
	return nil
}
