package cost

import (
	"bufio"
	"context"
	"errors"
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

// ProxyCommand is the subcommand of robinlab that runs a proxy.
const ProxyCommand = "relay"

const (
	maxProxied          = 4096 // connections
	proxyConnectTimeout = time.Second
	proxyEndTimeout     = 5 * time.Second
	proxyBufferBytes    = 32 << 10
)

// errNoProxyAddress reports a proxy that ended, or printed something else, before it printed its address.
var errNoProxyAddress = errors.New("the relay printed no address")

// RunProxy copies bytes between each connection that it accepts and one to a server, and does nothing else, with a
// goroutine for each direction, as any simple proxy in Go. What a node costs beyond it is the node's own. The servers
// are taken in turn. It prints its address and ends with the context.
func RunProxy(ctx context.Context, servers []string, cores int, out io.Writer) error {
	if len(servers) == 0 || cores < 1 {
		return errors.New("a relay needs a server at least, and a core")
	}
	for _, address := range servers {
		host, _, err := net.SplitHostPort(address)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%q is no loopback address with a port", address)
		}
	}
	runtime.GOMAXPROCS(cores)
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	fmt.Fprintln(out, listener.Addr())
	var open atomic.Int32
	for i := 0; ; i++ {
		conn, err := listener.Accept()
		if err != nil {
			return nil // the listener was closed
		}
		if open.Add(1) > maxProxied {
			open.Add(-1)
			conn.Close()
			continue
		}
		server := servers[i%len(servers)]
		go func() {
			defer open.Add(-1)
			proxyConn(conn, server)
		}()
	}
}

// proxyConn copies both ways until either end closes.
func proxyConn(client net.Conn, address string) {
	defer client.Close()
	server, err := net.DialTimeout("tcp4", address, proxyConnectTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	var request sync.WaitGroup
	request.Go(func() { copyBytes(server, client) })
	copyBytes(client, server)
	request.Wait()
}

// copyBytes copies one way until either end closes; then both do. It reads and writes plainly: the kernel's splice,
// which io.Copy would use, takes two system calls more for the few bytes of a call.
func copyBytes(to, from net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// proxyProcess is a proxy in a process of its own.
type proxyProcess struct {
	address string
	command *exec.Cmd
}

// startProxy runs robinlab's proxy subcommand. The kernel ends it with this process, as it ends nodes.
func startProxy(labProgram string, servers []string, cores int) (*proxyProcess, error) {
	command := exec.Command(labProgram, ProxyCommand,
		"--to", strings.Join(servers, ","), "--cores", strconv.Itoa(cores))
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("the relay: %w", err)
	}
	proxy := &proxyProcess{command: command}
	line, err := bufio.NewReader(output).ReadString('\n')
	proxy.address = strings.TrimSpace(line)
	if err != nil || proxy.address == "" {
		proxy.end()
		return nil, errors.Join(errNoProxyAddress, err)
	}
	return proxy, nil
}

// end asks the process to end, and ends it if it takes too long.
func (p *proxyProcess) end() {
	p.command.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(proxyEndTimeout, func() { p.command.Process.Kill() })
	defer kill.Stop()
	p.command.Wait()
}
