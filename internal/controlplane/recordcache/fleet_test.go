package recordcache

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/controlplane/recordserver"
	"robincart/internal/core/node"
	"robincart/internal/lab/pgstand"
	"robincart/internal/lab/traffic"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// TestMain serves the stand-in of the store, or three replicas' relays, where a measurement has started this binary for that: their CPU is to be told by
// itself.
func TestMain(m *testing.M) {
	rows, of := os.Getenv("ROBINCART_PGSTAND_ROWS"), os.Getenv("ROBINCART_RELAYS_OF")
	var counts func() counted
	switch {
	case rows != "":
		s, err := pgstand.Start("127.0.0.1:0", rows)
		if err != nil {
			panic(err)
		}
		fmt.Println(s.Address())
		counts = func() counted { return counted{Counts: s.Counts()} }
	case of != "":
		var addrs []string
		var all []*traffic.Listener
		for range 3 {
			up, err := sqlstore.OpenExisting(of)
			if err != nil {
				panic(err)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				panic(err)
			}
			r, t := recordserver.New(up, recordserver.DefaultConfig(), zap.NewNop()), traffic.Listen(ln)
			go r.Run(context.Background())
			go store.ServeWithLimits(context.Background(), t, r, recordserver.ClientLimits(5000))
			addrs, all = append(addrs, ln.Addr().String()), append(all, t)
		}
		fmt.Println(strings.Join(addrs, ","))
		counts = func() (c counted) {
			for _, t := range all {
				x := t.Counts()
				c.Bytes, c.Segments, c.Connections = c.Bytes+x.Bytes, c.Segments+x.Segments, c.Connections+x.Connections
			}
			return c
		}
	default:
		os.Exit(m.Run())
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); { // a line asks for the counts
		c := counts()
		c.CPU, c.Resident = used(syscall.RUSAGE_SELF), resident()
		text, _ := json.Marshal(c)
		fmt.Println(string(text))
	}
}

type counted struct {
	pgstand.Counts
	CPU      time.Duration
	Resident int // KB
}

func used(who int) time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(who, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func resident() (kb int) {
	text, _ := os.ReadFile("/proc/self/status")
	if _, after, ok := strings.Cut(string(text), "VmRSS:"); ok {
		fmt.Sscan(after, &kb)
	}
	return kb
}

// distant is the stand-in, or the relays, in a process of its own.
type distant struct {
	Address string
	ask     func() counted
}

func newDistant(b testing.TB, env string) *distant {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), env)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(b, err)
	out, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() { in.Close(); cmd.Process.Kill(); cmd.Wait() })
	lines := bufio.NewScanner(out)
	require.True(b, lines.Scan())
	return &distant{Address: lines.Text(), ask: func() (c counted) {
		fmt.Fprintln(in)
		require.True(b, lines.Scan())
		require.NoError(b, json.Unmarshal(lines.Bytes(), &c))
		return c
	}}
}

// waits is a core that tells when a server is drained.
type waits struct {
	id   string
	seen atomic.Bool
	done func()
}

func (w *waits) UpdateEndpoints(entries []node.Endpoint, _ bool) {
	for _, e := range entries {
		if e.ID == w.id && e.State == decide.Draining && !w.seen.Swap(true) {
			w.done()
		}
	}
}
func (w *waits) EndpointWatchFailed(node.WatchFailure) {}

// BenchmarkFleet is what a fleet's nodes ask of the store of record, each by itself or through three replicas of the controller: at their start, at rest, for a
// drain that an operator records, for one that discovery tells all nodes, and for an operator's while discovery tells of a zone's end. Bytes a node are
// those that it sends and gets for the record. Quiet is when nobody has written for two seconds.
func BenchmarkFleet(b *testing.B) {
	for _, how := range []string{"direct", "controllers"} {
		for _, n := range []int{14, 27, 55, 110, 220, 440} {
			b.Run(fmt.Sprint(how, "/", n), func(b *testing.B) {
				for b.Loop() {
					fleet(b, n, how == "controllers")
				}
			})
		}
	}
}

