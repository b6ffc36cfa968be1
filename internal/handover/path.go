package handover

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxSocketPath is the longest path that is bound or dialed as it is. The kernel accepts 107 bytes, and Listen
	// appends the process's number.
	maxSocketPath = 99
	// socketMode keeps other users away: whoever connects is given all that this process knows.
	socketMode = 0o600
)

// SocketPath returns where the process with a name listens for its successor. It does not depend on the name's
// length or characters.
func SocketPath(dir, name string) string {
	sum := sha256.Sum256([]byte(name))
	return filepath.Join(dir, fmt.Sprintf("robincart-%x.sock", sum[:8]))
}

// shortPath returns a path to the same file that the kernel accepts as a socket's address, and a function to be
// called after its use.
func shortPath(path string) (string, func(), error) {
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	short := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return short, func() { dir.Close() }, nil
}

// Listen listens at a path, in place of a process that listens there now. Links that the other process has accepted
// stay.
func Listen(path string) (*net.UnixListener, error) {
	short, release, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	// The socket is bound under a name of its own and then renamed, so that at no time nobody listens at the path.
	prepared := fmt.Sprintf("%s.%d", short, os.Getpid())
	os.Remove(prepared)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: prepared, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the path may be a successor's
	if err := errors.Join(os.Chmod(prepared, socketMode), os.Rename(prepared, short)); err != nil {
		listener.Close()
		os.Remove(prepared)
		return nil, err
	}
	return listener, nil
}

// Dial connects to the process that listens at a path.
func Dial(path string, timeout time.Duration) (*Link, error) {
	short, release, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialTimeout("unix", short, timeout)
	if err != nil {
		return nil, err
	}
	return NewLink(conn.(*net.UnixConn)), nil
}
