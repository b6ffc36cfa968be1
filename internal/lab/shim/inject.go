package shim

import (
	"syscall"
	"time"
)

// noCall is the number of no system call: a call whose number is replaced by it is not made.
const noCall = -1

// sizeArgument is the position of the size among the arguments of a call that has one.
const sizeArgument = 2

// inject changes the call that a thread has stopped at, if the plan and chance say so. It returns for how long the
// thread is delayed.
func (t *Tracer) inject(thread int) time.Duration {
	if len(t.plan.Injections) == 0 {
		return 0
	}
	regs := &registers{}
	if syscall.PtraceGetRegs(thread, &regs.PtraceRegs) != nil {
		return 0
	}
	for _, injection := range t.plan.Injections {
		if !t.applies(injection, thread, regs) || !t.apply(injection, thread, regs) {
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
func (t *Tracer) applies(injection Injection, thread int, regs *registers) bool {
	c := calls[injection.Call]
	if c.number != regs.callNumber() {
		return false
	}
	if t.random.Float64() >= injection.Share {
		return false
	}
	return c.appliesTo(injection.Folder, thread, regs)
}

// apply makes a call fail or return short. It returns false for a call that has nothing to be cut short.
func (t *Tracer) apply(injection Injection, thread int, regs *registers) bool {
	what := ""
	var err error
	switch {
	case len(injection.Errors) > 0:
		what = injection.Errors[t.random.IntN(len(injection.Errors))]
		err = regs.failCall(thread, errnos[what])
	case injection.Short:
		if regs.argument(sizeArgument) <= 1 {
			return false
		}
		what = "short"
		regs.setArgument(sizeArgument, 1)
		err = syscall.PtraceSetRegs(thread, &regs.PtraceRegs)
	default:
		return true // it is delayed only
	}
	if err == nil {
		t.journal(injection.Call, what)
	}
	return true
}
