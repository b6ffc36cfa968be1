package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/lab/wire"
)

// Node is a real node as a process of its own.
type Node struct {
	Name     string
	Addr     string
	Program  string
	Wrap     []string       // a command that runs the program, with what it is started with behind
	Env      []string       // beside this process's own
	Config   map[string]any // of the platform's form; listen and name are set here
	Text     string         // instead of it: an operator's file
	Dir      string         // its configuration and its log
	Listener *os.File       // its callers' listener, which all its processes share; nil: each has its own
	Admin    bool           // it has an operators' address, a new one with each process

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error     // how it ended
	ordered bool      // its end was asked for
	ready   time.Time // when the process had become ready; zero: it has not, or is to end
	cpu     time.Duration
	rss     int64
}

// nextPort goes through the ports that FreeAddress names, from somewhere on: a process names none twice in a row, since many
// may be named before the first node listens.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32()) }

// FreeAddress finds a port on a loopback address that nobody listens on now. It lies below those that the kernel gives to
// connections and to listeners that name none: of those one could be taken before the node listens, by a connection that
// goes out or by a listener on all addresses.
func FreeAddress(host string) (string, error) {
	for range 50 {
		port := 0
		if first := firstGiven(); first > 12_000 {
			port = first - 1 - int(nextPort.Add(1)%uint32(min(20_000, first-10_000)))
		}
		ln, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		defer ln.Close()
		return ln.Addr().String(), nil
	}
	return "", fmt.Errorf("no free port on %s", host)
}

// firstGiven is the least port that the kernel gives by itself; 0: not known.
func firstGiven() int {
	text, _ := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if f := strings.Fields(string(text)); len(f) == 2 {
		first, _ := strconv.Atoi(f[0])
		return first
	}
	return 0
}

// SetKnownServers sets the servers that the next process has from before its start.
func (n *Node) SetKnownServers(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Text == "" {
		n.Config["known"] = map[string]any{"revision": 0, "complete": true, "members": members}
	}
}

// Configure changes the configuration; Write puts it where the process reads it.
func (n *Node) Configure(change func(config map[string]any)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.Config)
}

// Write writes the configuration, as a whole or not at all.
func (n *Node) Write() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	text, path := []byte(n.Text), filepath.Join(n.Dir, n.Name+".toml")
	if n.Text == "" {
		n.Config["name"], n.Config["listen"] = n.Name, n.Addr
		path = filepath.Join(n.Dir, n.Name+".json")
		var err error
		if text, err = json.Marshal(n.Config); err != nil {
			return err
		}
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Start starts the process and waits until it is ready.
func (n *Node) Start(ctx context.Context) error {
	ended, err := n.launch()
	if err != nil {
		return err
	}
	for limit := time.Now().Add(60 * time.Second); time.Now().Before(limit); {
		if ready(n.Addr) {
			n.becameReady()
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("node %s ended at its start: %s", n.Name, n.lastLine())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("node %s is not ready", n.Name)
}

// Bounds of a replacement: how long a new process may take until it takes callers, and an old one until it has ended.
const (
	takesMost = 6 * time.Second
	endsMost  = 5 * time.Second
)

// Replace starts another process beside the one that serves, waits until it takes callers, and ends the old one. The listener has to be held.
func (n *Node) Replace(ctx context.Context) error {
	n.mu.Lock()
	old, oldEnded := n.cmd, n.ended
	n.mu.Unlock()
	ended, err := n.launch()
	if err != nil {
		return err
	}
	for limit := time.Now().Add(takesMost); !takes(n.adminAddr()); {
		select {
		case <-ended:
			return fmt.Errorf("node %s ended at its start: %s", n.Name, n.lastLine())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(limit) {
			return fmt.Errorf("node %s: the new process does not take callers", n.Name)
		}
	}
	n.becameReady()
	n.mu.Lock()
	n.sample(old.Process.Pid)
	n.mu.Unlock()
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-oldEnded:
		return nil
	case <-time.After(endsMost):
		old.Process.Kill()
		return fmt.Errorf("node %s: the old process did not end", n.Name)
	}
}

// Call makes an operator's call on a server and returns its status; 0 where the node can't be asked now.
func (n *Node) Call(path, server string) int {
	c, err := net.DialTimeout("tcp", n.adminAddr(), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	body := fmt.Sprintf(`{"host":%q}`, server)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: lab\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	p, err := wire.ReadResponse(bufio.NewReader(c))
	if err != nil {
		return 0
	}
	return p.Status
}

func (n *Node) becameReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = time.Now()
}

// Ready tells whether the process has become ready and is not to end.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ready.IsZero()
}

// firstReload is for how long a process that has become ready is not told to read its configuration.
const firstReload = time.Second

// Reloads tells whether the process may be told to read its configuration: the platform does not before it is ready, nor in the second after.
func (n *Node) Reloads() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ready.IsZero() && time.Since(n.ready) >= firstReload
}

func (n *Node) adminAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	addr, _ := n.Config["admin_addr"].(string)
	return addr
}

