package shim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	traceOptions = unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC | unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_EXITKILL
	// maxLines bounds the journal of what was injected.
	maxLines = 100_000
	// delayGrain is how often a thread that is held up is looked at.
	delayGrain = 200 * time.Microsecond
	// planGrain is how often the plan's file is looked at.
	planGrain = 20 * time.Millisecond
)

// Tracer runs one process under a plan.
type Tracer struct {
	PlanFile string   // read again at each SIGUSR2, and soon after it has been replaced
	Journal  *os.File // a line for each injection; may be nil
	Starter  []string // the command that calls Exec with the plan's calls, the program and its arguments

	plan   *Plan
	random *rand.Rand
	child  int
	known  map[int]bool // threads whose first stop has come
	held   map[int]time.Time
	clock  *clock
	lines  int
	looked time.Time // at the plan's file
	read   time.Time // the file's time when it was last read
}

// Run runs the program to its end and returns its exit status. SIGTERM, SIGINT, SIGHUP and SIGUSR1 go to it; its end goes with the tracer's.
func (t *Tracer) Run() (status int, err error) {
	if t.plan, err = ReadPlan(t.PlanFile); err != nil {
		return 0, err
	}
	t.random = rand.New(rand.NewPCG(t.plan.Seed, uint64(os.Getpid())))
	t.known, t.held = map[int]bool{}, map[int]time.Time{}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGUSR2)
	forward := make(chan os.Signal, 8)
	signal.Notify(forward, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)

	runtime.LockOSThread() // the tracer is a thread, not a process
	p, err := os.StartProcess(t.Starter[0], t.Starter, &os.ProcAttr{Env: os.Environ(), Files: inherited(),
		Sys: &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}})
	if err != nil {
		return 0, err
	}
	t.child = p.Pid
	var ws unix.WaitStatus
	if _, err := unix.Wait4(t.child, &ws, unix.WALL, nil); err != nil {
		return 0, fmt.Errorf("the first stop: %w", err)
	}
	t.known[t.child] = true
	if err := syscall.PtraceSetOptions(t.child, traceOptions); err != nil {
		return 0, fmt.Errorf("options: %w", err)
	}
	go func() {
		for s := range forward {
			p.Signal(s)
		}
	}()
	t.resume(t.child, 0)
	for {
		select {
		case <-reload:
			t.reload()
		default:
			if t.replaced() {
				t.reload()
			}
		}
		ended, err := t.next()
		if err != nil || ended != nil {
			if ended != nil && ended.Signaled() {
				return 128 + int(ended.Signal()), nil
			}
			if ended != nil {
				return ended.ExitStatus(), nil
			}
			return 0, err
		}
	}
}

// inherited are the descriptors that the program gets: the streams and, where the platform hands one on, its callers' listener.
func inherited() []*os.File {
	files := []*os.File{nil, os.Stdout, os.Stderr}
	if os.Getenv("EDGE_ACCEPT_FD") == "3" {
		files = append(files, os.NewFile(3, "listener"))
	}
	return files
}

// next waits for one stop of the process and deals with it; at its end it returns how it ended.
func (t *Tracer) next() (ended *unix.WaitStatus, err error) {
	var ws unix.WaitStatus
	pid, err := unix.Wait4(-1, &ws, unix.WALL|unix.WNOHANG, nil)
	switch {
	case errors.Is(err, unix.EINTR):
		return nil, nil
	case err != nil:
		return nil, err
	case pid == 0:
		t.release()
		time.Sleep(delayGrain)
		return nil, nil
	case ws.Exited() || ws.Signaled():
		delete(t.held, pid)
		if pid == t.child {
			return &ws, nil
		}
		return nil, nil
	}
	t.stopped(pid, ws)
	return nil, nil
}

func (t *Tracer) stopped(pid int, ws unix.WaitStatus) {
	first := !t.known[pid]
	t.known[pid] = true
	switch event := int(ws) >> 16; {
	case event == unix.PTRACE_EVENT_SECCOMP:
		if delay := t.inject(pid); delay > 0 {
			t.held[pid] = time.Now().Add(delay)
			return
		}
		t.resume(pid, 0)
	case event == unix.PTRACE_EVENT_EXEC:
		t.execed(pid)
		t.resume(pid, 0)
	case event != 0, first && ws.StopSignal() == unix.SIGSTOP, ws.StopSignal() == unix.SIGTRAP:
		t.resume(pid, 0)
	default:
		t.resume(pid, int(ws.StopSignal()))
	}
}

// resume lets a thread go on. One that has been killed meanwhile is reported by the next wait.
func (t *Tracer) resume(pid, signal int) { syscall.PtraceCont(pid, signal) }

