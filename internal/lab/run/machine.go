package run

import (
	"fmt"
	"runtime"
	"syscall"
)

// RaiseDescriptors raises the limit of open files as far as this user may, and returns it; 0: unknown.
func RaiseDescriptors() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	limit.Cur = limit.Max
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	return limit.Cur
}

// describeMachine is a line on this machine.
func describeMachine() string {
	return fmt.Sprintf("%s/%s, %d cores, %d descriptors",
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), RaiseDescriptors())
}
