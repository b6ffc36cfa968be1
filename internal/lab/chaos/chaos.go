// Package chaos kills nodes and their store of record at random points under load, and looks whether anything was lost.
package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"robincart/internal/controlplane/recordcache"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/pgstand"
	"robincart/internal/lab/standin"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// Record is one run.
type Record struct {
	Program string
	For     time.Duration
	Seed    int64
	Nodes   int
	Servers int
	Rate    int // requests a second to each node
	SQLite  bool
	Slack   time.Duration // beyond the grace, where the machine may stall and the verdict must not hang on that
	Env     []string      // of the nodes, beside this process's own

	dir    string
	begin  time.Time
	rng    *rand.Rand // the faults'
	pg     *pgstand.Server
	pgPort string
	addr   string // of the store
	disc   *standin.Discovery
	nodes  []*one
	ln     net.Listener
	stop   chan struct{}

	mu      sync.Mutex
	servers []*server
	Counts  map[string]int
	Broken  []string
}

// one is a node and what is known of it.
type one struct {
	*standin.Node
	status string
	downs  []time.Time // when it was killed
	dead   bool        // from its kill until it is ready again
	since  map[string]time.Time
}

// server is one name in the list, with the process that runs under it now.
type server struct {
	id, addr string
	member   standin.Member
	start    int64
	drained  bool              // somebody's word
	known    map[int]time.Time // by node: since when it must know that for good
	acked    int64             // revision of the recorded drain
	asked    time.Time
}

const grace = 400 * time.Millisecond

func (r *Record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Counts[what]++
}

func (r *Record) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Broken) < 20 {
		r.Broken = append(r.Broken, fmt.Sprintf("%.3f s: ", time.Since(r.begin).Seconds())+fmt.Sprintf(format, args...))
	}
}

// Play runs it. The error is what kept it from being played; what was found broken is in Broken.
func (r *Record) Play(ctx context.Context) (err error) {
	r.Counts, r.begin, r.stop = map[string]int{}, time.Now(), make(chan struct{})
	r.rng = rand.New(rand.NewSource(r.Seed))
	if r.dir, err = os.MkdirTemp("", "chaos"); err != nil {
		return err
	}
	defer os.RemoveAll(r.dir)
	if r.ln, err = net.Listen("tcp4", "0.0.0.0:0"); err != nil {
		return err
	}
	defer r.ln.Close()
	go serveAll(r.ln, r.asked)
	if err := r.startStore(); err != nil {
		return err
	}
	defer func() {
		if r.pg != nil {
			r.pg.Stop()
		}
	}()
	s, err := sqlstore.Open(r.addr)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, err := s.Init(ctx, false); err != nil {
		return err
	}
	r.disc = standin.NewDiscovery(&judge.Ledger{}, r.begin)
	defer r.disc.Stop()
	_, port, _ := net.SplitHostPort(r.ln.Addr().String())
	for i := range r.Servers {
		x := &server{id: fmt.Sprintf("s%d", i), addr: fmt.Sprintf("127.9.0.%d:%s", i+1, port), start: 1000, known: map[int]time.Time{}}
		x.member = standin.Member{ID: x.id, Addr: x.addr, Zone: "a", Phase: "ready", Size: 1, UpSince: x.start}
		r.servers = append(r.servers, x)
		r.disc.Update(x.member)
	}
	for i := range r.Nodes {
		if err := r.addNode(ctx, i); err != nil {
			return err
		}
	}
	defer func() {
		for _, n := range r.nodes {
			n.Kill()
		}
	}()
	life, end := context.WithTimeout(ctx, r.For)
	defer end()
	var all sync.WaitGroup
	for i := range r.nodes {
		all.Go(func() { r.load(life, i) })
		all.Go(func() { r.watch(life, i) })
	}
	all.Go(func() { r.drains(life, s) })
	all.Go(func() { r.faults(life) })
	all.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return r.settle(ctx)
}

