package chaos

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robincart/internal/lab/standin"
)

// The protocols of a pair.
const (
	protocolHTTP    = "http"
	protocolFastCGI = "fastcgi"
)

var protocols = []string{protocolHTTP, protocolFastCGI}

// The methods that are called in turn: idempotent, deduplicated by a key, and neither.
const (
	methodFind   = "find"
	methodBook   = "book"
	methodCharge = "charge"
)

var pairMethods = []string{methodFind, methodBook, methodCharge}

const (
	serversPerPair = 8
	// pairWindow is the deduplication window of methodBook.
	pairWindow = 10 * time.Second
	// The prefixes of trace ids, of requests to servers without faults and with them.
	calmTracePrefix  = "c"
	faultTracePrefix = "d"
)

// Pairs sends requests by HTTP and FastCGI through a node to servers of either protocol, first to servers without
// faults and then to ones that reset at any point of their responses. It checks that each request gets one response,
// and that none has its effect twice.
type Pairs struct {
	Program  string
	Requests int // of each pair, to servers with faults
	Calm     int // of each pair before that, to servers without
	Callers  int
	Seed     int64

	All    []Pair
	Broken []string

	mu     sync.Mutex // guards the results, and the pair that is played
	random *rand.Rand // of the faults
}

// Pair is the protocol of the clients and that of the servers, with what was measured.
type Pair struct {
	In, Out string
	CPU     time.Duration           // of the node for a request to servers without faults
	Latency *hdrhistogram.Histogram // of those requests
	Answers map[int]int             // responses by status
	Faults  map[string]int
	Effects int

	faulty     bool                 // the servers have faults
	effects    map[effectKey]int    // by request
	firstSeen  map[string]time.Time // by idempotency key: when it had its effect last
	duplicates int
}

// effectKey identifies a request.
type effectKey struct{ method, trace string }

// Repeats is how often an idempotency key was received again within its window.
func (p *Pair) Repeats() int { return p.duplicates }

func newPair(in, out string) *Pair {
	return &Pair{
		In:        in,
		Out:       out,
		Latency:   hdrhistogram.New(1, 60_000_000, 3),
		Answers:   map[int]int{},
		Faults:    map[string]int{},
		effects:   map[effectKey]int{},
		firstSeen: map[string]time.Time{},
	}
}

// Play plays all four pairs.
func (p *Pairs) Play(ctx context.Context) error {
	p.random = rand.New(rand.NewSource(p.Seed))
	for _, in := range protocols {
		for _, out := range protocols {
			pair := newPair(in, out)
			if err := p.playPair(ctx, pair); err != nil {
				return fmt.Errorf("%s in, %s out: %w", in, out, err)
			}
			p.All = append(p.All, *pair)
		}
	}
	return nil
}

func (p *Pairs) reportBroken(pair *Pair, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addBroken(pair, format, args...)
}

// addBroken adds to what was found broken. The mutex is held.
func (p *Pairs) addBroken(pair *Pair, format string, args ...any) {
	if len(p.Broken) < maxBroken {
		p.Broken = append(p.Broken, pair.In+" in, "+pair.Out+" out: "+fmt.Sprintf(format, args...))
	}
}

// pairNodeFile is the configuration of a node.
const pairNodeFile = `listen = [%q]
[[gateway]]
listen = %q
[[service]]
name = "s"
speaks = %q
servers = [%s]
[[service.method]]
name = "find"
repeat = "idempotent"
deadline = "3s"
[[service.method]]
name = "book"
repeat = "deduplicated"
window = "10s"
deadline = "3s"
[[service.method]]
name = "charge"
deadline = "3s"
`

// playPair plays one pair with a node of its own.
func (p *Pairs) playPair(ctx context.Context, pair *Pair) error {
	dir, err := os.MkdirTemp("", "pairs")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var servers []string
	for range serversPerPair {
		server, err := p.startServer(pair)
		if err != nil {
			return err
		}
		defer server.Stop()
		servers = append(servers, fmt.Sprintf("%q", server.Addr()))
	}
	addr, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	gateway, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	node := &standin.Node{
		Name:         "n",
		Addr:         addr,
		Program:      p.Program,
		Dir:          dir,
		OperatorFile: fmt.Sprintf(pairNodeFile, addr, gateway, pair.Out, strings.Join(servers, ", ")),
	}
	if err := node.Start(ctx); err != nil {
		return err
	}
	defer node.Kill()
	if pair.In == protocolFastCGI {
		addr = gateway
	}
	p.load(ctx, pair, node, addr)
	if err := node.Crashed(); err != nil {
		p.reportBroken(pair, "the node: %v", err)
	}
	p.checkEffects(pair)
	return ctx.Err()
}

// load sends requests to servers without faults, by which the node's CPU time is measured, and then to ones with them.
func (p *Pairs) load(ctx context.Context, pair *Pair, node *standin.Node, addr string) {
	before, _ := node.Usage()
	p.sendAll(ctx, pair, addr, p.Calm, calmTracePrefix)
	after, _ := node.Usage()
	pair.CPU = (after - before) / time.Duration(max(1, p.Calm))
	p.mu.Lock()
	pair.faulty, pair.Answers = true, map[int]int{}
	p.mu.Unlock()
	p.sendAll(ctx, pair, addr, p.Requests, faultTracePrefix)
}

// checkEffects counts the effects, and checks that no request had two that may have only one.
func (p *Pairs) checkEffects(pair *Pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for request, effects := range pair.effects {
		pair.Effects += effects
		if effects > 1 && request.method != methodFind {
			p.addBroken(pair, "%s %s had %d effects", request.method, request.trace, effects)
		}
	}
}

// sendAll has all clients send their share of the requests, each client one after another.
func (p *Pairs) sendAll(ctx context.Context, pair *Pair, addr string, total int, tracePrefix string) {
	var running sync.WaitGroup
	for first := range p.Callers {
		running.Go(func() {
			client := &pairClient{addr: addr, fastCGI: pair.In == protocolFastCGI}
			defer client.close()
			for i := first; i < total && ctx.Err() == nil; i += p.Callers {
				p.sendOne(pair, client, newPairRequest(i, tracePrefix))
			}
		})
	}
	running.Wait()
}

// sendOne sends one request and checks its response.
func (p *Pairs) sendOne(pair *Pair, client *pairClient, request pairRequest) {
	begin := time.Now()
	status, err := client.send(request)
	took := time.Since(begin)
	if err != nil {
		p.reportBroken(pair, "%s: %v", request.trace, err)
		client.close()
		return
	}
	p.mu.Lock()
	pair.Answers[status]++
	effects := pair.effects[effectKey{request.method, request.trace}]
	if !pair.faulty {
		pair.Latency.RecordValue(took.Microseconds())
	}
	p.mu.Unlock()
	switch {
	case status == 503 && request.method == methodCharge && effects > 0:
		p.reportBroken(pair, "%s had an effect, and its response says that it never ran", request.trace)
	case status == 200 && effects == 0:
		p.reportBroken(pair, "%s is OK, and no server has run it", request.trace)
	case status != 200 && status != 503 && status != 504:
		p.reportBroken(pair, "%s got %d", request.trace, status)
	}
}
