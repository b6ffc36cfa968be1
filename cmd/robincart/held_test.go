package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A node whose core others share runs a part of the time only. Servers hang through the whole of its shutdown, with many requests out: each of
// them has its answer before the kill may come.
func TestAStopOfANodeThatIsHeldUpAnswersAllThatIsOut(t *testing.T) {
	const (
		callers  = 120
		killed   = 3700 * time.Millisecond // from SIGTERM: the longest deadline and 0.7 s
		heldUp   = 45 * time.Millisecond
		runs     = 5 * time.Millisecond
		heldFrom = 3300 * time.Millisecond
	)
	var servers []*server
	for range 16 {
		servers = append(servers, newServer(t, hangs))
	}
	p, _ := serving(t, servers...)
	statuses := make(chan reply, callers)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { statuses <- p.askWith("slow", "x", map[string]string{"X-Expires-In-Ms": "6000"}) })
	}
	time.Sleep(300 * time.Millisecond)
	term := time.Now()
	assert.NoError(t, p.Signal(syscall.SIGTERM))
	time.Sleep(heldFrom)
	for time.Since(term) < killed {
		p.Signal(syscall.SIGSTOP)
		time.Sleep(heldUp)
		p.Signal(syscall.SIGCONT)
		time.Sleep(runs)
	}
	p.Signal(syscall.SIGKILL)
	all.Wait()
	close(statuses)
	counts := map[string]int{}
	for r := range statuses {
		if r.err != nil {
			counts["lost"]++
			continue
		}
		counts[fmt.Sprint(r.status)]++
	}
	assert.Equal(t, callers, counts["503"]+counts["504"], "%v", counts)
	assert.Greater(t, counts["504"], callers/2, "%v", counts)
}