func (r *Record) startStore() (err error) {
	if r.SQLite {
		r.addr = "sqlite:" + filepath.Join(r.dir, "record.db")
		return nil
	}
	at := "127.0.0.1:0"
	if r.pgPort != "" {
		at = "127.0.0.1:" + r.pgPort
	}
	if r.pg, err = pgstand.Start(at, filepath.Join(r.dir, "rows")); err != nil {
		return err
	}
	r.addr = r.pg.Address()
	_, rest, _ := strings.Cut(r.addr, "@")
	hostport, _, _ := strings.Cut(rest, "/")
	_, r.pgPort, _ = net.SplitHostPort(hostport)
	return nil
}

func (r *Record) addNode(ctx context.Context, i int) error {
	door, err := r.disc.Listen(int32(i), "127.0.0.1:0")
	if err != nil {
		return err
	}
	addr, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	status, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("n%d", i)
	n := &one{status: status, since: map[string]time.Time{}, Node: &standin.Node{Name: name, Addr: addr, Program: r.Program, Dir: r.dir, Env: r.Env,
		Text: fmt.Sprintf("name = %q\nlisten = [%q]\n[record]\nstore = %q\nsnapshot = %q\nstatus = %q\ntimeout = \"500ms\"\npoll = \"200ms\"\n"+
			"[[service]]\nname = \"s\"\ndiscovery = %q\nguarantee = 1\nnodes = %d\n[[service.method]]\nname = \"find\"\nrepeat = \"idempotent\"\ntarget = \"1s\"\ndeadline = \"2s\"\n"+
			"[[route]]\nto = \"s\"\n", name, addr, r.addr, filepath.Join(r.dir, name+".snap"), status, door.Addr(), r.Nodes)}}
	r.nodes = append(r.nodes, n)
	return n.Start(ctx)
}

// serveAll is all servers, on one listener. It notes each request: at which address, and what for.
func serveAll(ln net.Listener, note func(addr, head string)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			addr := c.LocalAddr().String()
			buf, n := make([]byte, 4096), 0
			for {
				k, err := c.Read(buf[n:])
				if err != nil {
					return
				}
				n += k
				end := bytes.Index(buf[:n], []byte("\r\n\r\n"))
				if end < 0 {
					continue
				}
				note(addr, string(buf[:end]))
				n = copy(buf, buf[end+4:n])
				c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}()
	}
}

// ask sends one request on a connection of its own and returns all that comes. It is false where nobody listens.
func ask(addr, target string, node, id int) (text []byte, connected bool) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Trace-Id: %x.%x\r\nX-Qos: find\r\nX-Expires-In-Ms: 2000\r\n\r\n", target, node, id)
	text, _ = io.ReadAll(io.LimitReader(c, 4096))
	return text, true
}

func (r *Record) asked(addr, head string) {
	now := time.Now()
	var node int
	fmt.Sscanf(head, "GET /find/n%d ", &node)
	r.mu.Lock()
	bad := ""
	for _, s := range r.servers {
		if s.addr == addr {
			s.asked = now
			if at, ok := s.known[node]; ok && now.After(at.Add(grace+r.Slack)) {
				bad = fmt.Sprintf("%s was asked by n%d %v after that knew of its drain", s.id, node, now.Sub(at).Round(time.Millisecond))
			}
		}
	}
	r.mu.Unlock()
	if bad != "" {
		r.broken("%s", bad)
	}
}

// steadily calls f so many times a second, each beside the others, until the context ends; then it waits for all.
func steadily(ctx context.Context, rate int, f func(id int)) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for id := 0; ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		all.Go(func() { f(id) })
	}
}

// load asks a node steadily. Every request whose connection outlives it gets one answer.
func (r *Record) load(ctx context.Context, i int) {
	n := r.nodes[i]
	steadily(ctx, r.Rate, func(id int) {
		from := time.Now()
		text, connected := ask(n.Addr, fmt.Sprintf("/find/n%d", i), i, id)
		if !connected {
			r.count("not connected")
			return
		}
		answers := bytes.Count(text, []byte("HTTP/1.1 "))
		switch {
		case answers == 1 && bytes.Contains(text, []byte(" 200 ")):
			r.count("ok")
		case answers == 1:
			r.count("not ok")
		case answers > 1:
			r.broken("n%d gave %d answers to one request", i, answers)
		case r.killedIn(n, from):
			r.count("lost with its node")
		default:
			r.broken("n%d gave no answer within %v", i, time.Since(from))
		}
	})
}

