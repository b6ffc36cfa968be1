// Package handover carries what a process hands to its successor on the same machine: what it knows, its callers'
// connections, and what operators tell either of them while both are there. It knows a Unix socket and the form of what
// goes over it, nothing of what it means.
package handover

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"robincart/internal/system/socket"
)

const (
	messageMost = 16 << 20
	sendTime    = time.Second
)

// Kinds of messages. Each is a byte for its kind, four for its length, four for a checksum (CRC-32C), and JSON.
const (
	kindState = 'S' // old to new, the first
	kindTakes = 'T' // new to old: it takes callers
	kindIDs   = 'I' // old to new: requests that nobody may send again
	kindConn  = 'C' // old to new, with a descriptor
	kindWord  = 'W' // either way: what an operator said
	kindKept  = 'K' // in a file
)

const headSize = 9

var table = crc32.MakeTable(crc32.Castagnoli)

// encode is a message as it goes out.
func encode(kind byte, what any) ([]byte, error) {
	text, err := json.Marshal(what)
	if err != nil {
		return nil, err
	}
	msg := append(make([]byte, headSize, headSize+len(text)), text...)
	msg[0] = kind
	binary.BigEndian.PutUint32(msg[1:], uint32(len(text)))
	binary.BigEndian.PutUint32(msg[5:], crc32.Checksum(text, table))
	return msg, nil
}

// size is what follows a message's head.
func size(head []byte) (int, error) {
	n := binary.BigEndian.Uint32(head[1:])
	if n > messageMost {
		return 0, fmt.Errorf("handover: a message of %d bytes", n)
	}
	return int(n), nil
}

// sound tells whether a message came as it was sent.
func sound(head, text []byte) error {
	if binary.BigEndian.Uint32(head[5:]) != crc32.Checksum(text, table) {
		return errors.New("handover: a message that is torn, or of another form")
	}
	return nil
}

// Command is one call of an operator.
type Command struct {
	Path   string `json:"Call"`
	Server string `json:"Server,omitempty"`
}

// Peer is what an end does with what comes. The methods are called one at a time.
type Peer interface {
	SuccessorReady()                   // the successor takes callers
	RequestIDs(all []byte)             // of requests that began before
	Connection(c net.Conn, asked bool) // a caller's connection
	Command(Command)                   // an operator's
	Disconnected(err error)            // the other end has gone
}

// SocketPath is where a process of a name listens for its successor. Names may be of any length and form, and the kernel takes
// 107 bytes.
func SocketPath(dir, name string) string {
	sum := sha256.Sum256([]byte(name))
	return filepath.Join(dir, fmt.Sprintf("robincart-%x.sock", sum[:8]))
}

// short is a path that the kernel takes, and what to close after its use.
func short(path string) (string, func(), error) {
	if len(path) < 100 {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// Listen takes a path over, also from a process that listens there now: that one keeps the successors it has.
func Listen(path string) (*net.UnixListener, error) {
	at, done, err := short(path)
	if err != nil {
		return nil, err
	}
	defer done()
	own := fmt.Sprintf("%s.%d", at, os.Getpid())
	os.Remove(own)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be a successor's
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, at)); err != nil {
		ln.Close()
		os.Remove(own)
		return nil, err
	}
	return ln, nil
}

// Dial reaches the process that listens at a path.
func Dial(path string, within time.Duration) (*Link, error) {
	at, done, err := short(path)
	if err != nil {
		return nil, err
	}
	defer done()
	c, err := net.DialTimeout("unix", at, within)
	if err != nil {
		return nil, err
	}
	return NewLink(c.(*net.UnixConn)), nil
}

// Link is one end of a handover.
type Link struct {
	c  *net.UnixConn
	mu sync.Mutex // of writes
}

// NewLink makes one of a connection.
func NewLink(c *net.UnixConn) *Link { return &Link{c: c} }

// Close ends it.
func (l *Link) Close() error { return l.c.Close() }

// SendState sends what a process knows.
func (l *Link) SendState(state any) error { return l.send(kindState, state, nil) }

// SendReady tells that this process takes callers.
func (l *Link) SendReady() error { return l.send(kindTakes, struct{}{}, nil) }

// SendRequestIDs sends those of requests that began here.
func (l *Link) SendRequestIDs(all []byte) error { return l.send(kindIDs, all, nil) }

