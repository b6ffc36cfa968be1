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

// Offsets in the data that a filter sees.
const (
	numberOffset = 0
	archOffset   = 4
)

// filter stops the tracer's process at these calls and lets all others pass.
func filter(names []string) []unix.SockFilter {
	statement := func(code uint16, k uint32) unix.SockFilter { return unix.SockFilter{Code: code, K: k} }
	program := []unix.SockFilter{
		statement(unix.BPF_LD|unix.BPF_W|unix.BPF_ABS, archOffset),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: unix.AUDIT_ARCH_X86_64, Jt: 1},
		statement(unix.BPF_RET|unix.BPF_K, unix.SECCOMP_RET_ALLOW),
		statement(unix.BPF_LD|unix.BPF_W|unix.BPF_ABS, numberOffset),
	}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: uint32(calls[name].number), Jf: 1},
			statement(unix.BPF_RET|unix.BPF_K, unix.SECCOMP_RET_TRACE))
	}
	return append(program, statement(unix.BPF_RET|unix.BPF_K, unix.SECCOMP_RET_ALLOW))
}

// Exec becomes a program whose calls of these names stop for the tracer that has started this process. It returns only with an error.
func Exec(names []string, program string, args []string) error {
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	if len(names) > 0 {
		code := filter(names)
		f := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
		if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC, uintptr(unsafe.Pointer(&f))); errno != 0 {
			return fmt.Errorf("filter: %w", errno)
		}
	}
	return syscall.Exec(program, append([]string{program}, args...), os.Environ())
}
