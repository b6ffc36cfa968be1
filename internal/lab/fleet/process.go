package fleet

import (
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"robincart/internal/lab/standin"
)

const privateFile = 0o600

// childProcess is a process that the lab starts, kills and starts again.
type childProcess struct {
	name    string
	logPath string
	args    []string // the program first
	calls   bool     // it is a part: its standard streams carry calls

	mu      sync.Mutex
	command *exec.Cmd     // nil: it does not run
	client  *rpc.Client   // of a part that runs
	cpu     time.Duration // of the earlier ones
}

// errNotRunning reports a call to a process that does not run.
var errNotRunning = errors.New("does not run")

// start starts the process. The kernel ends it with this one.
func (c *childProcess) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFile)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(c.args[0], c.args[1:]...)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var pipes *streams
	if c.calls {
		if pipes, err = newStreams(command); err != nil {
			return err
		}
	} else {
		command.Stdout = log
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	c.command = command
	if pipes != nil {
		c.client = rpc.NewClient(pipes)
	}
	return nil
}

// streams are a reader and a writer that carry calls.
type streams struct {
	io.ReadCloser
	out io.WriteCloser
}

// newStreams returns the ends of a command's standard streams.
func newStreams(command *exec.Cmd) (*streams, error) {
	in, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	return &streams{ReadCloser: out, out: in}, nil
}

// Write writes to the other side.
func (s *streams) Write(b []byte) (int, error) { return s.out.Write(b) }

// Close closes both.
func (s *streams) Close() error { return errors.Join(s.out.Close(), s.ReadCloser.Close()) }

// call calls a method of a part.
func (c *childProcess) call(method string, args, reply any) error {
	c.mu.Lock()
	client := c.client
	c.mu.Unlock()
	if client == nil {
		return fmt.Errorf("%s %w", c.name, errNotRunning)
	}
	if err := client.Call(method, args, reply); err != nil {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	return nil
}

// kill ends the process outright, if it runs.
func (c *childProcess) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil {
		return
	}
	if c.client != nil {
		c.client.Close()
		c.client = nil
	}
	c.command.Process.Kill()
	c.command.Wait()
	if state := c.command.ProcessState; state != nil {
		c.cpu += state.UserTime() + state.SystemTime()
	}
	c.command = nil
}

// pid returns the process's ID, or 0 where it does not run.
func (c *childProcess) pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil {
		return 0
	}
	return c.command.Process.Pid
}

func (c *childProcess) isRunning() bool { return c.pid() != 0 }

// usage returns the CPU time of all processes that this was, and the memory of the one that runs.
func (c *childProcess) usage() processUsage {
	usage := readProcess(c.pid())
	c.mu.Lock()
	defer c.mu.Unlock()
	usage.cpu += c.cpu
	return usage
}

// processUsage is the CPU time of processes, and their resident memory.
type processUsage struct {
	cpu time.Duration
	rss int64 // bytes
}

func (p processUsage) add(other processUsage) processUsage {
	return processUsage{cpu: p.cpu + other.cpu, rss: p.rss + other.rss}
}

// readProcess reads a process's usage. That of 0, or of one that has ended, is zero.
func readProcess(pid int) processUsage {
	if pid == 0 {
		return processUsage{}
	}
	usage := standin.ReadProcessUsage(pid)
	return processUsage{cpu: usage.CPU, rss: usage.Resident}
}

// readProcessTree reads the usage of a process and of its children.
func readProcessTree(pid int) processUsage {
	usage := readProcess(pid)
	for _, child := range childrenOf(pid) {
		usage = usage.add(readProcess(child))
	}
	return usage
}

// childrenOf returns the processes that one has started.
func childrenOf(parent int) []int {
	var children []int
	paths, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has just ended
		}
		afterName := string(text[strings.LastIndexByte(string(text), ')')+1:])
		fields := strings.Fields(afterName) // its state and its parent come first
		if len(fields) < 2 || fields[1] != strconv.Itoa(parent) {
			continue
		}
		if pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path))); err == nil {
			children = append(children, pid)
		}
	}
	return children
}
