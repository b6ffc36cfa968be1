package main

import (
	"math"
	"os"
	"strings"
	"sync"
	"syscall"

	"robincart/internal/system/socket"
)

// descriptorLimit returns how many descriptors this process may have beside those that it was started with, which
// nobody closes. Where the process's limit is below the configured one, it goes first. It is counted at the first
// call, before anything is opened.
var descriptorLimit = sync.OnceValue(func() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur) - inheritedDescriptors()
})

// inheritedDescriptors counts the descriptors that the process was started with beside the standard streams. Where
// they can't be read it returns 0.
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
		// The Go runtime's poller is counted among the node's own, and the directory that was just read is closed.
		target, err := os.Readlink(directory + "/" + name)
		if err == nil && !strings.HasPrefix(target, "anon_inode:[event") {
			count++
		}
	}
	return count
}

// spareDescriptor is kept open so that the configuration can be read when the process has no other descriptor left;
// nil if it is used up. Only the goroutine that starts the program and handles its signals uses it.
var spareDescriptor *os.File

// readWithSpare calls read, and again with the spare descriptor closed if there is no other. A failure that may
// pass is returned as an unreadableError.
func readWithSpare[T any](read func() (T, error)) (T, error) {
	value, err := read()
	if spareDescriptor != nil && socket.Exhausted(err) {
		spareDescriptor.Close()
		spareDescriptor = nil
		value, err = read()
	}
	if spareDescriptor == nil {
		spareDescriptor, _ = os.Open(os.DevNull) // if that fails the next read has to do without
	}
	if err != nil && mayPass(err) {
		return value, &unreadableError{cause: err}
	}
	return value, err
}