// release lets threads go on whose time is over.
func (t *Tracer) release() {
	now := time.Now()
	for pid, until := range t.held {
		if !now.Before(until) {
			delete(t.held, pid)
			t.resume(pid, 0)
		}
	}
}

// execed patches the clock of the program that has just been loaded.
func (t *Tracer) execed(pid int) {
	if t.clock != nil {
		t.clock.memory.Close()
	}
	var err error
	if t.clock, err = patchClock(pid); err == nil {
		err = t.clock.step(t.plan.ClockStep)
	}
	if err != nil {
		t.note("clock", err.Error())
	}
}

// replaced tells whether the plan's file is another than the one that was read.
func (t *Tracer) replaced() bool {
	if time.Since(t.looked) < planGrain {
		return false
	}
	t.looked = time.Now()
	info, err := os.Stat(t.PlanFile)
	if err != nil || info.ModTime().Equal(t.read) {
		return false
	}
	t.read = info.ModTime()
	return true
}

// reload takes another plan; one that can't be read changes nothing, and the journal says so.
func (t *Tracer) reload() {
	plan, err := ReadPlan(t.PlanFile)
	if err != nil {
		t.note("plan", err.Error())
		return
	}
	if plan.ClockStep != t.plan.ClockStep && t.clock != nil {
		if err := t.clock.step(plan.ClockStep); err != nil {
			t.note("clock", err.Error())
		} else {
			t.note("clock", plan.ClockStep.String())
		}
	}
	t.plan = plan
}

// inject changes the call that a thread has stopped at, if the plan and chance say so, and tells how long the thread is held up.
func (t *Tracer) inject(pid int) time.Duration {
	if len(t.plan.Injections) == 0 {
		return 0
	}
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(pid, &regs) != nil {
		return 0
	}
	for _, i := range t.plan.Injections {
		c := calls[i.Call]
		if c.number != regs.Orig_rax || t.random.Float64() >= i.Share || !c.meets(i.Folder, pid, &regs) {
			continue
		}
		switch {
		case len(i.Errors) > 0:
			name := i.Errors[t.random.IntN(len(i.Errors))]
			regs.Orig_rax = ^uint64(0) // no call
			regs.Rax = uint64(-int64(errnos[name]))
			if syscall.PtraceSetRegs(pid, &regs) == nil {
				t.note(i.Call, name)
			}
		case i.Short:
			if regs.Rdx <= 1 {
				continue
			}
			regs.Rdx = 1
			if syscall.PtraceSetRegs(pid, &regs) == nil {
				t.note(i.Call, "short")
			}
		}
		if i.Delay > 0 {
			t.note(i.Call, i.Delay.String())
		}
		return i.Delay
	}
	return 0
}

// meets tells whether a call is on what an injection is for: a socket or, with a folder, a file below it.
func (c call) meets(folder string, pid int, regs *syscall.PtraceRegs) bool {
	switch {
	case folder == "" && c.socketOnly:
		return strings.HasPrefix(descriptorName(pid, regs.Rdi), "socket:")
	case folder == "":
		return true
	case c.path:
		return below(folder, pathArgument(pid, regs.Rsi)) // the second argument of each call that is known
	default:
		return below(folder, descriptorName(pid, regs.Rdi))
	}
}

func below(folder, path string) bool {
	return strings.HasPrefix(path, strings.TrimSuffix(folder, "/")+"/")
}

// descriptorName is what a thread's descriptor stands for; empty where that is not known.
func descriptorName(pid int, fd uint64) string {
	name, err := os.Readlink("/proc/" + strconv.Itoa(pid) + "/fd/" + strconv.FormatUint(fd, 10))
	if err != nil {
		return ""
	}
	return name
}

// maxPath is the longest path that the kernel takes.
const maxPath = 4096

// pathArgument reads the path that an argument points to; empty where it can't be read.
func pathArgument(pid int, address uint64) string {
	memory, err := os.Open("/proc/" + strconv.Itoa(pid) + "/mem")
	if err != nil {
		return ""
	}
	defer memory.Close()
	text := make([]byte, maxPath)
	n, _ := memory.ReadAt(text, int64(address)) // it may end with its page
	path, _, _ := strings.Cut(string(text[:n]), "\x00")
	return path
}

// note writes what was injected, and when by the machine's monotonic clock.
func (t *Tracer) note(call, what string) {
	if t.lines++; t.Journal == nil || t.lines > maxLines {
		return
	}
	var now unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	fmt.Fprintf(t.Journal, "%d %s %s\n", now.Nano(), call, what)
}
