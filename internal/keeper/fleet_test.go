package keeper

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/lab/pgstand"
	"robincart/internal/node"
	"robincart/internal/record"
	"robincart/internal/store"
	"robincart/internal/store/sqlstore"
)

// TestMain serves the stand-in of the store where a measurement has started this binary for that: its CPU is to be told by itself.
func TestMain(m *testing.M) {
	path := os.Getenv("ROBINCART_PGSTAND_ROWS")
	if path == "" {
		os.Exit(m.Run())
	}
	s, err := pgstand.Start("127.0.0.1:0", path)
	if err != nil {
		panic(err)
	}
	fmt.Println(s.Address())
	for in := bufio.NewScanner(os.Stdin); in.Scan(); { // a line asks for the counts
		text, _ := json.Marshal(counted{s.Counts(), used(syscall.RUSAGE_SELF)})
		fmt.Println(string(text))
	}
}

type counted struct {
	pgstand.Counts
	CPU time.Duration
}

func used(who int) time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(who, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// distant is the stand-in in a process of its own.
type distant struct {
	b       testing.TB
	Address string
	ask     func() counted
}

func newDistant(b testing.TB) *distant {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ROBINCART_PGSTAND_ROWS="+filepath.Join(b.TempDir(), "rows"))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(b, err)
	out, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() { in.Close(); cmd.Wait() })
	lines := bufio.NewScanner(out)
	require.True(b, lines.Scan())
	d := &distant{b: b, Address: lines.Text()}
	d.ask = func() (c counted) {
		fmt.Fprintln(in)
		require.True(b, lines.Scan())
		require.NoError(b, json.Unmarshal(lines.Bytes(), &c))
		return c
	}
	db, err := sqlstore.Open(d.Address)
	require.NoError(b, err)
	defer db.Close()
	_, err = db.Init(b.Context(), false)
	require.NoError(b, err)
	return d
}

// waits is a core that tells when a server is drained.
type waits struct {
	id   string
	seen atomic.Bool
	done func()
}

func (c *waits) Listed(entries []node.Entry, _ bool) {
	for _, e := range entries {
		if e.ID == c.id && e.State == decide.Draining && !c.seen.Swap(true) {
			c.done()
		}
	}
}
func (c *waits) ListFailed(bool) {}

// BenchmarkFleet is what a fleet's nodes ask of the store of record: at rest, for one drain that an operator records, for one route,
// and for one server's drain that discovery tells all nodes at once. Per node and second, or until all is quiet.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{14, 27, 55, 110, 220, 440} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				fleet(b, n)
			}
		})
	}
}

func fleet(b *testing.B, n int) {
	d := newDistant(b)
	const services, servers = 30, 15
	var of [][]node.Entry
	for range services {
		var l []node.Entry
		for i := range servers {
			l = append(l, node.Entry{ID: fmt.Sprint("pod-", i), Addr: fmt.Sprintf("10.0.0.%d:8080", i), State: decide.Ready, Weight: 1, Started: time.UnixMilli(1000)})
		}
		of = append(of, l)
	}
	list := func(s, replica int, changed ...node.Entry) []node.Entry { // each replica of the controller numbers by itself
		l := changed
		if l == nil {
			l = of[s]
		}
		out := append([]node.Entry(nil), l...)
		for i := range out {
			out[i].Listed = int64(1000*replica + 1)
		}
		return out
	}
	quiet := func() counted {
		last, same := d.ask(), 0
		for same < 10 {
			time.Sleep(200 * time.Millisecond)
			if c := d.ask(); c.Commits == last.Commits {
				same++
			} else {
				last, same = c, 0
			}
		}
		return d.ask()
	}
	var left sync.WaitGroup
	var ks []*Keeper
	var sinks [][]*Sink
	var late []time.Duration
	var mu sync.Mutex
	watch := func() { // from now until the core of each node has the drain
		begun := time.Now()
		late = nil
		left.Add(n)
		for i := range ks {
			c := &waits{id: "pod-0", done: func() {
				mu.Lock()
				late = append(late, time.Since(begun))
				mu.Unlock()
				left.Done()
			}}
			s := sinks[i][0]
			s.order.Lock()
			s.core = c
			s.order.Unlock()
		}
	}
	open := func() (store.Store, error) { return sqlstore.Open(d.Address) }
	begun := time.Now()
	for i := range n {
		k, err := Open(b.Context(), Config{Name: fmt.Sprint("n", i), Store: "stand-in", Open: open, Queue: 10_000, Timeout: 2 * time.Second, Poll: time.Second, MostAge: 10 * time.Minute}, zap.NewNop())
		require.NoError(b, err)
		defer k.Close()
		ks = append(ks, k)
		var all []*Sink
		for s := range services {
			x := k.Sink(fmt.Sprint("s", s), &core{})
			x.Listed(list(s, i%3), true)
			all = append(all, x)
		}
		sinks = append(sinks, all)
	}
	c := quiet()
	b.Logf("%d nodes: start %v: commits %d statements %d, store's CPU %v, connections %d", n, time.Since(begun).Round(time.Millisecond), c.Commits, c.Statements, c.CPU, c.Connections)
	a, mine := d.ask(), used(syscall.RUSAGE_SELF)
	const rest = 10
	time.Sleep(rest * time.Second)
	c = d.ask()
	b.Logf("at rest: connections %d; a node and second: %.2f statements, %.0f bytes with headers; store's CPU %.1f ms/s, nodes' %.2f ms/s each", c.Connections,
		float64(c.Statements-a.Statements)/float64(n*rest), float64(c.Wire()-a.Wire())/float64(n*rest), ms(c.CPU-a.CPU)/rest, ms(used(syscall.RUSAGE_SELF)-mine)/float64(n*rest))
	told := func(what string, do func()) {
		a, begun := d.ask(), time.Now()
		watch()
		do()
		all := make(chan struct{})
		go func() { left.Wait(); close(all) }()
		select {
		case <-all:
		case <-time.After(60 * time.Second):
		}
		mu.Lock()
		last, got := late[len(late)-1], len(late)
		mu.Unlock()
		c := quiet()
		b.Logf("%s: %d of %d nodes told, last after %v; commits %d, statements %d, notices %d, store's CPU %v, %.0f bytes a node, quiet after %v", what, got, n, last.Round(time.Millisecond),
			c.Commits-a.Commits, c.Statements-a.Statements, c.Notices-a.Notices, c.CPU-a.CPU, float64(c.Wire()-a.Wire())/float64(n), (time.Since(begun) - 2*time.Second).Round(time.Millisecond))
	}
	db, err := sqlstore.Open(d.Address)
	require.NoError(b, err)
	defer db.Close()
	told("a drain by an operator", func() {
		m, err := db.Meta(b.Context())
		require.NoError(b, err)
		_, _, err = db.Write(b.Context(), m.Epoch, []record.Change{{Key: record.Key{Kind: record.Drain, Name: "s0/pod-0"}, Expect: record.Any, By: "op", Mark: "m1", Value: []byte(`{"start_ms":0,"since_ms":1,"by":"op"}`)}})
		require.NoError(b, err)
	})
	told("a drain by discovery", func() {
		for i := range n {
			go func() {
				e := of[1][0]
				e.State = decide.Draining
				sinks[i][1].Listed(list(1, i%3, e), false)
			}()
		}
		for i := range n {
			go sinks[i][0].core.Listed([]node.Entry{{ID: "pod-0", State: decide.Draining}}, false)
		}
	})
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
