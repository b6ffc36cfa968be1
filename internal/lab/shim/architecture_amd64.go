package shim

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// auditArchitecture is the architecture that a filter's data names.
const auditArchitecture = unix.AUDIT_ARCH_X86_64

// architectureCalls are the calls, by name, that not every architecture has.
var architectureCalls = map[string]call{
	"epoll_wait": {number: unix.SYS_EPOLL_WAIT, errors: interrupted},
	"poll":       {number: unix.SYS_POLL, errors: pollErrors},
}

// replacedCalls names the nearest existing call for each one that only other architectures have.
var replacedCalls = map[string]string{}

// registers are a thread's registers where it has stopped at a system call.
type registers struct{ syscall.PtraceRegs }

// callNumber is the number of the call.
func (r *registers) callNumber() uint64 { return r.Orig_rax }

// argument returns one of the call's first three arguments, counted from 0.
func (r *registers) argument(position int) uint64 {
	return *r.argumentRegister(position)
}

// setArgument changes one of the call's first three arguments, counted from 0.
func (r *registers) setArgument(position int, value uint64) {
	*r.argumentRegister(position) = value
}

func (r *registers) argumentRegister(position int) *uint64 {
	return [...]*uint64{&r.Rdi, &r.Rsi, &r.Rdx}[position]
}

// failCall has the call at which a thread has stopped return an error, without being made.
func (r *registers) failCall(thread int, errno unix.Errno) error {
	number := int64(noCall)
	r.Orig_rax = uint64(number)
	r.Rax = uint64(-int64(errno))
	return syscall.PtraceSetRegs(thread, &r.PtraceRegs)
}

// clockSymbol is the name of clock_gettime in the vDSO.
const clockSymbol = "__vdso_clock_gettime"

// clockCode is the replacement of clock_gettime. It adds the seconds at clockOffset to the result if the clock is
// CLOCK_REALTIME (0).
var clockCode = []byte{
	0xb8, 0xe4, 0x00, 0x00, 0x00, // mov $228, %eax
	0x0f, 0x05, // syscall
	0x85, 0xff, // test %edi, %edi
	0x75, 0x0a, // jne over the addition
	0x48, 0x8b, 0x0d, 0x07, 0x00, 0x00, 0x00, // mov 7(%rip), %rcx: clockOffset, from the end of this instruction
	0x48, 0x01, 0x0e, // add %rcx, (%rsi)
	0xc3, // ret
}

// clockOffset is where the seconds are, behind the function's start: aligned, so that a write to them is atomic.
const clockOffset = 25