func (r *Record) killedIn(n *one, from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.dead { // a killed process may take its time to go, and the kernel accepts for it meanwhile
		return true
	}
	for _, at := range n.downs {
		if at.After(from.Add(-50 * time.Millisecond)) {
			return true
		}
	}
	return false
}

// status reads a node's page.
func (o *one) read() (s recordcache.Status, err error) {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + o.status + "/record")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// watch learns what a node knows. A drain that it has shown for half a second, without being killed, it must know for good:
// by then it is in the node's snapshot or in the store.
func (r *Record) watch(ctx context.Context, i int) {
	n := r.nodes[i]
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s, err := n.read()
		now := time.Now()
		r.mu.Lock()
		if err != nil || len(n.downs) > 0 && now.Sub(n.downs[len(n.downs)-1]) < 100*time.Millisecond {
			clear(n.since)
			r.mu.Unlock()
			continue
		}
		shown := map[string]bool{}
		for _, d := range s.Draining {
			shown[strings.TrimPrefix(d.Server, "s/")] = true
		}
		for _, x := range r.servers {
			key := fmt.Sprint(x.id, x.start)
			switch {
			case !x.drained || !shown[x.id]:
				delete(n.since, key)
			case n.since[key].IsZero():
				n.since[key] = now
			case now.Sub(n.since[key]) > 500*time.Millisecond && x.known[i].IsZero():
				x.known[i] = now
			}
		}
		r.mu.Unlock()
	}
}

// drains drains servers, by the record and by discovery, which then forgets it, and later starts new processes in their
// places.
func (r *Record) drains(ctx context.Context, s store.Store) {
	rng := rand.New(rand.NewSource(r.Seed + 1))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(100+rng.Intn(200)) * time.Millisecond)
		r.mu.Lock()
		var ready, done []*server
		for _, x := range r.servers {
			if x.drained {
				done = append(done, x)
			} else {
				ready = append(ready, x)
			}
		}
		r.mu.Unlock()
		if len(done) > len(r.servers)/2 { // a new process
			x := done[rng.Intn(len(done))]
			r.mu.Lock()
			x.start += 1000
			x.drained, x.known, x.acked = false, map[int]time.Time{}, 0
			x.member.Phase, x.member.UpSince = "ready", x.start
			m := x.member
			r.mu.Unlock()
			r.disc.Update(m)
			r.count("new processes")
			continue
		}
		x := ready[rng.Intn(len(ready))]
		if rng.Intn(2) == 0 {
			r.mu.Lock()
			x.drained = true
			m := x.member
			r.mu.Unlock()
			m.Phase = "draining"
			r.disc.Update(m)
			time.Sleep(time.Duration(rng.Intn(300)) * time.Millisecond)
			m.Phase = "ready" // discovery has forgotten it
			r.disc.Update(m)
			r.count("drains by discovery, forgotten by it")
			continue
		}
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		meta, err := s.Meta(call)
		var facts []record.Entry
		if err == nil {
			value, _ := json.Marshal(record.Drain{Start: x.start, Since: time.Now().UnixMilli(), By: "chaos"})
			c := []record.Change{{Key: record.Key{Kind: record.KindDrain, Name: "s/" + x.id}, ExpectedRevision: record.AnyRevision, Writer: "chaos", IdempotencyKey: fmt.Sprint("chaos", n), Value: value}}
			r.mu.Lock()
			x.drained = true // even if nobody learns whether it was written
			r.mu.Unlock()
			facts, _, err = s.Write(call, meta.Epoch, c)
		}
		cancel()
		var stale *record.StaleError
		switch {
		case err == nil:
			r.mu.Lock()
			x.acked = facts[0].Revision
			r.mu.Unlock()
			r.count("drains by the record, acknowledged")
		case errors.As(err, &stale):
			r.count("drains that were known already")
		default:
			r.count("drains that the store did not acknowledge")
		}
	}
}

