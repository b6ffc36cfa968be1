package chaos

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robincart/internal/lab/standin"
	"robincart/internal/lab/wire"
	"robincart/internal/protocol/fcgi"
)

// Pairs asks through HTTP and FastCGI on either side of a node, first of servers that do well and then of servers that die at any point
// of their answers, and counts answers and effects for each request.
type Pairs struct {
	Program  string
	Requests int // of each pair, with servers that die; as many at most before that
	Calm     int // of each pair, with servers that do well
	Callers  int
	Seed     int64

	All    []Pair
	Broken []string

	mu  sync.Mutex
	rng *rand.Rand
}

// Pair is one way in and one way out.
type Pair struct {
	In, Out       string
	CPU           time.Duration // of the node, a request, with servers that do well
	Latency       *hdrhistogram.Histogram
	Answers       map[int]int
	Faults        map[string]int
	Effects       int
	effects       map[string]int
	dies          bool
	first         map[string]time.Time // effect of a mark
	repeats, late int
}

// Repeats is how often an idempotency key came again within its window.
func (p *Pair) Repeats() int { return p.repeats }

// Late is how often an idempotency key came again after its window.
func (p *Pair) Late() int { return p.late }

const pairWindow = 10 * time.Second

// Play runs all four.
func (r *Pairs) Play(ctx context.Context) error {
	r.rng = rand.New(rand.NewSource(r.Seed))
	for _, in := range []string{"http", "fastcgi"} {
		for _, out := range []string{"http", "fastcgi"} {
			p := &Pair{In: in, Out: out, Latency: hdrhistogram.New(1, 60_000_000, 3), Answers: map[int]int{}, Faults: map[string]int{}, effects: map[string]int{}, first: map[string]time.Time{}}
			if err := r.play(ctx, p); err != nil {
				return fmt.Errorf("%s in, %s out: %w", in, out, err)
			}
			r.All = append(r.All, *p)
		}
	}
	return nil
}

func (r *Pairs) broken(p *Pair, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Broken) < 20 {
		r.Broken = append(r.Broken, p.In+" in, "+p.Out+" out: "+fmt.Sprintf(format, args...))
	}
}