// takes asks a process at its operators' address whether it takes callers.
func takes(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "GET /_ready HTTP/1.1\r\nHost: lab\r\n\r\n")
	p, err := wire.ReadResponse(bufio.NewReader(c))
	return err == nil && p.Status == 200
}

// launch starts a process; the channel is closed at its end.
func (n *Node) launch() (chan struct{}, error) {
	if n.Admin {
		admin, err := FreeAddress("127.0.0.1")
		if err != nil {
			return nil, err
		}
		n.Configure(func(config map[string]any) { config["admin_addr"] = admin })
	}
	if err := n.Write(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(n.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := append(slices.Clone(n.Wrap), n.Program)
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(append(os.Environ(), n.Env...), "EDGE_CONFIG="+filepath.Join(n.Dir, n.Name+".json"))
	if n.Text != "" {
		cmd.Args = append(cmd.Args, "--config", filepath.Join(n.Dir, n.Name+".toml"))
	}
	if n.Listener != nil {
		cmd.ExtraFiles = []*os.File{n.Listener}
		cmd.Env = append(cmd.Env, "EDGE_ACCEPT_FD=3")
	}
	cmd.Stdout, cmd.Stderr = log, log
	// A lab that is killed outright must leave no node behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("node %s: %w", n.Name, err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.ordered, n.ready = cmd, ended, false, time.Time{}
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		n.err = err
		if s := cmd.ProcessState; s != nil {
			n.cpu += s.UserTime() + s.SystemTime()
		}
		n.mu.Unlock()
		close(ended)
	}()
	return ended, nil
}

func ready(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n")
	p, err := wire.ReadResponse(bufio.NewReader(c))
	return err == nil && p.Status == 200
}

func (n *Node) lastLine() string {
	lines := strings.Split(strings.TrimSpace(n.Log()), "\n")
	return lines[len(lines)-1]
}

// Signal sends one to the process, by its id.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil {
		return errors.New("not started")
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.ordered, n.ready = true, time.Time{}
		n.sample(n.cmd.Process.Pid)
	}
	return n.cmd.Process.Signal(s)
}

// sample notes the most memory that a process has held. Its parent's account of an ended child begins with the parent's own, at the fork.
func (n *Node) sample(pid int) {
	_, _, peak := Process(pid)
	n.rss = max(n.rss, peak)
}

// End stops the process, by force if it takes longer than that.
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

// Wait waits for the process's end and returns how it ended.
func (n *Node) Wait(most time.Duration) (ended bool, err error) {
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
	case <-time.After(most):
		return false, nil
	}
}

// Kill ends the process outright, if there is one.
func (n *Node) Kill() {
	if n.Signal(syscall.SIGKILL) != nil {
		return
	}
	n.Wait(10 * time.Second)
}

// Pid is the process's id.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Log is what the processes have written.
func (n *Node) Log() string {
	text, err := os.ReadFile(filepath.Join(n.Dir, n.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Crashed tells of an end that nobody asked for.
func (n *Node) Crashed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		if !n.ordered {
			return fmt.Errorf("node %s ended by itself: %v: %s", n.Name, n.err, n.lastLine())
		}
	default:
	}
	return nil
}

// Usage is the CPU time that the node's processes have taken and the most memory that one held, both so far.
func (n *Node) Usage() (cpu time.Duration, rss int64) {
	n.mu.Lock()
	cmd, cpu, rss := n.cmd, n.cpu, n.rss
	n.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return cpu, rss
	}
	used, _, peak := Process(cmd.Process.Pid)
	return cpu + used, max(rss, peak)
}

// Process reads what a process has used of a CPU, and its resident bytes, now and at most. It is zero for one that has gone.
func Process(pid int) (cpu time.Duration, rss, peak int64) {
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if len(f) > 12 {
			u, _ := strconv.Atoi(f[11])
			s, _ := strconv.Atoi(f[12])
			cpu = time.Duration(u+s) * 10 * time.Millisecond
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for line := range strings.SplitSeq(string(text), "\n") {
			for name, to := range map[string]*int64{"VmRSS:": &rss, "VmHWM:": &peak} {
				if kb, ok := strings.CutPrefix(line, name); ok {
					n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(kb), " kB"), 10, 64)
					*to = n << 10
				}
			}
		}
	}
	return cpu, rss, peak
}
