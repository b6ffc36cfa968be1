package chaos

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/lab/standin"
)

const (
	// maxReplicaStart bounds a controller's time until it serves a list.
	maxReplicaStart = 30 * time.Second
	// replicaPollInterval is how often it is polled until then.
	replicaPollInterval = 20 * time.Millisecond
	replicaDialTimeout  = time.Second
	// proxyDialTimeout bounds the proxy's connect to a replica before it tries the next one.
	proxyDialTimeout = 200 * time.Millisecond
)

// replica is a controller as a process of its own.
type replica struct {
	name   string
	list   string // the address of its service's list
	status string // the address of its status page
	file   string // its configuration

	mu  sync.Mutex
	cmd *exec.Cmd // nil: it does not run
}

// newReplica is a replica with addresses that are free. Its configuration is still to be written.
func newReplica(dir, name string) (*replica, error) {
	list, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	status, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return &replica{name: name, list: list, status: status, file: filepath.Join(dir, name+".toml")}, nil
}

func (r *replica) writeConfig(text string) error { return os.WriteFile(r.file, []byte(text), 0o600) }

func (r *replica) logPath() string { return r.file + ".log" }

// start starts the process.
func (r *replica) start(program string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	log, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command(program, "--config", r.file)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return r.cmd.Start()
}

// kill kills the process, if there is one, and waits for its end.
func (r *replica) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil && r.cmd.Process != nil {
		r.cmd.Process.Kill()
		r.cmd.Wait()
		r.cmd = nil
	}
}

// pid is the process's id.
func (r *replica) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// awaitReady waits until the replica serves a list: it listens once its view is complete.
func (r *replica) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(maxReplicaStart); time.Now().Before(deadline) && ctx.Err() == nil; {
		conn, err := net.DialTimeout("tcp", r.list, replicaDialTimeout)
		if err == nil {
			conn.Close()
			return nil
		}
		time.Sleep(replicaPollInterval)
	}
	log, _ := os.ReadFile(r.logPath())
	return fmt.Errorf("%s serves no list: %s", r.name, log)
}

// proxyToReplicas carries each connection to the next replica that listens, until its listener is closed.
func proxyToReplicas(listener net.Listener, replicas []*replica) {
	var next atomic.Int64
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for range replicas {
				chosen := replicas[int(next.Add(1))%len(replicas)]
				to, err := net.DialTimeout("tcp", chosen.list, proxyDialTimeout)
				if err == nil {
					carry(conn, to)
					return
				}
			}
		}()
	}
}

// carry copies bytes both ways between a client and a replica until either of them closes its connection.
func carry(client, replica net.Conn) {
	defer replica.Close()
	go func() {
		io.Copy(replica, client)
		replica.Close()
	}()
	io.Copy(client, replica)
}
