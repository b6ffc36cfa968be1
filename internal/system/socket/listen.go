package socket

import (
	"errors"
	"net"
	"os"
	"strings"
	"time"
)

// A process that starts while its machine lacks something for a moment waits for it: it would otherwise be down until
// it is started again.
const (
	startRetryTimeout = 5 * time.Second
	startRetryPause   = 20 * time.Millisecond
)

var errNotTCP = errors.New("no TCP listener")

// Listen listens. It waits some seconds while this machine lacks descriptors or memory.
func Listen(network, addr string) (net.Listener, error) {
	var ln net.Listener
	err := RetryTransient(func() error {
		plain, err := net.Listen(network, addr)
		if err != nil {
			return err
		}
		if strings.HasPrefix(network, "unix") {
			ln = plain
			return nil
		}
		ln, err = newListener(plain.(*net.TCPListener), false)
		return err
	})
	if err != nil {
		return nil, err
	}
	return ln, nil
}

// FileListener returns the listener of a TCP socket that other processes have as well. The file stays open.
func FileListener(file *os.File) (*Listener, error) {
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, errNotTCP
	}
	return newListener(tcp, true)
}

// RetryTransient does something that the start of a process needs. While this machine lacks descriptors or memory it is
// repeated for some seconds; the error that lasts is returned.
func RetryTransient(do func() error) error {
	return retryStart(do, func() { time.Sleep(startRetryPause) })
}

// retryStart repeats do with pauses while this machine lacks descriptors or memory, up to startRetryTimeout.
func retryStart(do func() error, pause func()) error {
	deadline := time.Now().Add(startRetryTimeout)
	for {
		err := do()
		kind := Classify(err)
		isShort := kind == Descriptors || kind == Memory
		if !isShort || time.Now().After(deadline) {
			return err
		}
		pause()
	}
}
