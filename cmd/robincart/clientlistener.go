package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"

	"robincart/internal/system/socket"
)

// firstInheritedDescriptor is the lowest descriptor number after the standard streams.
const firstInheritedDescriptor = 3

// clientListener is the listener for clients. If the platform holds the listening socket, the listener can be closed
// and opened again.
type clientListener struct {
	address string
	file    *os.File // the platform's socket; nil: this process opens the listener at the address

	mu       sync.Mutex
	listener net.Listener // nil: not opened yet
}

// newClientListener returns the listener for clients. The parameter descriptor is the descriptor number of the
// listening socket that the platform passes to all processes of this node. If descriptor is not empty, the listener is
// open. If it is empty, open opens a listener at the address; it is an error if another process listens there.
func newClientListener(address, descriptor string) (*clientListener, error) {
	c := &clientListener{address: address}
	if descriptor == "" {
		return c, checkAddresses([]string{address})
	}
	number, err := strconv.Atoi(descriptor)
	if err != nil || number < firstInheritedDescriptor {
		return nil, fmt.Errorf("EDGE_ACCEPT_FD is %q: expected a descriptor number of at least %d", descriptor,
			firstInheritedDescriptor)
	}
	syscall.CloseOnExec(number)
	c.file = os.NewFile(uintptr(number), "listener")
	if err := socket.RetryTransient(c.open); err != nil {
		return nil, fmt.Errorf("EDGE_ACCEPT_FD is %s: %w", descriptor, err)
	}
	return c, nil
}

// inherited reports whether the platform holds the listening socket. The socket then outlives this process.
func (c *clientListener) inherited() bool { return c.file != nil }

// open opens a listener on the platform's descriptor, or at the address if there is none.
func (c *clientListener) open() error {
	var listener net.Listener
	var err error
	if c.inherited() {
		listener, err = socket.FileListener(c.file)
	} else {
		listener, err = socket.Listen("tcp", c.address)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
	return nil
}

// current returns the listener that was opened last.
func (c *clientListener) current() net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listener
}
