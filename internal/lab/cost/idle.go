package cost

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Idle is one measurement of a node with many idle connections and a few at work.
type Idle struct {
	Shape
	Name        string
	Connections int
	Rate        int           // RPCs a second of those at work
	For         time.Duration // of each phase
	Expire      time.Duration // the node ends idle connections after that; 0: the second of timers is left out

	Bytes       float64 // resident of the node, a connection
	Kernel      float64 // of slab, a socket, both ends counted
	Phases      []Phase
	WaveOK      int
	WavePushed  int
	WaveOther   int // dripping ones included
	Most        int64
	End         time.Duration // from SIGTERM, with all that is connected
	ExpiredLeft int           // connections still open at the end of the second of timers and three more
}

// Phase is how those at work fared in one phase.
type Phase struct {
	Name     string
	Asked    int
	OK       int
	P50, P99 time.Duration
	Worst    time.Duration

	times *hdrhistogram.Histogram
}

func (p *Phase) sum() {
	q := func(q float64) time.Duration { return time.Duration(p.times.ValueAtQuantile(q)) * time.Microsecond }
	p.P50, p.P99, p.Worst = q(50), q(99), q(100)
}

// join adds another play of the same phase.
func (p *Phase) join(o Phase) {
	if p.times == nil {
		*p = o
		return
	}
	p.Asked, p.OK = p.Asked+o.Asked, p.OK+o.OK
	p.times.Merge(o.times)
	p.sum()
}

// workers are connections that ask at a steady rate, whatever the answers: a late one does not put off the next.
type workers struct {
	free chan *caller
	addr string
}

func (w *workers) phase(name string, rate int, most time.Duration, during func()) Phase {
	p := Phase{Name: name, times: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(most)
	if during != nil {
		all.Go(during)
	}
	every := time.Second / time.Duration(rate)
	for at := time.Now(); at.Before(end); at = at.Add(every) {
		time.Sleep(time.Until(at))
		p.Asked++
		var c *caller
		select {
		case c = <-w.free:
		default:
			var err error
			if c, err = dial(w.addr, "", 1<<20+p.Asked); err != nil {
				continue
			}
		}
		all.Go(func() {
			c.SetDeadline(time.Now().Add(20 * time.Second))
			status, err := c.ask()
			took := time.Since(at) // since it was due, not since it was sent
			mu.Lock()
			p.times.RecordValue(took.Microseconds())
			if err == nil && status == 200 {
				p.OK++
			}
			mu.Unlock()
			if err != nil {
				c.Close()
				return
			}
			select {
			case w.free <- c:
			default:
				c.Close()
			}
		})
	}
	all.Wait()
	p.sum()
	return p
}

// slab is the kernel's memory of small objects, sockets among them.
func slab() int64 {
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.SplitSeq(string(text), "\n") {
		if kb, ok := strings.CutPrefix(line, "Slab:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(kb), " kB"), 10, 64)
			return n << 10
		}
	}
	return 0
}

// each runs f for all idle connections, some side by side.
func each(all []*caller, f func(*caller)) {
	var wait sync.WaitGroup
	const lanes = 32
	for lane := range lanes {
		wait.Go(func() {
			for i := lane; i < len(all); i += lanes {
				f(all[i])
			}
		})
	}
	wait.Wait()
}

// Play measures.
func (l *Idle) Play(ctx context.Context) error {
	rig, err := NewRig(ctx, l.Shape)
	if err != nil {
		return err
	}
	defer rig.Close()
	w := &workers{free: make(chan *caller, 64), addr: rig.node.Addr}
	defer func() {
		for len(w.free) > 0 {
			(<-w.free).Close()
		}
	}()
	w.phase("warm", l.Rate, l.For/2, nil)
	l.Phases = append(l.Phases, w.phase("none idle", l.Rate, l.For, nil))

	_, before := memory(rig.node.Pid())
	slab0 := slab()
	idle := make([]*caller, l.Connections)
	var failed atomic.Int64
	defer func() {
		for _, c := range idle {
			if c != nil {
				c.Close()
			}
		}
	}()
	var wait sync.WaitGroup
	for lane := range 16 {
		wait.Go(func() {
			for i := lane; i < len(idle); i += 16 {
				c, err := dial(w.addr, fmt.Sprintf("127.0.%d.1", 2+i%8), 1<<21+i)
				if err != nil {
					failed.Add(1)
					continue
				}
				c.SetDeadline(time.Now().Add(60 * time.Second))
				if status, err := c.ask(); err != nil || status != 200 {
					failed.Add(1)
				}
				c.in, c.out = nil, nil // this process holds as many
				idle[i] = c
			}
		})
	}
	wait.Wait()
	if n := failed.Load(); n > int64(len(idle)/100) {
		return fmt.Errorf("%d of %d connections could not be opened and used", n, len(idle))
	}
	time.Sleep(3 * time.Second) // goroutines that were needed for the opening end, and the collector runs
	l.Phases = append(l.Phases, w.phase("idle", l.Rate, l.For, nil))
	_, after := memory(rig.node.Pid())
	l.Bytes = float64(after-before) / float64(l.Connections)
	l.Kernel = float64(slab()-slab0) / float64(2*l.Connections)

	// A tenth wakes at once, half of them with a body that drips.
	tenth := idle[:l.Connections/10]
	l.Phases = append(l.Phases, w.phase("a tenth wakes", l.Rate, l.For, func() {
		var ok, pushed, other atomic.Int64
		var wave sync.WaitGroup
		for i, c := range tenth {
			if c == nil {
				continue
			}
			wave.Go(func() {
				c.SetDeadline(time.Now().Add(l.For))
				var status int
				var err error
				if i%2 == 0 {
					status, err = c.ask()
				} else {
					c.id++
					fmt.Fprintf(c, "POST /find HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Qos: find\r\nX-Expires-In-Ms: 5000\r\nContent-Length: 65536\r\n\r\n", c.id)
					stop := make(chan struct{})
					wave.Go(func() {
						tick := time.NewTicker(time.Second)
						defer tick.Stop()
						for {
							select {
							case <-stop:
								return
							case <-tick.C:
							}
							if _, err := c.Write([]byte("x")); err != nil {
								return
							}
						}
					})
					status, err = c.hear()
					close(stop)
				}
				switch {
				case err == nil && status == 200:
					ok.Add(1)
				case err == nil && status == 503:
					pushed.Add(1)
				default:
					other.Add(1)
				}
			})
		}
		wave.Wait()
		l.WaveOK, l.WavePushed, l.WaveOther = int(ok.Load()), int(pushed.Load()), int(other.Load())
	}))
	_, l.Most = rig.node.Usage()

	if l.Expire > 0 {
		rest := idle[len(tenth):]
		each(rest, func(c *caller) { // within a second, so that their times end within one
			if c != nil {
				c.SetDeadline(time.Now().Add(20 * time.Second))
				c.ask()
				c.in, c.out = nil, nil
			}
		})
		begun := time.Now()
		l.Phases = append(l.Phases, w.phase("every timer ends", l.Rate, l.Expire+3*time.Second, nil))
		time.Sleep(time.Until(begun.Add(l.Expire + 3*time.Second)))
		var open atomic.Int64
		each(rest, func(c *caller) {
			if c == nil {
				return
			}
			c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			var b [1]byte
			if _, err := c.Read(b[:]); err != nil {
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					open.Add(1)
				}
			}
		})
		l.ExpiredLeft = int(open.Load())
	}
	if err := rig.node.Crashed(); err != nil {
		return err
	}
	begun := time.Now()
	rig.node.End(20 * time.Second)
	l.End = time.Since(begun)
	return nil
}