func (r *Pairs) play(ctx context.Context, p *Pair) error {
	dir, err := os.MkdirTemp("", "pairs")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var addrs []string
	for range 8 {
		addr, stop, err := r.serve(p)
		if err != nil {
			return err
		}
		defer stop()
		addrs = append(addrs, fmt.Sprintf("%q", addr))
	}
	addr, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	gateway, err := standin.FreeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	n := &standin.Node{Name: "n", Addr: addr, Program: r.Program, Dir: dir, Text: fmt.Sprintf("listen = [%q]\n[[gateway]]\nlisten = %q\n[[service]]\nname = \"s\"\nspeaks = %q\nservers = [%s]\n"+
		"[[service.method]]\nname = \"find\"\nrepeat = \"idempotent\"\ndeadline = \"3s\"\n[[service.method]]\nname = \"book\"\nrepeat = \"deduplicated\"\nwindow = \"10s\"\ndeadline = \"3s\"\n"+
		"[[service.method]]\nname = \"charge\"\ndeadline = \"3s\"\n", addr, gateway, p.Out, strings.Join(addrs, ", "))}
	if err := n.Start(ctx); err != nil {
		return err
	}
	defer n.Kill()
	if p.In == "fastcgi" {
		addr = gateway
	}
	cpu, _ := n.Usage()
	r.ask(ctx, p, addr, r.Calm, "c")
	after, _ := n.Usage()
	p.CPU = (after - cpu) / time.Duration(max(1, r.Calm))
	r.mu.Lock()
	p.dies, p.Answers = true, map[int]int{}
	r.mu.Unlock()
	r.ask(ctx, p, addr, r.Requests, "d")
	if err := n.Crashed(); err != nil {
		r.broken(p, "the node: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, n := range p.effects {
		p.Effects += n
		if n > 1 && !strings.HasPrefix(key, "find ") && len(r.Broken) < 20 {
			r.Broken = append(r.Broken, fmt.Sprintf("%s in, %s out: %s had %d effects", p.In, p.Out, key, n))
		}
	}
	return ctx.Err()
}

// pairFaults are where an answer of so many bytes breaks off; the effect has been done by then.
var pairFaults = []struct {
	name string
	at   func(n int) int
}{{"before", func(int) int { return 0 }}, {"in the first bytes", func(int) int { return 5 }}, {"in the head", func(int) int { return 18 }},
	{"in the middle", func(n int) int { return n / 2 }}, {"before the last byte", func(n int) int { return n - 1 }}}

// done notes that a request has reached a server, and says how its answer goes: -1 whole, -2 refused before anything is done, else so
// many of n bytes.
func (r *Pairs) done(p *Pair, class, trace, mark string, n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	cut := -1
	if p.dies {
		switch k := r.rng.Intn(300); {
		case k == 0:
			p.Faults["refused"]++
			return -2
		case k <= len(pairFaults):
			f := pairFaults[k-1]
			p.Faults[f.name]++
			cut = f.at(n)
		}
	}
	if mark != "" { // the servers drop repeats of a mark together, for its window
		now := time.Now()
		at, again := p.first[mark]
		switch {
		case again && now.Sub(at) <= pairWindow:
			p.repeats++
			return cut
		case again:
			p.late++
		}
		p.first[mark] = now
	}
	p.effects[class+" "+trace]++
	return cut
}

func (r *Pairs) serve(p *Pair) (addr string, stop func(), err error) {
	const body = "seats for two at eight"
	write := func(c net.Conn, cut int, answer, refusal []byte) bool {
		switch {
		case cut == -2:
			answer = refusal
		case cut >= 0:
			c.Write(answer[:cut])
			return false
		}
		_, err := c.Write(answer)
		return err == nil
	}
	if p.Out == "fastcgi" {
		s := &standin.Application{Serve: func(c net.Conn, q *standin.ApplicationRequest) bool {
			answer := q.Answered("Content-Type: text/plain", body)
			cut := r.done(p, q.Params["HTTP_X_QOS"], q.Params["HTTP_X_TRACE_ID"], q.Params["HTTP_IDEMPOTENCY_KEY"], len(answer))
			return write(c, cut, answer, fcgi.AppendEnd(nil, q.ID, 0, fcgi.StatusOverloaded))
		}}
		if err := s.Start("127.0.0.1:0"); err != nil {
			return "", nil, err
		}
		return s.Addr(), s.Stop, nil
	}
	answer, refusal := wire.Answer(nil, 200, "Content-Type: text/plain\r\n", []byte(body)), wire.Answer(nil, 503, wire.NeverRan+": 1\r\n", nil)
	s := &standin.Server{Serve: func(c net.Conn, q *wire.Request) bool {
		return write(c, r.done(p, q.Header.Get(wire.Method), q.Header.Get(wire.Trace), q.Header.Get(wire.Key), len(answer)), answer, refusal)
	}}
	if err := s.Start("127.0.0.1:0"); err != nil {
		return "", nil, err
	}
	return s.Addr(), s.Stop, nil
}

// ask has all callers ask, each one request after another.
func (r *Pairs) ask(ctx context.Context, p *Pair, addr string, total int, prefix string) {
	var all sync.WaitGroup
	for k := range r.Callers {
		all.Go(func() {
			c := &pairCaller{addr: addr, fastcgi: p.In == "fastcgi"}
			defer c.close()
			for i := k; i < total && ctx.Err() == nil; i += r.Callers {
				class := []string{"find", "book", "charge"}[i%3]
				trace, mark := fmt.Sprintf("%s%015x", prefix, i), ""
				if class == "book" {
					mark = "m" + trace
				}
				began := time.Now()
				status, err := c.ask(class, trace, mark)
				took := time.Since(began)
				if err != nil {
					r.broken(p, "%s: %v", trace, err)
					c.close()
					continue
				}
				r.mu.Lock()
				p.Answers[status]++
				ran := p.effects[class+" "+trace]
				if !p.dies {
					p.Latency.RecordValue(took.Microseconds())
				}
				r.mu.Unlock()
				switch {
				case status == 503 && class == "charge" && ran > 0:
					r.broken(p, "%s was done, and called harmless", trace)
				case status == 200 && ran == 0:
					r.broken(p, "%s is ok, and no server did it", trace)
				case status != 200 && status != 503 && status != 504:
					r.broken(p, "%s got %d", trace, status)
				}
			}
		})
	}
	all.Wait()
}

// pairCaller asks over one connection, kept.
type pairCaller struct {
	addr    string
	fastcgi bool
	c       net.Conn
	r       *bufio.Reader
	records fcgi.Reader
	id      uint16
}

func (c *pairCaller) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
}

