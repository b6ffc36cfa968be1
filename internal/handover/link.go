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

// sendTimeout bounds the sending of one message: a process that reads nothing must not hold up clients.
const sendTimeout = time.Second

// Link is one end of a handover. Its Send methods may be called by several goroutines at once.
type Link struct {
	conn    *net.UnixConn
	writing sync.Mutex // held while one message is written
}

// NewLink returns a link over a connection, which it owns from then on.
func NewLink(conn *net.UnixConn) *Link { return &Link{conn: conn} }

// Close ends the link, and Serve with it.
func (l *Link) Close() error { return l.conn.Close() }

// SendState sends what the process knows. It has to be the first message.
func (l *Link) SendState(state any) error { return l.send(kindState, state, nil) }

// SendReady announces that this process accepts clients.
func (l *Link) SendReady() error { return l.send(kindReady, struct{}{}, nil) }

// SendRequestIDs sends the IDs of requests that began here.
func (l *Link) SendRequestIDs(encoded []byte) error { return l.send(kindRequestIDs, encoded, nil) }

// SendCommand passes on a command of an operator.
func (l *Link) SendCommand(command Command) error { return l.send(kindCommand, command, nil) }

// SendConnection sends a client's connection, and whether a request has arrived on it before. The caller has to close
// its own copy.
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
	// Within Control the descriptor can't be closed, and become another file's, while it is sent.
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

// ReceiveState reads the state, which is the first message.
func (l *Link) ReceiveState(state any, timeout time.Duration) error {
	l.conn.SetReadDeadline(time.Now().Add(timeout))
	defer l.conn.SetReadDeadline(time.Time{})
	received, err := l.receive()
	received.closeDescriptor()
	if err != nil {
		return err
	}
	if received.kind != kindState {
		return &ProtocolError{Kind: byte(received.kind), Reason: "it came in place of the state"}
	}
	return json.Unmarshal(received.payload, state)
}

// Serve hands what is received to a peer until the link ends.
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

// receive reads one message. Its descriptor has to be closed, also after an error.
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

// receiveHeader reads a message's header, and the descriptor that comes with it.
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
	// noDescriptor is a message's descriptor where it has none.
	noDescriptor = -1
	// descriptorSize is a descriptor's size in ancillary data.
	descriptorSize = 4
)

// message is one message as it was received.
type message struct {
	kind       messageKind
	payload    []byte
	descriptor int // this process's own; noDescriptor if none came, or it has been taken
}

// takeDescriptors takes the last of the descriptors in ancillary data, and closes all others.
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

// closeDescriptor closes the descriptor that came with the message, unless it has been taken.
func (m *message) closeDescriptor() {
	if m.descriptor == noDescriptor {
		return
	}
	syscall.Close(m.descriptor)
	m.descriptor = noDescriptor
}

// dispatch hands the message to a peer. It returns an error for one that a peer may not send.
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
		return &ProtocolError{Kind: byte(m.kind), Reason: "unknown kind"}
	}
	return nil
}

func (m *message) dispatchConnection(peer Peer) error {
	var hadRequest bool
	if err := json.Unmarshal(m.payload, &hadRequest); err != nil {
		return &ProtocolError{Kind: byte(m.kind), Reason: "malformed", Cause: err}
	}
	if m.descriptor == noDescriptor {
		return &ProtocolError{Kind: byte(m.kind), Reason: "a connection without its file descriptor"}
	}
	file := os.NewFile(uintptr(m.descriptor), "client connection")
	m.descriptor = noDescriptor
	conn, err := socket.FromFile(file)
	if err != nil {
		return nil // the client has ended it on the way
	}
	peer.Connection(conn, hadRequest)
	return nil
}
