package cost

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is one measurement of a node under closed-loop callers.
type Load struct {
	Shape
	Name    string
	Callers int
	For     time.Duration

	Rate            float64 // ok a second
	CPU             float64 // microseconds of the node an RPC
	PushedBack      float64 // share
	Failed          int     // tries that ended neither ok nor pushed back
	P50, P99        time.Duration
	Idle, Busy, Max int64 // resident bytes before, at the end, and at most
}

// Play measures.
func (l *Load) Play(ctx context.Context) error {
	rig, err := NewRig(ctx, l.Shape)
	if err != nil {
		return err
	}
	defer rig.Close()
	time.Sleep(300 * time.Millisecond)
	l.Idle, _ = memory(rig.node.Pid())
	type tally struct {
		ok, pushed, failed int
		times              *hdrhistogram.Histogram
	}
	tallies := make([]tally, l.Callers)
	var all sync.WaitGroup
	warm := time.Now().Add(l.For / 3)
	end := warm.Add(l.For)
	for i := range tallies {
		c, err := dial(rig.node.Addr, "", i+1)
		if err != nil {
			return err
		}
		defer c.Close()
		c.SetDeadline(end.Add(10 * time.Second))
		t := &tallies[i]
		t.times = hdrhistogram.New(1, 60_000_000, 3)
		all.Go(func() {
			for ctx.Err() == nil {
				from := time.Now()
				if from.After(end) {
					return
				}
				status, err := c.ask()
				if from.Before(warm) && err == nil {
					continue
				}
				switch {
				case err != nil:
					t.failed++
					return
				case status == 200:
					t.ok++
					t.times.RecordValue(time.Since(from).Microseconds())
				case status == 503:
					t.pushed++
				default:
					t.failed++
				}
			}
		})
	}
	time.Sleep(time.Until(warm))
	cpu, _ := rig.node.Usage()
	time.Sleep(time.Until(end))
	after, peak := rig.node.Usage()
	l.Busy, _ = memory(rig.node.Pid())
	l.Max = peak
	all.Wait()
	if err := rig.node.Crashed(); err != nil {
		return err
	}
	times := hdrhistogram.New(1, 60_000_000, 3)
	ok, pushed := 0, 0
	for _, t := range tallies {
		ok, pushed, l.Failed = ok+t.ok, pushed+t.pushed, l.Failed+t.failed
		times.Merge(t.times)
	}
	if ok == 0 {
		return fmt.Errorf("nothing was answered: %s", rig.node.Log())
	}
	l.Rate = float64(ok) / l.For.Seconds()
	l.CPU = float64((after - cpu).Microseconds()) / float64(ok+pushed)
	l.PushedBack = float64(pushed) / float64(ok+pushed)
	l.P50, l.P99 = time.Duration(times.ValueAtQuantile(50))*time.Microsecond, time.Duration(times.ValueAtQuantile(99))*time.Microsecond
	return nil
}
