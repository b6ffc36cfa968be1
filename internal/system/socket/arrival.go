package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastData returns how long ago the last bytes of a TCP connection arrived at this machine, also if they were
// received before the connection was accepted. The kernel's clock for this ticks every few milliseconds. For any other
// connection, and if the kernel can't say, SinceLastData returns 0.
func SinceLastData(raw syscall.RawConn) time.Duration {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
