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
	// maxSocketPath is the maximum length, in bytes, of a path that is bound or dialed without shortening. The kernel
	// accepts 107 bytes, and Listen appends the process ID.
	maxSocketPath = 99
	// socketMode denies other users access: a process that connects receives the state of this process.
	socketMode = 0o600
)

// SocketPath returns the path at which the process with the given name listens for its successor. The path has a hash
// in place of the name, so that a name may have any length and characters.
func SocketPath(dir, name string) string {
	sum := sha256.Sum256([]byte(name))
	return filepath.Join(dir, fmt.Sprintf("robincart-%x.sock", sum[:8]))
}

// shortPath returns a path to the same file that is short enough for a socket's address. The returned function must be
// called after the last use of the path.
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

// Listen listens at a path. It replaces the socket of a process that listens at the path already. Links that the other
// process has accepted stay open.
func Listen(path string) (*net.UnixListener, error) {
	short, release, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	// The socket is bound at a temporary path and then renamed, so that there is always a listener at the path.
	prepared := fmt.Sprintf("%s.%d", short, os.Getpid())
	os.Remove(prepared)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: prepared, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // at Close the path may already be a successor's
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
