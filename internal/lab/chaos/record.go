package chaos

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/pgstand"
	"robincart/internal/lab/standin"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
)

// Record kills nodes and their store of record at random under load, while servers are drained by the record and by
// discovery. It checks that each request gets one response, and that no drain is forgotten that a node or the store has
// acknowledged.
type Record struct {
	Program string
	For     time.Duration
	Seed    int64
	Nodes   int
	Servers int
	Rate    int // requests a second to each node
	SQLite  bool
	Slack   time.Duration // beyond the grace of a drain, where the verdict must not depend on a machine that stalls
	Env     []string      // of the nodes, beside this process's own

	Counts map[string]int
	Broken []string

	dir          string
	begin        time.Time
	random       *rand.Rand // of the faults
	storeAddress string
	postgres     *pgstand.Server // nil with SQLite
	postgresAddr string          // that a store which is started again listens on
	discovery    *standin.Discovery
	nodes        []*recordNode

	mu      sync.Mutex // guards the results, and what is known of nodes and servers
	servers []*recordServer
}

// recordNode is a node, and what is known of it.
type recordNode struct {
	*standin.Node
	status     string                 // the address of its status page
	downs      []time.Time            // when it was killed, and when it was ready again
	dead       bool                   // from its kill until it is ready again
	shownSince map[drainKey]time.Time // since when it shows a drain without a break
}

// recordServer is a name in the list, with the process that runs under it now.
type recordServer struct {
	id, addr   string
	member     standin.Member
	startTime  int64
	drained    bool              // by the record or by discovery
	knownSince map[int]time.Time // by node: since when it has to know of the drain for good
	revision   int64             // of the recorded drain; 0: none was acknowledged
}

// drainKey identifies a drain: it is for one process of a server.
type drainKey struct {
	server    string
	startTime int64
}

func (r *recordServer) drainKey() drainKey { return drainKey{server: r.id, startTime: r.startTime} }

// firstStartTime is the start time of the first processes; each later process of a server has one more of it.
const firstStartTime = 1000

func (r *Record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Counts[what]++
}

// reportBroken adds to what was found broken.
func (r *Record) reportBroken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Broken) < maxBroken {
		at := fmt.Sprintf("%.3f s: ", time.Since(r.begin).Seconds())
		r.Broken = append(r.Broken, at+fmt.Sprintf(format, args...))
	}
}

// Play plays it.
func (r *Record) Play(ctx context.Context) error {
	r.Counts, r.begin = map[string]int{}, time.Now()
	r.random = rand.New(rand.NewSource(r.Seed))
	dir, err := os.MkdirTemp("", "chaos")
	if err != nil {
		return err
	}
	r.dir = dir
	defer os.RemoveAll(dir)
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	go serveAll(listener, r.checkRequest)
	if err := r.startStore(); err != nil {
		return err
	}
	defer r.stopStore()
	database, err := sqlstore.Open(r.storeAddress)
	if err != nil {
		return err
	}
	defer database.Close()
	if _, err := database.Init(ctx, false); err != nil {
		return err
	}
	r.discovery = standin.NewDiscovery(&judge.Ledger{}, r.begin)
	defer r.discovery.Stop()
	r.addServers(listener.Addr().(*net.TCPAddr).Port)
	defer r.killNodes()
	for i := range r.Nodes {
		if err := r.addNode(ctx, i); err != nil {
			return err
		}
	}
	r.run(ctx, database)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return r.checkEnd(ctx)
}

// run plays load, drains and faults for the time of the run.
func (r *Record) run(ctx context.Context, database store.Store) {
	runCtx, cancel := context.WithTimeout(ctx, r.For)
	defer cancel()
	var running sync.WaitGroup
	for i := range r.nodes {
		running.Go(func() { r.load(runCtx, i) })
		running.Go(func() { r.observe(runCtx, i) })
	}
	running.Go(func() { r.playDrains(runCtx, database) })
	running.Go(func() { r.playFaults(runCtx) })
	running.Wait()
}

// startStore starts the store of record, or starts it again at the address that it had.
func (r *Record) startStore() error {
	if r.SQLite {
		r.storeAddress = "sqlite:" + filepath.Join(r.dir, "record.db")
		return nil
	}
	if r.postgresAddr == "" {
		r.postgresAddr = "127.0.0.1:0"
	}
	postgres, err := pgstand.Start(r.postgresAddr, filepath.Join(r.dir, "rows"))
	if err != nil {
		return err
	}
	r.postgres, r.storeAddress = postgres, postgres.Address()
	r.postgresAddr = postgres.Addr()
	return nil
}

func (r *Record) stopStore() {
	if r.postgres != nil {
		r.postgres.Stop()
	}
}

// addServers adds all servers to discovery's list.
func (r *Record) addServers(port int) {
	for i := range r.Servers {
		s := &recordServer{
			id:         fmt.Sprintf("s%d", i),
			addr:       fmt.Sprintf("127.9.0.%d:%d", i+1, port),
			startTime:  firstStartTime,
			knownSince: map[int]time.Time{},
		}
		s.member = standin.Member{ID: s.id, Addr: s.addr, Zone: "a", Phase: "ready", Size: 1, UpSince: s.startTime}
		r.servers = append(r.servers, s)
		r.discovery.Update(s.member)
	}
}

// recordNodeFile is the configuration of a node.
const recordNodeFile = `name = %q
listen = [%q]
[record]
store = %q
snapshot = %q
status = %q
timeout = "500ms"
poll = "200ms"
[[service]]
name = "s"
discovery = %q
guarantee = 1
nodes = %d
[[service.method]]
name = "find"
repeat = "idempotent"
target = "1s"
deadline = "2s"
[[route]]
to = "s"
`

// addNode starts the i-th node.
func (r *Record) addNode(ctx context.Context, i int) error {
	listener, err := r.discovery.Listen(int32(i), "127.0.0.1:0")
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
	snapshot := filepath.Join(r.dir, name+".snap")
	n := &recordNode{
		status:     status,
		shownSince: map[drainKey]time.Time{},
		Node: &standin.Node{
			Name:    name,
			Addr:    addr,
			Program: r.Program,
			Dir:     r.dir,
			Env:     r.Env,
			OperatorFile: fmt.Sprintf(recordNodeFile, name, addr, r.storeAddress, snapshot, status, listener.Addr(),
				r.Nodes),
		},
	}
	r.nodes = append(r.nodes, n)
	return n.Start(ctx)
}

func (r *Record) killNodes() {
	for _, n := range r.nodes {
		n.Kill()
	}
}
