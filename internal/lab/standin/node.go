package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Node is a real node as a process of its own. A node that is replaced has two for a moment.
type Node struct {
	Name         string
	Addr         string
	Program      string
	Wrapper      []string       // a command that runs the program, which is appended to it
	Env          []string       // beside this process's own
	Config       map[string]any // in the platform's form; its listen and name are set by Write
	OperatorFile string         // an operators' file in place of Config
	Dir          string         // of its configuration and its log
	Listener     *os.File       // the clients' listener, which all its processes share; nil: each has one of its own
	Admin        bool           // it has an operators' address, a new one for each process

	mu          sync.Mutex
	cmd         *exec.Cmd
	ended       chan struct{} // closed at the process's end
	err         error         // how it ended
	endOrdered  bool
	readySince  time.Time     // zero: the process is not ready yet, or is to end
	cpuEnded    time.Duration // of processes that have ended
	maxResident int64         // of processes that have ended or are to end, in bytes
}

const (
	// maxStartTime bounds a process's time until it is ready.
	maxStartTime = time.Minute
	// maxAcceptTime bounds a replacing process's time until it accepts clients.
	maxAcceptTime = 6 * time.Second
	// maxHandoverEndTime bounds the old process's time until it has ended.
	maxHandoverEndTime = 5 * time.Second
	// maxKillTime bounds the wait for the end of a process that was killed.
	maxKillTime = 10 * time.Second
	// firstReloadDelay is how long after it has become ready a process may be told to reload its configuration.
	firstReloadDelay = time.Second
	// readyPollInterval is how often a process is asked whether it is ready.
	readyPollInterval = 10 * time.Millisecond
)

// SetKnownServers sets the servers that the next process knows from before its start.
func (n *Node) SetKnownServers(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.OperatorFile == "" {
		n.Config["known"] = map[string]any{"revision": 0, "complete": true, "members": members}
	}
}

// Configure changes the configuration. Write puts it where the process reads it.
func (n *Node) Configure(change func(config map[string]any)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.Config)
}

// Write replaces the file of the configuration.
func (n *Node) Write() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	text, path := []byte(n.OperatorFile), n.operatorFilePath()
	if n.OperatorFile == "" {
		path = n.configPath()
		n.Config["name"], n.Config["listen"] = n.Name, n.Addr
		var err error
		text, err = json.Marshal(n.Config)
		if err != nil {
			return err
		}
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// configPath is the file of the configuration in the platform's form, and operatorFilePath that of an operators' file.
func (n *Node) configPath() string       { return filepath.Join(n.Dir, n.Name+".json") }
func (n *Node) operatorFilePath() string { return filepath.Join(n.Dir, n.Name+".toml") }

func (n *Node) logPath() string { return filepath.Join(n.Dir, n.Name+".log") }

// Start starts the process and waits until it is ready.
func (n *Node) Start(ctx context.Context) error {
	ended, err := n.launch()
	if err != nil {
		return err
	}
	ready, err := n.await(ctx, ended, maxStartTime, func() bool { return isReady(n.Addr) })
	if err != nil {
		return err
	}
	if !ready {
		return fmt.Errorf("node %s is not ready", n.Name)
	}
	n.becameReady()
	return nil
}

// await polls a new process until it is ready. It returns false if that takes longer than a time.
func (n *Node) await(
	ctx context.Context, ended <-chan struct{}, limit time.Duration, ready func() bool,
) (bool, error) {
	for deadline := time.Now().Add(limit); !ready(); {
		select {
		case <-ended:
			return false, fmt.Errorf("node %s ended at its start: %s", n.Name, n.lastLine())
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(readyPollInterval):
		}
		if time.Now().After(deadline) {
			return false, nil
		}
	}
	return true, nil
}

// Replace starts another process beside the one that serves, waits until it accepts clients, and ends the old one. Both
// share the Listener.
func (n *Node) Replace(ctx context.Context) error {
	n.mu.Lock()
	old, oldEnded := n.cmd, n.ended
	n.mu.Unlock()
	ended, err := n.launch()
	if err != nil {
		return err
	}
	accepts, err := n.await(ctx, ended, maxAcceptTime, func() bool { return acceptsClients(n.adminAddr()) })
	if err != nil {
		return err
	}
	if !accepts {
		return fmt.Errorf("node %s: the new process accepts no clients", n.Name)
	}
	n.becameReady()
	n.mu.Lock()
	n.sampleMemory(old.Process.Pid)
	n.mu.Unlock()
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-oldEnded:
		return nil
	case <-time.After(maxHandoverEndTime):
		old.Process.Kill()
		return fmt.Errorf("node %s: the old process did not end", n.Name)
	}
}

func (n *Node) becameReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readySince = time.Now()
}

// Ready returns whether the process has become ready and is not to end.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.readySince.IsZero()
}

// MayReload returns whether the process may be told to reload its configuration: the platform does so neither before it
// is ready nor in the second after that.
func (n *Node) MayReload() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.readySince.IsZero() && time.Since(n.readySince) >= firstReloadDelay
}

// Log is what the node's processes have written.
func (n *Node) Log() string {
	text, err := os.ReadFile(n.logPath())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (n *Node) lastLine() string {
	lines := strings.Split(strings.TrimSpace(n.Log()), "\n")
	return lines[len(lines)-1]
}
