package cost

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// settleTime is given to a node after its start, before its memory is read.
const settleTime = 300 * time.Millisecond

// ClosedLoop measures a node under callers that each make one call after another.
type ClosedLoop struct {
	RigConfig
	Callers  int
	Duration time.Duration // measured; a third of it goes before
}

// ClosedLoopResult is what a ClosedLoop has measured.
type ClosedLoopResult struct {
	Throughput      float64 // calls answered with success, a second
	CPUMicroseconds float64 // of the node, a call
	RejectedShare   float64 // of the answered calls
	Failed          int     // calls neither answered with success nor rejected
	P50, P99        time.Duration
	IdleBytes       int64 // resident memory of the node before the first call
	BusyBytes       int64 // at the end
	PeakBytes       int64
}

// Measure runs the measurement.
func (c *ClosedLoop) Measure(ctx context.Context) (*ClosedLoopResult, error) {
	rig, err := newRig(ctx, c.RigConfig)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	node := rig.node
	time.Sleep(settleTime)
	result := &ClosedLoopResult{IdleBytes: readMemory(node.Pid()).resident}
	begin := time.Now().Add(c.Duration / 3)
	end := begin.Add(c.Duration)
	clients, err := dialClients(c.Callers, end, func(int) string { return node.Addr })
	if err != nil {
		return nil, err
	}
	defer closeClients(clients)
	tallies := make([]tally, len(clients))
	var calling sync.WaitGroup
	for i, client := range clients {
		tallies[i] = newTally()
		calling.Go(func() {
			if err := client.callUntil(ctx, begin, end, tallies[i].record); err != nil {
				tallies[i].failed++
			}
		})
	}
	time.Sleep(time.Until(begin))
	cpuBefore, _ := node.Usage()
	time.Sleep(time.Until(end))
	cpuAfter, peak := node.Usage()
	result.BusyBytes = readMemory(node.Pid()).resident
	result.PeakBytes = peak
	calling.Wait()
	if err := node.Crashed(); err != nil {
		return nil, err
	}
	total := newTally()
	for i := range tallies {
		total.add(&tallies[i])
	}
	if total.ok == 0 {
		return nil, fmt.Errorf("%w: %s", errNothingAnswered, node.Log())
	}
	result.setCalls(&total, c.Duration, cpuAfter-cpuBefore)
	return result, nil
}

// setCalls sets the figures of the calls.
func (c *ClosedLoopResult) setCalls(total *tally, duration, cpu time.Duration) {
	answered := float64(total.ok + total.rejected)
	c.Throughput = float64(total.ok) / duration.Seconds()
	c.CPUMicroseconds = float64(cpu.Microseconds()) / answered
	c.RejectedShare = float64(total.rejected) / answered
	c.Failed = total.failed
	c.P50 = microsecondsAt(total.latency, 50)
	c.P99 = microsecondsAt(total.latency, 99)
}

// tally counts calls by their ends.
type tally struct {
	ok, rejected, failed int
	latency              *hdrhistogram.Histogram // of ok, in microseconds
}

func newTally() tally { return tally{latency: newLatencyHistogram()} }

// record counts an answered call.
func (t *tally) record(status int, latency time.Duration) {
	switch status {
	case http.StatusOK:
		t.ok++
		t.latency.RecordValue(latency.Microseconds())
	case http.StatusServiceUnavailable:
		t.rejected++
	default:
		t.failed++
	}
}

func (t *tally) add(other *tally) {
	t.ok += other.ok
	t.rejected += other.rejected
	t.failed += other.failed
	t.latency.Merge(other.latency)
}

// newLatencyHistogram returns a histogram of microseconds, up to a minute.
func newLatencyHistogram() *hdrhistogram.Histogram {
	const significantFigures = 3
	return hdrhistogram.New(1, time.Minute.Microseconds(), significantFigures)
}

// microsecondsAt returns a percentile of a histogram of microseconds.
func microsecondsAt(latency *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(latency.ValueAtQuantile(percentile)) * time.Microsecond
}