func (c *pairCaller) ask(class, trace, mark string) (status int, err error) {
	if c.c == nil {
		if c.c, err = net.DialTimeout("tcp", c.addr, 5*time.Second); err != nil {
			return 0, err
		}
		c.r = bufio.NewReader(c.c)
		c.records.Init(c.c, make([]byte, 4096))
	}
	c.c.SetDeadline(time.Now().Add(8 * time.Second))
	verb, body := "POST", "seats"
	if class == "find" {
		verb, body = "GET", ""
	}
	if c.fastcgi {
		return c.askFastCGI(class, trace, mark, verb, body)
	}
	key := ""
	if mark != "" {
		key = wire.Key + ": " + mark + "\r\n"
	}
	fmt.Fprintf(c.c, "%s /%s/t HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %s\r\n%s: 2900\r\n%sContent-Length: %d\r\n\r\n%s", verb, class, wire.Trace, trace, wire.Method, class, wire.Left, key, len(body), body)
	p, err := wire.ReadResponse(c.r)
	if err != nil {
		return 0, fmt.Errorf("no answer: %w", err)
	}
	if c.r.Buffered() > 0 {
		return 0, errors.New("more than one answer")
	}
	if p.Close {
		c.close()
	}
	return p.Status, nil
}

func (c *pairCaller) askFastCGI(class, trace, mark, verb, body string) (int, error) {
	c.id = c.id%5 + 1
	var list []byte
	for _, p := range [][2]string{{"REQUEST_METHOD", verb}, {"REQUEST_URI", "/" + class + "/t"}, {"HTTP_HOST", "a"}, {"HTTP_X_TRACE_ID", trace}, {"HTTP_X_QOS", class}, {"HTTP_X_EXPIRES_IN_MS", "2900"},
		{"HTTP_IDEMPOTENCY_KEY", mark}} {
		list = fcgi.AppendPair(list, p[0], p[1])
	}
	ask := fcgi.AppendStreamEnd(fcgi.AppendStream(fcgi.AppendBegin(nil, c.id, true), fcgi.TypeParams, c.id, list), fcgi.TypeParams, c.id)
	if _, err := c.c.Write(fcgi.AppendStreamEnd(fcgi.AppendStream(ask, fcgi.TypeStdin, c.id, []byte(body)), fcgi.TypeStdin, c.id)); err != nil {
		return 0, err
	}
	var out bytes.Buffer
	for {
		p, err := c.records.Next()
		switch {
		case errors.Is(err, io.EOF):
			return 0, fmt.Errorf("no END after %q", out.String())
		case err != nil:
			return 0, err
		case p.ID != c.id:
			return 0, fmt.Errorf("a record of request %d", p.ID)
		case p.Type == fcgi.TypeStdout:
			out.Write(p.Content)
			continue
		case p.Type != fcgi.TypeEnd:
			return 0, fmt.Errorf("a record of type %d", p.Type)
		}
		if c.records.HasBuffered() {
			return 0, errors.New("more than one answer")
		}
		h, _, whole, err := fcgi.ReadCGI(out.Bytes(), 4096)
		if err != nil || !whole {
			return 0, fmt.Errorf("%q is no answer: %w", out.String(), err)
		}
		return h.Status, nil
	}
}
