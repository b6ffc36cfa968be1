package cost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// mostRelayed bounds a relay's connections.
const mostRelayed = 4096

// Relay copies bytes between each connection that it takes and a server's, and nothing else: a goroutine each way, as any
// simple relay in Go. What a node costs beyond it is the node's own. It says on out where it listens, and ends with the
// context.
func Relay(ctx context.Context, to []string, cores int, out io.Writer) error {
	if len(to) == 0 || cores < 1 {
		return fmt.Errorf("a relay needs a server at least, and a core")
	}
	for _, a := range to {
		host, _, err := net.SplitHostPort(a)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%q is no loopback address with a port", a)
		}
	}
	runtime.GOMAXPROCS(cores)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	fmt.Fprintln(out, ln.Addr())
	var open atomic.Int32
	for i := 0; ; i++ {
		c, err := ln.Accept()
		if err != nil {
			return nil // closed
		}
		if open.Add(1) > mostRelayed {
			open.Add(-1)
			c.Close()
			continue
		}
		go func() {
			defer open.Add(-1)
			defer c.Close()
			s, err := net.DialTimeout("tcp4", to[i%len(to)], time.Second)
			if err != nil {
				return
			}
			defer s.Close()
			var both sync.WaitGroup
			both.Go(func() { pass(s, c) })
			pass(c, s)
			both.Wait()
		}()
	}
}

// pass copies one way until either end closes; then both do. Reads and writes are plain: the kernel's splice, which io.Copy
// would take, is two system calls more for the few bytes of a call.
func pass(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// relayProcess is a relay in a process of its own.
type relayProcess struct {
	addr string
	cmd  *exec.Cmd
}

// startRelay runs a program that has the command relay.
func startRelay(program string, to []string, cores int) (*relayProcess, error) {
	cmd := exec.Command(program, "relay", "--to", strings.Join(to, ","), "--cores", strconv.Itoa(cores))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // as the nodes
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("the relay: %w", err)
	}
	r := &relayProcess{cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	if r.addr = strings.TrimSpace(line); err != nil || r.addr == "" {
		r.end()
		return nil, fmt.Errorf("the relay did not say where it listens: %v", err)
	}
	return r, nil
}

func (r *relayProcess) end() {
	r.cmd.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(5*time.Second, func() { r.cmd.Process.Kill() })
	r.cmd.Wait()
	late.Stop()
}
