package cost

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Bits of a trace ID at an unlimited rate, above those that number a caller's calls: nodes remember the IDs of calls
// for a while, so no two calls of a run have the same one.
const (
	unlimitedTraceIDs = 1 << 60
	playShift         = 36
	callerShift       = 22
)

// playUnlimited has callers make one call after another to a target, and sets what came of it in the sample. Plays of
// a run have different numbers.
func playUnlimited(ctx context.Context, config *Comparison, to *target, play int, sample *Sample) error {
	begin := time.Now().Add(warmUpTime(config.Duration))
	end := begin.Add(config.Duration)
	address := func(i int) string { return to.destinations[i%len(to.destinations)].Addr }
	clients, err := dialClients(config.Callers, end, address)
	if err != nil {
		return err
	}
	defer closeClients(clients)
	callers := make([]unlimitedCaller, len(clients))
	var calling sync.WaitGroup
	for i, client := range clients {
		client.traceID = unlimitedTraceIDs | uint64(play+1)<<playShift | uint64(i)<<callerShift
		calling.Go(func() { callers[i].err = client.callUntil(ctx, begin, end, callers[i].record) })
	}
	usage, err := measureUsage(to, begin, end)
	calling.Wait()
	if err != nil {
		return err
	}
	sample.Usage, sample.Duration = usage, config.Duration
	var latencies []time.Duration
	for i := range callers {
		caller := &callers[i]
		if caller.err != nil {
			return caller.err
		}
		sample.Calls += caller.calls
		sample.OK += len(caller.latencies)
		latencies = append(latencies, caller.latencies...)
	}
	if sample.OK == 0 {
		return errNothingAnswered
	}
	sample.setLatencies(latencies)
	sample.SentP99 = sample.P99
	return nil
}

// unlimitedCaller is what became of one caller's calls.
type unlimitedCaller struct {
	calls     int
	latencies []time.Duration // of those answered with success
	err       error
}

// record counts an answered call.
func (u *unlimitedCaller) record(status int, latency time.Duration) {
	u.calls++
	if status == http.StatusOK {
		u.latencies = append(u.latencies, latency)
	}
}