// SendCommand passes on what an operator said.
func (l *Link) SendCommand(w Command) error { return l.send(kindWord, w, nil) }

// SendConnection sends a caller's connection over; asked tells whether it has brought a request. This process has to close its own
// copy.
func (l *Link) SendConnection(c net.Conn, asked bool) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T is no socket", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	// The descriptor must not be closed and become another's while it is sent.
	if err := raw.Control(func(fd uintptr) { sent = l.send(kindConn, asked, syscall.UnixRights(int(fd))) }); err != nil {
		return err
	}
	return sent
}

func (l *Link) send(kind byte, what any, rights []byte) error {
	msg, err := encode(kind, what)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.SetWriteDeadline(time.Now().Add(sendTime)) // a successor that reads nothing must not hold up callers
	n, _, err := l.c.WriteMsgUnix(msg, rights, nil)
	if err == nil && n < len(msg) {
		_, err = l.c.Write(msg[n:])
	}
	if err != nil {
		l.c.Close() // the other end could not tell where the next message begins
	}
	return err
}

// ReceiveState reads the state, the first that comes.
func (l *Link) ReceiveState(state any, within time.Duration) error {
	l.c.SetReadDeadline(time.Now().Add(within))
	defer l.c.SetReadDeadline(time.Time{})
	kind, text, fd, err := l.read()
	if fd >= 0 {
		syscall.Close(fd)
	}
	if err != nil {
		return err
	}
	if kind != kindState {
		return fmt.Errorf("handover: a message of kind %q instead of the state", kind)
	}
	return json.Unmarshal(text, state)
}

// Serve hands what comes to a peer until the other end goes.
func (l *Link) Serve(p Peer) {
	for {
		kind, text, fd, err := l.read()
		if err == nil {
			err = l.take(p, kind, text, &fd)
		}
		if fd >= 0 {
			syscall.Close(fd)
		}
		if err != nil {
			l.c.Close()
			p.Disconnected(err)
			return
		}
	}
}

func (l *Link) take(p Peer, kind byte, text []byte, fd *int) error {
	switch kind {
	case kindTakes:
		p.SuccessorReady()
	case kindIDs:
		var all []byte
		if err := json.Unmarshal(text, &all); err != nil {
			return err
		}
		p.RequestIDs(all)
	case kindWord:
		var w Command
		if err := json.Unmarshal(text, &w); err != nil {
			return err
		}
		p.Command(w)
	case kindConn:
		var asked bool
		if err := json.Unmarshal(text, &asked); err != nil || *fd < 0 {
			return errors.Join(errors.New("handover: a connection without its descriptor"), err)
		}
		f := os.NewFile(uintptr(*fd), "caller")
		*fd = -1
		c, err := socket.FromFile(f)
		if err != nil {
			return nil // it ended on the way
		}
		p.Connection(c, asked)
	default:
		return fmt.Errorf("handover: a message of kind %q", kind)
	}
	return nil
}

// read reads one message, with the descriptor that came with it or -1.
func (l *Link) read() (kind byte, text []byte, fd int, err error) {
	fd = -1
	var head [headSize]byte
	oob := make([]byte, syscall.CmsgSpace(4))
	for n := 0; n < len(head); {
		k, o, _, _, err := l.c.ReadMsgUnix(head[n:], oob)
		if k == 0 && err == nil {
			err = io.EOF
		}
		if o > 0 {
			if fd, err = rights(oob[:o], fd, err); err != nil {
				return 0, nil, fd, err
			}
		}
		if err != nil {
			return 0, nil, fd, err
		}
		n += k
	}
	n, err := size(head[:])
	if err != nil {
		return 0, nil, fd, err
	}
	text = make([]byte, n)
	if _, err = io.ReadFull(l.c, text); err == nil {
		err = sound(head[:], text)
	}
	return head[0], text, fd, err
}

func rights(oob []byte, had int, err error) (int, error) {
	all, bad := syscall.ParseSocketControlMessage(oob)
	if bad != nil {
		return had, errors.Join(err, bad)
	}
	for _, m := range all {
		fds, bad := syscall.ParseUnixRights(&m)
		if bad != nil {
			return had, errors.Join(err, bad)
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			if had >= 0 {
				syscall.Close(had)
			}
			had = fd
		}
	}
	return had, err
}
