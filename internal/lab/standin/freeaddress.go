package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
)

const (
	// minPort is the lowest port that FreeAddress returns.
	minPort = 10_000
	// minPortRange is how many ports there have to be below the kernel's own for FreeAddress to use them.
	minPortRange = 2_000
	// maxPortRange is how many ports FreeAddress goes through.
	maxPortRange = 20_000
	// maxPortAttempts is how many ports in use FreeAddress passes over.
	maxPortAttempts = 2000 // other programs, and other labs beside this one, may hold many ports in a row
)

// nextPort goes through the ports that FreeAddress returns, from a random one on: a process returns none twice in a
// row, since many addresses may be chosen before the first node listens.
var nextPort atomic.Uint32

// heldPorts are the blocks of ports that this process goes through. Without them, two labs side by side could choose
// the same port before a node of either listens there.
var (
	heldPortsMu sync.Mutex
	heldPorts   = portBlocks{directory: os.TempDir(), held: map[uint32]*os.File{}}
)

func init() { nextPort.Store(rand.Uint32()) }

// FreeAddress returns an address on a loopback host that nobody listens on now. Its port lies below those that the
// kernel gives to connections and to listeners that name none: one of those could be taken before the node listens, by
// a connection that goes out or by a listener on all addresses.
func FreeAddress(host string) (string, error) {
	for range maxPortAttempts {
		port := 0
		if first := firstEphemeralPort(); first > minPort+minPortRange {
			ports := min(maxPortRange, first-minPort)
			port = first - 1 - int(advanceNextPort(uint32(ports)))
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		defer listener.Close()
		return listener.Addr().String(), nil
	}
	return "", fmt.Errorf("no free port on %s", host)
}

// advanceNextPort moves nextPort on in a range of so many ports, and returns it.
func advanceNextPort(ports uint32) uint32 {
	heldPortsMu.Lock()
	defer heldPortsMu.Unlock()
	position := heldPorts.next(nextPort.Load(), ports)
	nextPort.Store(position)
	return position
}

// firstEphemeralPort is the lowest port that the kernel chooses by itself; 0: not known.
func firstEphemeralPort() int {
	text, _ := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	fields := strings.Fields(string(text))
	if len(fields) != 2 {
		return 0
	}
	first, _ := strconv.Atoi(fields[0])
	return first
}
