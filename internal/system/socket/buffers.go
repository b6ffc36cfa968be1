package socket

import (
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// kernelDoubling is by how much the kernel multiplies the size of a buffer that a program asks for.
const kernelDoubling = 2

// SetBuffers bounds what the kernel holds for a socket, in bytes for each direction. Without a bound the kernel lets
// the buffers of each connection grow to several megabytes, which count as the process's memory. For a listener the
// bound holds for the connections accepted from then on. An error changes nothing and is ignored.
func SetBuffers(raw syscall.RawConn, bytes int) {
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/kernelDoubling)
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes/kernelDoubling)
	})
}

// SetSendBuffer bounds what the kernel holds of what is written to a connection, in bytes.
func SetSendBuffer(raw syscall.RawConn, bytes int) {
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes/kernelDoubling)
	})
}

// SetReceiveBuffer bounds what the kernel holds of what is received over a connection, in bytes. It must not fall: the
// peer may use all the space that was announced to it.
func SetReceiveBuffer(raw syscall.RawConn, bytes int) {
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/kernelDoubling)
	})
}

// AcknowledgeNow has the kernel acknowledge at once what was received, and announce how much space there is for more.
// It may otherwise do so some 40 ms later.
func AcknowledgeNow(raw syscall.RawConn) {
	raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_QUICKACK, 1) })
}

// The positions of values that the kernel returns for SO_MEMINFO.
const (
	memoryReceived = 0 // bytes in use for what was received
	receiveLimit   = 1
	memoryValues   = 9
)

// ReceiveBufferFull reports whether more than half of a connection's receive buffer is in use, or of the window that
// grows with it, so that its peer may have to hold bytes back. It returns false if the kernel can't say.
func ReceiveBufferFull(raw syscall.RawConn) bool {
	full := false
	raw.Control(func(fd uintptr) { full = memoryHalfUsed(fd) || windowHalfUsed(fd) })
	return full
}

// memoryHalfUsed reports whether more than half of the memory of a receive buffer is in use.
func memoryHalfUsed(fd uintptr) bool {
	var values [memoryValues]uint32
	size := uint32(unsafe.Sizeof(values))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&values)), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0 && values[memoryReceived] > values[receiveLimit]/2
}

// windowHalfUsed reports whether more than half of the largest window that the kernel announces now is unread, or has
// not been announced again since it was read.
func windowHalfUsed(fd uintptr) bool {
	unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	if err != nil {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	half := info.Rcv_ssthresh / 2
	knowsWindows := info.Snd_wnd > 0 // older kernels tell neither
	return uint32(unread) > half || knowsWindows && info.Rcv_wnd <= half
}

// HasUnsent reports whether the kernel holds bytes that were written to a connection and not acknowledged by its peer.
func HasUnsent(raw syscall.RawConn) bool {
	queued := 0
	var queuedErr error
	err := raw.Control(func(fd uintptr) { queued, queuedErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && queuedErr == nil && queued > 0
}

// WriteBounded writes all of some buffers, in pieces of at most the given size, and each only while the kernel has
// space for it. A single large write would exceed the bound of the connection's buffer. It consumes the buffers.
func WriteBounded(raw syscall.RawConn, buffers *net.Buffers, piece int) error {
	for len(*buffers) > 0 {
		next := (*buffers)[0]
		for len(next) > 0 {
			n, err := writePiece(raw, next[:min(len(next), piece)])
			next = next[n:]
			if err != nil {
				(*buffers)[0] = next
				return err
			}
		}
		*buffers = (*buffers)[1:]
	}
	return nil
}

// writePiece writes once, when the kernel has space, and repeats that through a shortage of memory.
func writePiece(raw syscall.RawConn, piece []byte) (int, error) {
	n := 0
	err := RetryShortage(func() error {
		var writeErr error
		err := raw.Write(func(fd uintptr) bool {
			if !hasSpace(fd) {
				return false
			}
			n, writeErr = retryInterrupted(func() (int, error) { return syscall.Write(int(fd), piece) })
			return writeErr != syscall.EAGAIN
		})
		n = max(n, 0)
		if err != nil {
			return err
		}
		return writeErr
	})
	return n, err
}

// hasSpace reports whether the kernel takes more bytes to send. A failure of poll(2) is left to the write.
func hasSpace(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
	n, err := retryInterrupted(func() (int, error) { return unix.Poll(polled, 0) })
	return err != nil || n > 0
}
