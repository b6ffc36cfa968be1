package standin

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// SocketMemory is what the kernel holds for the TCP connections of a node, in bytes by true size: with the headers of
// each segment, however short it is.
type SocketMemory struct {
	Received int64 // received and not read, without Waiting
	Waiting  int64 // received on connections that wait to be accepted: no process has a descriptor for them
	Sent     int64 // written and not acknowledged
}

// Total is all of it.
func (m SocketMemory) Total() int64 { return m.Received + m.Waiting + m.Sent }

// The parts of a message of the kernel's socket diagnosis (linux/inet_diag.h).
const (
	diagRequestSize  = 56
	diagResponseSize = 72
	diagSourcePort   = 4
	diagInode        = 68
	diagSkmeminfo    = 7
	allStates        = 0xfff
	diagBufferSize   = 1 << 16
)

// The numbers of a socket's memory (linux/sock_diag.h).
const (
	memoryReceived    = 0
	memorySent        = 5
	memoryOptions     = 6
	memoryBacklog     = 7
	memoryNumberCount = 8
)

// ReadSocketMemory returns what the kernel holds for the connections of a node: those at its address, accepted or not,
// and those that its process has made.
func ReadSocketMemory(pid int, addr string) (SocketMemory, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return SocketMemory{}, err
	}
	owned := socketInodes(pid)
	total := SocketMemory{}
	err = diagnoseSockets(func(message []byte) {
		port := binary.BigEndian.Uint16(message[diagSourcePort:])
		inode := binary.NativeEndian.Uint32(message[diagInode:])
		numbers := memoryNumbers(message[diagResponseSize:])
		if numbers == nil {
			return
		}
		received := int64(numbers[memoryReceived]) + int64(numbers[memoryBacklog])
		sent := int64(numbers[memorySent]) + int64(numbers[memoryOptions])
		switch {
		case owned[strconv.FormatUint(uint64(inode), 10)]:
			total.Received += received
			total.Sent += sent
		case port == address.Port() && inode == 0:
			total.Waiting += received + sent
		}
	})
	return total, err
}

// diagnoseSockets calls a function with what the kernel tells of each TCP socket.
func diagnoseSockets(each func(message []byte)) error {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer unix.Close(fd)
	request := make([]byte, unix.SizeofNlMsghdr+diagRequestSize)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := request[unix.SizeofNlMsghdr:]
	body[0], body[1], body[2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(diagSkmeminfo-1)
	binary.NativeEndian.PutUint32(body[4:], allStates)
	if err := unix.Sendto(fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return os.NewSyscallError("sendto", err)
	}
	buffer := make([]byte, diagBufferSize)
	for {
		n, _, err := unix.Recvfrom(fd, buffer, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return os.NewSyscallError("recvfrom", err)
		}
		done, err := readDiagnosis(buffer[:n], each)
		if done || err != nil {
			return err
		}
	}
}

// readDiagnosis reads the messages of one datagram. It returns true after the last one.
func readDiagnosis(datagram []byte, each func(message []byte)) (done bool, err error) {
	for len(datagram) >= unix.SizeofNlMsghdr {
		length := int(binary.NativeEndian.Uint32(datagram))
		if length < unix.SizeofNlMsghdr || length > len(datagram) {
			return false, fmt.Errorf("a message of %d bytes in a datagram of %d", length, len(datagram))
		}
		switch binary.NativeEndian.Uint16(datagram[4:]) {
		case unix.NLMSG_DONE:
			return true, nil
		case unix.NLMSG_ERROR:
			return false, fmt.Errorf("the kernel refuses the diagnosis of sockets")
		}
		if message := datagram[unix.SizeofNlMsghdr:length]; len(message) >= diagResponseSize {
			each(message)
		}
		datagram = datagram[min(aligned(length), len(datagram)):]
	}
	return false, nil
}

// memoryNumbers returns the numbers of a socket's memory among the attributes of its message, or nil.
func memoryNumbers(attributes []byte) []uint32 {
	for len(attributes) >= unix.SizeofRtAttr {
		length := int(binary.NativeEndian.Uint16(attributes))
		if length < unix.SizeofRtAttr || length > len(attributes) {
			return nil
		}
		value := attributes[unix.SizeofRtAttr:length]
		if binary.NativeEndian.Uint16(attributes[2:]) == diagSkmeminfo && len(value) >= memoryNumberCount*4 {
			numbers := make([]uint32, memoryNumberCount)
			for i := range numbers {
				numbers[i] = binary.NativeEndian.Uint32(value[i*4:])
			}
			return numbers
		}
		attributes = attributes[min(aligned(length), len(attributes)):]
	}
	return nil
}

// aligned is where the message or attribute behind one of a length begins.
func aligned(length int) int { return (length + 3) &^ 3 }