// faults kills and hinders.
func (r *Record) faults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+r.rng.Intn(1200)) * time.Millisecond)
		what := r.rng.Intn(8)
		if r.pg == nil && what > 1 {
			what = r.rng.Intn(2)
		}
		switch what {
		case 0, 1:
			r.killNode(ctx, r.rng.Intn(len(r.nodes)))
		case 2, 3:
			r.count("store killed")
			if r.pg.Stop(); what == 3 {
				r.killNode(ctx, r.rng.Intn(len(r.nodes)))
			}
			time.Sleep(time.Duration(r.rng.Intn(2500)) * time.Millisecond)
			for r.startStore() != nil {
				time.Sleep(20 * time.Millisecond)
			}
		case 4:
			r.count("store stalled")
			r.pg.Stall(true)
			time.Sleep(time.Duration(r.rng.Intn(2000)) * time.Millisecond)
			r.pg.Stall(false)
		case 5:
			r.count("connections cut in a transaction")
			r.pg.CutIn(1 + r.rng.Intn(12))
		case 6:
			r.count("commits of unknown outcome")
			r.pg.Commit([]pgstand.CommitFault{pgstand.CommitThenCut, pgstand.CutInstead}[r.rng.Intn(2)], 1+r.rng.Intn(3))
		case 7:
			r.count("errors answered")
			r.pg.Fail([]string{"40001", "53300", "25006", "57P03"}[r.rng.Intn(4)], 1+r.rng.Intn(5))
		}
	}
}

func (r *Record) killNode(ctx context.Context, i int) {
	n := r.nodes[i]
	if err := n.Crashed(); err != nil { // before it is killed on purpose
		r.broken("%v", err)
	}
	r.mu.Lock()
	n.downs, n.dead = append(n.downs, time.Now()), true
	r.mu.Unlock()
	n.Signal(syscall.SIGKILL)
	n.Wait(5 * time.Second)
	time.Sleep(time.Duration(r.rng.Intn(300)) * time.Millisecond)
	if err := n.Start(context.WithoutCancel(ctx)); err != nil {
		r.broken("n%d does not start again: %v", i, err)
		return
	}
	r.mu.Lock()
	n.downs, n.dead = append(n.downs, time.Now()), false
	r.mu.Unlock()
	r.count("nodes killed")
}

// settle waits until all is well again, and looks at what is left. It does so over connections of its own and with no order
// left to break them: else the last fault would meet the look instead of a node.
func (r *Record) settle(ctx context.Context) error {
	if r.pg != nil {
		r.pg.ClearFaults()
	}
	s, err := sqlstore.Open(r.addr)
	if err != nil {
		return err
	}
	defer s.Close()
	limit := time.Now().Add(30 * time.Second)
	for i, n := range r.nodes {
		for {
			st, err := n.read()
			if err == nil && st.SyncState == "follows" && st.Pending == 0 && st.Error == "" {
				break
			}
			if time.Now().After(limit) {
				r.broken("n%d does not come to rest: %+v, %v", i, st, err)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	wrong, err := s.Verify(ctx)
	if err != nil {
		return err
	}
	for _, w := range wrong {
		r.broken("the store: %s", w)
	}
	page, err := s.Since(ctx, 0, 1<<20)
	if err != nil {
		return err
	}
	there := map[string]record.Drain{}
	for _, f := range page.Entries {
		var d record.Drain
		if f.Kind == record.KindDrain && !f.Deleted && json.Unmarshal(f.Value, &d) == nil {
			there[strings.TrimPrefix(f.Name, "s/")] = d
		}
	}
	for i, n := range r.nodes {
		st, err := n.read()
		if err != nil {
			return err
		}
		shown := map[string]bool{}
		for _, d := range st.Draining {
			shown[strings.TrimPrefix(d.Server, "s/")] = true
		}
		r.mu.Lock()
		var lost []string
		for _, x := range r.servers {
			if _, known := x.known[i]; (x.acked > 0 || known) && !shown[x.id] {
				lost = append(lost, fmt.Sprintf("n%d does not know the drain of %s any more", i, x.id))
			}
			if d, ok := there[x.id]; x.acked > 0 && (!ok || d.Start < x.start) {
				lost = append(lost, fmt.Sprintf("the store has lost the drain of %s, acknowledged at revision %d", x.id, x.acked))
			}
			if !x.drained && shown[x.id] {
				lost = append(lost, fmt.Sprintf("n%d takes the new process of %s for the old one", i, x.id))
			}
		}
		r.mu.Unlock()
		for _, l := range lost {
			r.broken("%s", l)
		}
	}
	return nil
}
