package shim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	traceOptions = unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC |
		unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_EXITKILL
	// maxJournalLines bounds the journal.
	maxJournalLines = 100_000
	// stopPollInterval is how often threads are polled for stops while there is none, and delayed ones for their time.
	stopPollInterval = 200 * time.Microsecond
	// planPollInterval is how often the plan's file is polled.
	planPollInterval = 20 * time.Millisecond
	// signalExitStatus and the signal's number are the exit status of a program that a signal has ended.
	signalExitStatus = 128
)

// Tracer runs one process under a plan.
type Tracer struct {
	PlanFile string   // read again at each SIGUSR2, and soon after it was replaced
	Journal  *os.File // a line for each injection; may be nil
	Starter  []string // the command that calls Exec with the plan's calls, the program and its arguments

	plan         *Plan
	planPolledAt time.Time
	planModified time.Time // the file's time when it was read last
	random       *rand.Rand
	child        int
	threads      map[int]bool      // those whose first stop was handled
	delayed      map[int]time.Time // until when a thread is delayed
	clock        *clock            // nil before the program is loaded
	journalLines int
}

// Run runs the program to its end and returns its exit status. SIGTERM, SIGINT, SIGHUP and SIGUSR1 are forwarded to it.
// It is killed if the tracer ends before it.
func (t *Tracer) Run() (int, error) {
	plan, err := ReadPlan(t.PlanFile)
	if err != nil {
		return 0, err
	}
	t.plan = plan
	t.random = rand.New(rand.NewPCG(plan.Seed, uint64(os.Getpid())))
	t.threads, t.delayed = map[int]bool{}, map[int]time.Time{}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGUSR2)
	forwarded := make(chan os.Signal, 8)
	signal.Notify(forwarded, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)

	runtime.LockOSThread() // the tracer is a thread, not a process
	process, err := t.start()
	if err != nil {
		return 0, err
	}
	ended := make(chan struct{})
	defer close(ended)
	go forwardSignals(forwarded, process, ended)
	t.resume(t.child, 0)
	for {
		t.reloadIfChanged(reload)
		end, err := t.handleStop()
		if err != nil {
			return 0, err
		}
		if end != nil {
			return exitStatus(*end), nil
		}
	}
}

// start starts the process and waits for its first stop.
func (t *Tracer) start() (*os.Process, error) {
	process, err := os.StartProcess(t.Starter[0], t.Starter, &os.ProcAttr{
		Env:   os.Environ(),
		Files: inheritedFiles(),
		Sys:   &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL},
	})
	if err != nil {
		return nil, err
	}
	t.child = process.Pid
	var status unix.WaitStatus
	if _, err := unix.Wait4(t.child, &status, unix.WALL, nil); err != nil {
		return nil, fmt.Errorf("the first stop: %w", err)
	}
	t.threads[t.child] = true
	if err := syscall.PtraceSetOptions(t.child, traceOptions); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return process, nil
}

// inheritedFiles are the descriptors that the program gets: the output streams and, where the platform passes one on,
// the clients' listener.
func inheritedFiles() []*os.File {
	files := []*os.File{nil, os.Stdout, os.Stderr}
	if os.Getenv("EDGE_ACCEPT_FD") == "3" {
		files = append(files, os.NewFile(3, "listener"))
	}
	return files
}

// forwardSignals sends signals to the process until its end.
func forwardSignals(signals <-chan os.Signal, process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case received := <-signals:
			process.Signal(received)
		case <-ended:
			return
		}
	}
}

func exitStatus(status unix.WaitStatus) int {
	if status.Signaled() {
		return signalExitStatus + int(status.Signal())
	}
	return status.ExitStatus()
}

