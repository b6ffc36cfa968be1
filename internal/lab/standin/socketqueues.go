package standin

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// The fields of a line of /proc/PID/net/tcp.
const (
	tcpQueuesField = 4
	tcpInodeField  = 9
)

// ReadSocketQueues returns how many bytes the kernel holds in the queues of a process's TCP sockets: what was received
// and not read, and what was written and not acknowledged. It is zero for a process that has ended.
func ReadSocketQueues(pid int) int64 {
	owned := socketInodes(pid)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0
	}
	total := int64(0)
	for line := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) <= tcpInodeField || !owned[fields[tcpInodeField]] {
			continue
		}
		total += queuedBytes(fields[tcpQueuesField])
	}
	return total
}

// queuedBytes adds the lengths of a socket's two queues, given as "transmit:receive" in hexadecimal digits.
func queuedBytes(queues string) int64 {
	transmit, receive, _ := strings.Cut(queues, ":")
	sent, _ := strconv.ParseInt(transmit, 16, 64)
	received, _ := strconv.ParseInt(receive, 16, 64)
	return sent + received
}

// socketInodes returns the inodes of a process's sockets.
func socketInodes(pid int) map[string]bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil
	}
	inodes := map[string]bool{}
	for _, entry := range entries {
		name, err := os.Readlink(folder + "/" + entry.Name())
		if err != nil {
			continue
		}
		if inode, isSocket := strings.CutPrefix(name, "socket:["); isSocket {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}
