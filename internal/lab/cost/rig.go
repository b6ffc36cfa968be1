// Package cost measures what a node costs: CPU an RPC against servers, cores and callers, and memory an idle connection.
// Servers here are trivial and callers ask in a closed loop, so the figures say what the node adds and nothing about how
// it bears load; experiments (internal/lab/run) are for that.
package cost

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

// method is the one that all callers ask for.
const method = "find"

const body = "ok"

var answer = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n" + body)

// fine answers any request.
func fine([]byte) []byte { return answer }

// servers answers for as many trivial servers as there are loopback addresses, all on one listener.
type servers struct {
	ln   net.Listener
	port string
	mu   sync.Mutex
	open map[net.Conn]struct{}
	done sync.WaitGroup

	answer func(head []byte) []byte // to a request
}

func newServers(answer func(head []byte) []byte) (*servers, error) {
	ln, err := net.Listen("tcp4", "0.0.0.0:0") // loopback peers only, below
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(ln.Addr().String())
	s := &servers{ln: ln, port: port, open: map[net.Conn]struct{}{}, answer: answer}
	s.done.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if a, ok := c.RemoteAddr().(*net.TCPAddr); !ok || !a.IP.IsLoopback() {
				c.Close()
				continue
			}
			s.mu.Lock()
			s.open[c] = struct{}{}
			s.mu.Unlock()
			s.done.Go(func() { s.serve(c) })
		}
	})
	return s, nil
}

func (s *servers) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	buf, n := make([]byte, 1024), 0
	for {
		k, err := c.Read(buf[n:])
		if err != nil {
			return
		}
		n += k
		for {
			end := bytes.Index(buf[:n], []byte("\r\n\r\n"))
			if end < 0 {
				break
			}
			if _, err := c.Write(s.answer(buf[:end+4])); err != nil {
				return
			}
			n = copy(buf, buf[end+4:n])
		}
		if n == len(buf) {
			return
		}
	}
}

func (s *servers) addr(i int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 1+i/62500, i/250%250, i%250+1), s.port)
}

func (s *servers) close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// Rig is servers, discovery and a node, for one measurement.
type Rig struct {
	servers *servers
	owned   bool // and no other rig's
	disc    *standin.Discovery
	node    *standin.Node
	members []standin.Member
	dir     string // of the node's files
	stop    chan struct{}
	done    sync.WaitGroup
}

// Shape is what a rig is made of.
type Shape struct {
	Program  string
	Servers  int
	Cores    int
	MemoryMB int
	Sockets  int
	Churn    int           // servers that leave and come a second
	More     string        // of the operator's file, if the node is to have one: tables beside the usual
	Env      []string      // beside this process's own
	Picks    int           // of an RPC at most; 0: 3
	Deadline time.Duration // of the method, its latency target half of it; 0: 6 s and 2.5 s
	NoCopies bool          // no second pick while the first is out

	from *servers // another rig's; nil: its own
}

