package shim

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets in the data that a filter reads, struct seccomp_data.
const (
	numberOffset       = 0
	architectureOffset = 4
)

// The instructions of a filter.
const (
	loadWord    = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	jumpIfEqual = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	returnValue = unix.BPF_RET | unix.BPF_K
)

// traceFilter stops for the tracer at the calls with these names and lets all others pass.
func traceFilter(names []string) []unix.SockFilter {
	program := []unix.SockFilter{
		{Code: loadWord, K: architectureOffset},
		{Code: jumpIfEqual, K: auditArchitecture, Jt: 1},
		{Code: returnValue, K: unix.SECCOMP_RET_ALLOW},
		{Code: loadWord, K: numberOffset},
	}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
		program = append(program,
			unix.SockFilter{Code: jumpIfEqual, K: uint32(calls[name].number), Jf: 1},
			unix.SockFilter{Code: returnValue, K: unix.SECCOMP_RET_TRACE})
	}
	return append(program, unix.SockFilter{Code: returnValue, K: unix.SECCOMP_RET_ALLOW})
}

// Exec replaces this process by a program whose calls with these names stop for the tracer that has started the
// process. It returns only with an error.
func Exec(names []string, program string, args []string) error {
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	if len(names) > 0 {
		if err := installFilter(traceFilter(names)); err != nil {
			return fmt.Errorf("filter: %w", err)
		}
	}
	return syscall.Exec(program, append([]string{program}, args...), os.Environ())
}

// installFilter installs a filter in all threads of this process.
func installFilter(filter []unix.SockFilter) error {
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC,
		uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return errno
	}
	return nil
}
