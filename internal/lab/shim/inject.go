package shim

import (
	"syscall"
	"time"
)

// noCall is the number of no system call: a call whose number is replaced by it is not made.
const noCall = ^uint64(0)

// inject changes the call that a thread has stopped at, if the plan and chance say so. It returns for how long the
// thread is delayed.
func (t *Tracer) inject(thread int) time.Duration {
	if len(t.plan.Injections) == 0 {
		return 0
	}
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(thread, &regs) != nil {
		return 0
	}
	for _, injection := range t.plan.Injections {
		if !t.applies(injection, thread, &regs) || !t.apply(injection, thread, &regs) {
			continue
		}
		if injection.Delay > 0 {
			t.journal(injection.Call, injection.Delay.String())
		}
		return injection.Delay
	}
	return 0
}

// applies returns whether an injection is for the call that a thread has stopped at, and chance is for it.
func (t *Tracer) applies(injection Injection, thread int, regs *syscall.PtraceRegs) bool {
	c := calls[injection.Call]
	if c.number != regs.Orig_rax {
		return false
	}
	if t.random.Float64() >= injection.Share {
		return false
	}
	return c.appliesTo(injection.Folder, thread, regs)
}

// apply makes a call fail or return short. It returns false for a call that has nothing to be cut short.
func (t *Tracer) apply(injection Injection, thread int, regs *syscall.PtraceRegs) bool {
	what := ""
	switch {
	case len(injection.Errors) > 0:
		what = injection.Errors[t.random.IntN(len(injection.Errors))]
		regs.Orig_rax = noCall
		regs.Rax = uint64(-int64(errnos[what]))
	case injection.Short:
		if regs.Rdx <= 1 {
			return false
		}
		what = "short"
		regs.Rdx = 1
	default:
		return true // it is delayed only
	}
	if syscall.PtraceSetRegs(thread, regs) == nil {
		t.journal(injection.Call, what)
	}
	return true
}