func fleet(b *testing.B, n int, relayed bool) {
	d := newDistant(b, "ROBINCART_PGSTAND_ROWS="+filepath.Join(b.TempDir(), "rows"))
	db, err := sqlstore.Open(d.Address)
	require.NoError(b, err)
	defer db.Close()
	_, err = db.Init(b.Context(), false)
	require.NoError(b, err)
	nodes, relays := d, (*distant)(nil)
	open := func() (store.Store, error) { return sqlstore.Open(d.Address) }
	replica := 0
	if relayed {
		relays = newDistant(b, "ROBINCART_RELAYS_OF="+d.Address)
		nodes = relays
		open = func() (store.Store, error) { // a third begins at each
			addrs := strings.Split(relays.Address, ",")
			replica++
			return store.DialControllers(append(addrs[replica%3:], addrs[:replica%3]...), nil), nil
		}
	}
	const services, servers = 30, 15
	list := func(replica int, phase decide.State, from, to int) (l []node.Endpoint) { // each replica of the controller numbers its lists by itself
		for i := from; i < to; i++ {
			l = append(l, node.Endpoint{ID: fmt.Sprint("pod-", i), Addr: fmt.Sprintf("10.0.0.%d:8080", i), State: phase, Weight: 1, StartedAt: time.UnixMilli(1000),
				Revision: int64(1000*replica + 1)})
		}
		return l
	}
	quiet := func() (at time.Time) {
		at = time.Now()
		for last := d.ask().Commits; time.Since(at) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
			if c := d.ask().Commits; c != last {
				last, at = c, time.Now()
			}
		}
		return at
	}
	type sum struct {
		store, nodes, relays counted
		mine                 time.Duration
	}
	all := func() (s sum) {
		s.store, s.nodes, s.mine = d.ask(), nodes.ask(), used(syscall.RUSAGE_SELF)
		if relays != nil {
			s.relays = relays.ask()
		}
		return s
	}
	var ks []*Cache
	var sinks [][]*Subscription
	begun := time.Now()
	for i := range n {
		k, err := Open(b.Context(), Config{Name: fmt.Sprint("n", i), Store: "stand-in", Open: open, MaxPending: 10_000, CallTimeout: 2 * time.Second, PollInterval: time.Second,
			MaxStaleness: 10 * time.Minute}, zap.NewNop())
		require.NoError(b, err)
		defer k.Close()
		ks = append(ks, k)
		var of []*Subscription
		for s := range services {
			x := k.Subscribe(fmt.Sprint("s", s), &core{})
			x.UpdateEndpoints(list(i%3, decide.Ready, 0, servers), true)
			of = append(of, x)
		}
		sinks = append(sinks, of)
	}
	waiting := func() (w int) {
		for _, k := range ks {
			w += k.Status().Pending
		}
		return w
	}
	for time.Since(begun) < 60*time.Second && waiting() > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	a := all()
	b.Logf("start: all written after %v, %d changes still wait; %d commits, %d statements, store's CPU %v, %d connections at most; relays' CPU %v, %d MB", time.Since(begun).Round(time.Millisecond),
		waiting(), a.store.Commits, a.store.Statements, a.store.CPU, a.store.Most, a.relays.CPU, a.relays.Resident>>10)
	quiet()
	const rest = 10
	a = all()
	time.Sleep(rest * time.Second)
	c := all()
	b.Logf("at rest: %d connections at the store; a node and second %.0f bytes, %.2f ms of CPU; store's CPU %.1f ms/s, relays' %.1f ms/s", c.store.Connections,
		float64(c.nodes.Wire()-a.nodes.Wire())/float64(n*rest), ms(c.mine-a.mine)/float64(n*rest), ms(c.store.CPU-a.store.CPU)/rest, ms(c.relays.CPU-a.relays.CPU)/rest)
	told := func(what, pod string, do func()) {
		var mu sync.Mutex
		var late []time.Duration
		a, begun, done := all(), time.Now(), make(chan struct{})
		for i := range ks {
			c := &waits{id: pod, done: func() {
				mu.Lock()
				defer mu.Unlock()
				if late = append(late, time.Since(begun)); len(late) == n {
					close(done)
				}
			}}
			s := sinks[i][0]
			s.order.Lock()
			s.core = c
			s.order.Unlock()
		}
		do()
		select {
		case <-done:
		case <-time.After(60 * time.Second):
		}
		mu.Lock()
		got, last := len(late), slices.Max(append(late, 0))
		mu.Unlock()
		end := quiet()
		c := all()
		b.Logf("%s: %d of %d nodes told, last after %v; %d commits, %d statements, %d notices, store's CPU %v; %.0f bytes a node, relays' CPU %v; quiet after %v", what, got, n,
			last.Round(time.Millisecond), c.store.Commits-a.store.Commits, c.store.Statements-a.store.Statements, c.store.Notices-a.store.Notices, c.store.CPU-a.store.CPU,
			float64(c.nodes.Wire()-a.nodes.Wire())/float64(n), c.relays.CPU-a.relays.CPU, end.Sub(begun).Round(time.Millisecond))
	}
	drain := func(pod string) {
		m, err := db.Meta(b.Context())
		require.NoError(b, err)
		_, _, err = db.Write(b.Context(), m.Epoch, []record.Change{{Key: record.Key{Kind: record.KindDrain, Name: "s0/" + pod}, ExpectedRevision: record.AnyRevision, Writer: "op", IdempotencyKey: "m" + pod,
			Value: []byte(`{"start_ms":0,"since_ms":1,"by":"op"}`)}})
		require.NoError(b, err)
	}
	told("an operator's drain", "pod-0", func() { drain("pod-0") })
	told("discovery's", "pod-1", func() {
		for i := range n {
			go sinks[i][0].UpdateEndpoints(list(i%3, decide.Draining, 1, 2), false)
		}
	})
	told("an operator's while discovery tells of a zone's 56", "pod-2", func() {
		for i := range n {
			go func() {
				for s := 2; s < services; s++ {
					sinks[i][s].UpdateEndpoints(list(i%3, decide.Draining, 13, 15), false)
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		drain("pod-2")
	})
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
