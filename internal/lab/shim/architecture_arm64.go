package shim

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// auditArchitecture is the architecture that a filter's data names.
const auditArchitecture = unix.AUDIT_ARCH_AARCH64

// architectureCalls are the calls, by name, that not every architecture has.
var architectureCalls = map[string]call{}

// replacedCalls names the nearest existing call for each one that only other architectures have.
var replacedCalls = map[string]string{"epoll_wait": "epoll_pwait", "poll": "ppoll"}

// numberRegister is the general register with the number of the call.
const numberRegister = 8

// registers are a thread's registers where it has stopped at a system call.
type registers struct{ syscall.PtraceRegs }

// callNumber is the number of the call.
func (r *registers) callNumber() uint64 { return r.Regs[numberRegister] }

// argument returns one of the call's first three arguments, counted from 0.
func (r *registers) argument(position int) uint64 { return r.Regs[position] }

// setArgument changes one of the call's first three arguments, counted from 0.
func (r *registers) setArgument(position int, value uint64) { r.Regs[position] = value }

// failCall has the call at which a thread has stopped return an error, without being made. The kernel has read the
// number from its register before the stop: it is changed through a register set of its own.
func (r *registers) failCall(thread int, errno unix.Errno) error {
	r.Regs[0] = uint64(-int64(errno))
	if err := syscall.PtraceSetRegs(thread, &r.PtraceRegs); err != nil {
		return err
	}
	return setCallNumber(thread, noCall)
}

// setCallNumber sets the number of the call at which a thread has stopped.
func setCallNumber(thread int, number int32) error {
	vector := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number))}
	vector.SetLen(int(unsafe.Sizeof(number)))
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(thread), unix.NT_ARM_SYSTEM_CALL,
		uintptr(unsafe.Pointer(&vector)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// clockSymbol is the name of clock_gettime in the vDSO.
const clockSymbol = "__kernel_clock_gettime"

// clockCode is the replacement of clock_gettime. It adds the seconds at clockOffset to the result if the clock is
// CLOCK_REALTIME (0).
var clockCode = []byte{
	0xe9, 0x03, 0x00, 0x2a, // mov w9, w0
	0x28, 0x0e, 0x80, 0xd2, // mov x8, #113
	0x01, 0x00, 0x00, 0xd4, // svc #0
	0xa9, 0x00, 0x00, 0x35, // cbnz w9, over the addition
	0xca, 0x00, 0x00, 0x58, // ldr x10, clockOffset
	0x2b, 0x00, 0x40, 0xf9, // ldr x11, [x1]
	0x6b, 0x01, 0x0a, 0x8b, // add x11, x11, x10
	0x2b, 0x00, 0x00, 0xf9, // str x11, [x1]
	0xc0, 0x03, 0x5f, 0xd6, // ret
}

// clockOffset is where the seconds are, behind the function's start: aligned, so that a write to them is atomic.
const clockOffset = 40
