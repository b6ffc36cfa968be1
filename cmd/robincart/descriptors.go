package main

import (
	"math"
	"os"
	"strings"
	"sync"
	"syscall"

	"robincart/internal/system/socket"
)

// descriptorLimit returns how many descriptors this process may open: RLIMIT_NOFILE less the descriptors that it
// inherited, which stay open. It is an upper bound for the configured number. The value is computed at the first call,
// which has to come before the process opens anything.
var descriptorLimit = sync.OnceValue(func() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur) - inheritedDescriptors()
})

// inheritedDescriptors counts the descriptors that the process was started with, without the standard streams. If it
// can't list them it returns 0.
func inheritedDescriptors() int {
	const directory = "/proc/self/fd"
	entries, err := os.ReadDir(directory)
	if err != nil {
		return 0
	}
	count := 0
	for _, entry := range entries {
		name := entry.Name()
		if name == "0" || name == "1" || name == "2" {
			continue
		}
		// Not counted: the Go runtime's poller, which is part of the node's own budget, and the directory that was just
		// read, which is closed by now.
		target, err := os.Readlink(directory + "/" + name)
		if err == nil && !strings.HasPrefix(target, "anon_inode:[event") {
			count++
		}
	}
	return count
}

// spareDescriptor is kept open as a reserve: it is closed to read the configuration when the process has no descriptor
// left. It is nil if the reserve is used up. Only the goroutine that starts the program and handles its signals uses
// it.
var spareDescriptor *os.File

// readWithSpare calls read. If no descriptor is left it closes the spare descriptor and calls read again. An error that
// may be temporary is returned as an unreadableError.
func readWithSpare[T any](read func() (T, error)) (T, error) {
	value, err := read()
	if spareDescriptor != nil && socket.Exhausted(err) {
		spareDescriptor.Close()
		spareDescriptor = nil
		value, err = read()
	}
	if spareDescriptor == nil {
		spareDescriptor, _ = os.Open(os.DevNull) // if this fails, the next read has no spare descriptor
	}
	if err != nil && mayBeTemporary(err) {
		return value, &unreadableError{cause: err}
	}
	return value, err
}