// handleStop handles the next stop of a thread, if there is one. At the process's end it returns how it ended.
func (t *Tracer) handleStop() (*unix.WaitStatus, error) {
	var status unix.WaitStatus
	thread, err := unix.Wait4(-1, &status, unix.WALL|unix.WNOHANG, nil)
	switch {
	case errors.Is(err, unix.EINTR):
		return nil, nil
	case err != nil:
		return nil, err
	case thread == 0:
		t.resumeDelayed()
		time.Sleep(stopPollInterval)
		return nil, nil
	case status.Exited() || status.Signaled():
		delete(t.delayed, thread)
		if thread == t.child {
			return &status, nil
		}
		return nil, nil
	}
	t.stopped(thread, status)
	return nil, nil
}

// stopped handles a thread's stop: at a call that may be injected into, at the program's start, for the tracer's own
// events, or for a signal, which the thread then gets.
func (t *Tracer) stopped(thread int, status unix.WaitStatus) {
	first := !t.threads[thread]
	t.threads[thread] = true
	switch event := int(status) >> 16; {
	case event == unix.PTRACE_EVENT_SECCOMP:
		if delay := t.inject(thread); delay > 0 {
			t.delayed[thread] = time.Now().Add(delay)
			return
		}
		t.resume(thread, 0)
	case event == unix.PTRACE_EVENT_EXEC:
		t.replaceClock(thread)
		t.resume(thread, 0)
	case event != 0, first && status.StopSignal() == unix.SIGSTOP, status.StopSignal() == unix.SIGTRAP:
		t.resume(thread, 0)
	default:
		t.resume(thread, int(status.StopSignal()))
	}
}

// resume resumes a thread. One that was killed meanwhile is reported by the next wait.
func (t *Tracer) resume(thread, signal int) { syscall.PtraceCont(thread, signal) }

// resumeDelayed resumes the threads whose delay is over.
func (t *Tracer) resumeDelayed() {
	now := time.Now()
	for thread, until := range t.delayed {
		if !now.Before(until) {
			delete(t.delayed, thread)
			t.resume(thread, 0)
		}
	}
}

// replaceClock replaces the clock of the program that was just loaded.
func (t *Tracer) replaceClock(pid int) {
	if t.clock != nil {
		t.clock.memory.Close()
	}
	var err error
	t.clock, err = patchClock(pid)
	if err == nil {
		err = t.clock.step(t.plan.ClockStep)
	}
	if err != nil {
		t.journal("clock", err.Error())
	}
}

// reloadIfChanged reloads the plan after a signal or if its file was replaced.
func (t *Tracer) reloadIfChanged(reload <-chan os.Signal) {
	select {
	case <-reload:
		t.reload()
	default:
		if t.planReplaced() {
			t.reload()
		}
	}
}

// planReplaced returns whether the plan's file is not the one that was read.
func (t *Tracer) planReplaced() bool {
	if time.Since(t.planPolledAt) < planPollInterval {
		return false
	}
	t.planPolledAt = time.Now()
	info, err := os.Stat(t.PlanFile)
	if err != nil || info.ModTime().Equal(t.planModified) {
		return false
	}
	t.planModified = info.ModTime()
	return true
}

// reload reads the plan again. One that can't be read changes nothing, and is noted in the journal.
func (t *Tracer) reload() {
	plan, err := ReadPlan(t.PlanFile)
	if err != nil {
		t.journal("plan", err.Error())
		return
	}
	if plan.ClockStep != t.plan.ClockStep && t.clock != nil {
		t.stepClock(plan.ClockStep)
	}
	t.plan = plan
}

func (t *Tracer) stepClock(by time.Duration) {
	if err := t.clock.step(by); err != nil {
		t.journal("clock", err.Error())
		return
	}
	t.journal("clock", by.String())
}

// journal writes what was injected, and when by the machine's monotonic clock.
func (t *Tracer) journal(call, what string) {
	t.journalLines++
	if t.Journal == nil || t.journalLines > maxJournalLines {
		return
	}
	var now unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	fmt.Fprintf(t.Journal, "%d %s %s\n", now.Nano(), call, what)
}