// NewRig starts one.
func NewRig(ctx context.Context, s Shape) (r *Rig, err error) {
	r = &Rig{stop: make(chan struct{})}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.dir, err = os.MkdirTemp("", "cost"); err != nil {
		return nil, err
	}
	if r.servers = s.from; r.servers == nil {
		if r.servers, err = newServers(fine); err != nil {
			return nil, err
		}
		r.owned = true
	}
	r.disc = standin.NewDiscovery(&judge.Ledger{}, time.Now())
	for i := range s.Servers {
		r.members = append(r.members, standin.Member{ID: fmt.Sprintf("s%d", i), Addr: r.servers.addr(i), Zone: "z1", Phase: "ready", Size: 1})
	}
	r.disc.Update(r.members...)
	door, err := r.disc.Listen(0, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	revision, members := r.disc.List()
	r.node = &standin.Node{Name: "n1", Addr: addr, Program: s.Program, Dir: r.dir, Env: s.Env, Config: platform(s, 0, door.Addr(), revision, members)}
	if s.More != "" {
		r.node.Text = fmt.Sprintf("name = \"n1\"\nlisten = [%q]\n[machine]\ncores = %d\nmemory_mb = %d\nsockets = %d\n%s\n"+
			"[[service]]\nname = \"find\"\ndiscovery = %q\nguarantee = 1\n[[service.method]]\nname = \"find\"\nrepeat = \"idempotent\"\n"+
			"target = \"2500ms\"\ndeadline = \"6s\"\n[[route]]\nto = \"find\"\n", addr, s.Cores, s.MemoryMB, s.Sockets, s.More, door.Addr())
	}
	if err = r.node.Start(ctx); err != nil {
		return nil, err
	}
	if s.Churn > 0 {
		r.done.Go(func() { r.churn(s.Churn) })
	}
	return r, nil
}

// platform is a node's configuration in the platform's words, but for where it listens and its name.
func platform(s Shape, stage int, discovery string, revision int64, members []standin.Member) map[string]any {
	picks, target, deadline := 3, 2500*time.Millisecond, 6*time.Second
	if s.Picks > 0 {
		picks = s.Picks
	}
	if s.Deadline > 0 {
		target, deadline = s.Deadline/2, s.Deadline
	}
	return map[string]any{
		"discovery": discovery, "seed": strconv.Itoa(1 + stage), "limits": map[string]any{"cores": s.Cores, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known": map[string]any{"revision": revision, "complete": true, "members": members},
		"settings": map[string]any{
			"Classes": []map[string]any{{"Name": method, "AimMs": target.Milliseconds(), "DeadlineMs": deadline.Milliseconds(), "Credit": 1, "Repeat": "repeatable"}},
			"Tenants": []any{}, "Zones": []string{"z1"}, "MyZone": 0, "Stage": stage, "Instances": 1, "RegistryMode": "subscribe",
			"Limits": map[string]any{"MaxAttempts": picks, "MayCancel": true, "RetryAfter": true, "SecondCopies": !s.NoCopies, "MaxRetryAfterMs": 2000,
				"ConnectTimeoutMs": 1000, "ConnIdleMs": 60000},
			"Rules": map[string]any{"MustAskInMs": 10000, "StopSendingWithinMs": 400}}}
}

// churn lets servers leave and others come in their places.
func (r *Rig) churn(perSecond int) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		case <-tick.C:
		}
		m := &r.members[i%len(r.members)]
		old := *m
		old.Phase = "gone"
		m.ID = fmt.Sprintf("%s+", m.ID)
		r.disc.Update(old, *m)
	}
}

// Close ends all of it.
func (r *Rig) Close() {
	close(r.stop)
	r.done.Wait()
	if r.node != nil {
		r.node.End(10 * time.Second)
	}
	if r.disc != nil {
		r.disc.Stop()
	}
	if r.owned {
		r.servers.close()
	}
	os.RemoveAll(r.dir)
}

// memory reads a process's resident bytes: all, and those that no file backs.
func memory(pid int) (all, anonymous int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		for name, to := range map[string]*int64{"VmRSS:": &all, "RssAnon:": &anonymous} {
			if kb, ok := strings.CutPrefix(line, name); ok {
				n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(kb), " kB"), 10, 64)
				*to = n << 10
			}
		}
	}
	return all, anonymous
}

// caller is one connection that asks and waits.
type caller struct {
	net.Conn
	id  uint64
	out []byte
	in  []byte
}

func dial(addr, from string, id int) (*caller, error) {
	d := net.Dialer{Timeout: 10 * time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &caller{Conn: c, id: uint64(id) << 32}, nil
}

// ask sends one RPC and returns its answer's status.
func (c *caller) ask() (int, error) {
	c.id++
	return c.askFor(method, 5*time.Second)
}

// askFor does it under the id that is set.
func (c *caller) askFor(path string, left time.Duration) (int, error) {
	c.out = fmt.Appendf(c.out[:0], "GET /%s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n\r\n", path, c.id, method, max(1, left.Milliseconds()))
	if _, err := c.Write(c.out); err != nil {
		return 0, err
	}
	return c.hear()
}

func (c *caller) hear() (int, error) {
	if c.in == nil {
		c.in = make([]byte, 512)
	}
	for n := 0; ; {
		k, err := c.Read(c.in[n:])
		if err != nil {
			return 0, err
		}
		n += k
		head := bytes.Index(c.in[:n], []byte("\r\n\r\n"))
		if head < 0 {
			continue
		}
		size := 0
		if i := bytes.Index(c.in[:head], []byte("Content-Length: ")); i >= 0 {
			size, _ = strconv.Atoi(string(c.in[i+16 : i+16+bytes.IndexByte(c.in[i+16:head+2], '\r')]))
		}
		if n >= head+4+size {
			return strconv.Atoi(string(c.in[9:12]))
		}
	}
}
