package standin

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"
)

// errNotStarted is returned for a node that has no process.
var errNotStarted = errors.New("not started")

// inheritedListenerFD is the descriptor of the Listener in a process, the first one after the standard streams.
const inheritedListenerFD = 3

// launch starts a process. The channel is closed at its end.
func (n *Node) launch() (<-chan struct{}, error) {
	if n.Admin {
		addr, err := FreeAddress("127.0.0.1")
		if err != nil {
			return nil, err
		}
		n.Configure(func(config map[string]any) { config["admin_addr"] = addr })
	}
	if err := n.Write(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := n.command()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("node %s: %w", n.Name, err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.endOrdered, n.readySince = false, time.Time{}
	n.mu.Unlock()
	go n.reap(cmd, ended)
	return ended, nil
}

// command is the command of a process.
func (n *Node) command() *exec.Cmd {
	words := append(slices.Clone(n.Wrapper), n.Program)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), n.Env...)
	cmd.Env = append(cmd.Env, "EDGE_CONFIG="+n.configPath())
	if n.OperatorFile != "" {
		cmd.Args = append(cmd.Args, "--config", n.operatorFilePath())
	}
	if n.Listener != nil {
		cmd.ExtraFiles = []*os.File{n.Listener}
		cmd.Env = append(cmd.Env, fmt.Sprint("EDGE_ACCEPT_FD=", inheritedListenerFD))
	}
	// A lab that is killed must leave no node behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// reap waits for a process's end.
func (n *Node) reap(cmd *exec.Cmd, ended chan<- struct{}) {
	err := cmd.Wait()
	n.mu.Lock()
	n.err = err
	if state := cmd.ProcessState; state != nil {
		n.cpuEnded += state.UserTime() + state.SystemTime()
	}
	n.mu.Unlock()
	close(ended)
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil {
		return errNotStarted
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		n.endOrdered, n.readySince = true, time.Time{}
		n.sampleMemory(n.cmd.Process.Pid)
	}
	return n.cmd.Process.Signal(signal)
}

// End stops the process, by force if that takes longer than a time.
func (n *Node) End(within time.Duration) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended == nil {
		return
	}
	n.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(within):
		n.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Wait waits for the process's end, for a time. It returns whether the process has ended, and how.
func (n *Node) Wait(limit time.Duration) (ended bool, err error) {
	n.mu.Lock()
	end := n.ended
	n.mu.Unlock()
	if end == nil {
		return true, nil
	}
	select {
	case <-end:
		n.mu.Lock()
		defer n.mu.Unlock()
		return true, n.err
	case <-time.After(limit):
		return false, nil
	}
}

// Kill kills the process, if there is one, and waits for its end.
func (n *Node) Kill() {
	if n.Signal(syscall.SIGKILL) != nil {
		return
	}
	n.Wait(maxKillTime)
}

// Pid is the process's id.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Crashed returns an error if the process has ended without an order.
func (n *Node) Crashed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
	default:
		return nil
	}
	if n.endOrdered {
		return nil
	}
	return fmt.Errorf("node %s ended by itself: %v: %s", n.Name, n.err, n.lastLine())
}

// Usage returns the CPU time of the node's processes, and the most memory that one of them had resident, both so far.
func (n *Node) Usage() (cpu time.Duration, maxResident int64) {
	n.mu.Lock()
	cmd, cpu, maxResident := n.cmd, n.cpuEnded, n.maxResident
	n.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return cpu, maxResident
	}
	usage := ReadProcessUsage(cmd.Process.Pid)
	return cpu + usage.CPU, max(maxResident, usage.MaxResident)
}

// sampleMemory notes the most memory that a process had resident. What the kernel accounts to an ended child begins
// with its parent's own memory, from the fork. The mutex is held.
func (n *Node) sampleMemory(pid int) {
	n.maxResident = max(n.maxResident, ReadProcessUsage(pid).MaxResident)
}
