package main

import (
	"math"
	"os"
	"strings"
	"sync"
	"syscall"

	"robincart/internal/system/socket"
)

// descriptorLimit returns how many descriptors this process may open: RLIMIT_NOFILE minus the number of inherited
// descriptors, which stay open. The result is an upper bound for the configured number of descriptors. It is computed
// at the first call, so the first call must come before the process opens any descriptor.
var descriptorLimit = sync.OnceValue(func() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur) - inheritedDescriptors()
})

// inheritedDescriptors counts the descriptors that the process was started with, without the standard streams. If the
// descriptors can't be listed, it returns 0.
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

// spareDescriptor is a descriptor that is kept open as a reserve. If the process has no descriptor left,
// spareDescriptor is closed, so that the configuration can be read. It is nil if the reserve is used up. Only the
// goroutine that starts the program and handles signals uses spareDescriptor.
var spareDescriptor *os.File

// readWithSpare calls read. If no descriptor is left, it closes the spare descriptor and calls read again. An error
// that may be temporary is returned as an unreadableError.
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
