package cost

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxIdleClients    = 64
	steadyCallTimeout = 20 * time.Second // after which a call counts as unanswered
	firstSteadyNumber = 1 << 20          // of the clients; others of the same measurement have other numbers
)

// Phase is what became of the calls of a steady load in one phase of a measurement.
type Phase struct {
	Name     string
	Calls    int
	OK       int
	P50, P99 time.Duration // since each call was due, whatever its end
	Max      time.Duration

	latency *hdrhistogram.Histogram
}

// summarize sets the percentiles by the histogram.
func (p *Phase) summarize() {
	p.P50 = microsecondsAt(p.latency, 50)
	p.P99 = microsecondsAt(p.latency, 99)
	p.Max = microsecondsAt(p.latency, 100)
}

// add adds another turn of the same phase.
func (p *Phase) add(other Phase) {
	if p.latency == nil {
		*p = other
		return
	}
	p.Calls += other.Calls
	p.OK += other.OK
	p.latency.Merge(other.latency)
	p.summarize()
}

// steadyLoad makes calls at a steady rate, whatever becomes of them: one that is late does not put off the next.
type steadyLoad struct {
	address string
	rate    int // calls a second
	idle    chan *client
}

func newSteadyLoad(address string, rate int) *steadyLoad {
	return &steadyLoad{address: address, rate: rate, idle: make(chan *client, maxIdleClients)}
}

// play makes calls for a while, beside the given function, and waits for the ends of all of them.
func (s *steadyLoad) play(name string, duration time.Duration, beside func()) Phase {
	phase := Phase{Name: name, latency: newLatencyHistogram()}
	var mu sync.Mutex
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	if beside != nil {
		running.Go(beside)
	}
	interval := time.Second / time.Duration(s.rate)
	for due := time.Now(); due.Before(end); due = due.Add(interval) {
		time.Sleep(time.Until(due))
		phase.Calls++
		client, err := s.take(firstSteadyNumber + phase.Calls)
		if err != nil {
			continue
		}
		running.Go(func() {
			client.SetDeadline(time.Now().Add(steadyCallTimeout))
			status, err := client.call()
			latency := time.Since(due)
			mu.Lock()
			phase.latency.RecordValue(latency.Microseconds())
			if isOK(status, err) {
				phase.OK++
			}
			mu.Unlock()
			s.release(client, err)
		})
	}
	running.Wait()
	phase.summarize()
	return phase
}

// take returns an idle client, or one that it dials.
func (s *steadyLoad) take(number int) (*client, error) {
	select {
	case client := <-s.idle:
		return client, nil
	default:
		return dial(s.address, "", number)
	}
}

// release keeps a client for a later call, unless its call has failed or enough are idle.
func (s *steadyLoad) release(client *client, callError error) {
	if callError != nil {
		client.Close()
		return
	}
	select {
	case s.idle <- client:
	default:
		client.Close()
	}
}

// close closes the idle clients. Nothing plays any more.
func (s *steadyLoad) close() {
	for len(s.idle) > 0 {
		(<-s.idle).Close()
	}
}
