package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/wire"
)

// mixedSettings returns the settings of a deployment before or after its move to one node for each client. The move
// disables hedging, adds load reports to responses and work hints to requests, and increases the number of nodes.
func mixedSettings(hedging bool, nodes int, more string) json.RawMessage {
	s := strings.Replace(testSettings, `"Instances":1`, fmt.Sprintf(`"Instances":%d%s`, nodes, more), 1)
	s = strings.Replace(s, `"MayCancel":true`, fmt.Sprintf(`"MayCancel":true,"SecondCopies":%t`, hedging), 1)
	const rules = `"Rules":{"ColdFrom":0.2,"ColdMs":20000,"FallMultiple":3,"FallMs":3000,`
	return json.RawMessage(strings.Replace(s, `"Rules":{`, rules, 1))
}

// mixedFleet is the result of a run in which some nodes have the old settings and the other nodes have the new
// settings.
type mixedFleet struct {
	status       map[string]int    // status of the response, by request ID; 0: no response
	kind         map[string]string // "old" or "new": settings of the node that got the request, by request ID
	once         map[string]bool   // IDs of requests that must not run twice
	ran          map[string]int    // number of runs, by request ID
	lateRequests int               // requests that arrived at the drained server after its grace period
}

// violations returns the broken rules. One rule is that the nodes of each kind serve at least 90% of the requests that
// they get.
func (m *mixedFleet) violations() (problems []string) {
	ok, all := map[string]int{}, map[string]int{}
	for id, status := range m.status {
		all[m.kind[id]]++
		if status == 200 {
			ok[m.kind[id]]++
		}
		if status != 200 && status != 503 && status != 504 {
			problems = append(problems, fmt.Sprintf("%s: got status %d, expected 200, 503 or 504", id, status))
		}
		if m.once[id] && (m.ran[id] > 1 || m.ran[id] > 0 && status == 503) {
			problems = append(problems, fmt.Sprintf("%s: ran %d times and got status %d", id, m.ran[id], status))
		}
	}
	for kind, n := range all {
		if 10*ok[kind] < 9*n {
			problems = append(problems, fmt.Sprintf("%s nodes served %d of %d, expected 90%%", kind, ok[kind], n))
		}
	}
	if m.lateRequests > 0 {
		problems = append(problems, fmt.Sprintf("%d requests after the drained server's grace period", m.lateRequests))
	}
	return problems
}

func TestMixedFleet_OldAndNewSettings(t *testing.T) {
	m := &mixedFleet{
		status: map[string]int{},
		kind:   map[string]string{},
		once:   map[string]bool{},
		ran:    map[string]int{},
	}
	var mu sync.Mutex
	var graceEnd time.Time // the end of s0's grace period
	d := newDiscovery(t)
	servers := map[string]*server{}
	add := func(name string, up time.Time) {
		var inFlight atomic.Int64
		servers[name] = newServer(t, func(c net.Conn, q *wire.Request) bool {
			mu.Lock()
			m.ran[q.Header.Get("X-Trace-Id")]++
			if name == "s0" && !graceEnd.IsZero() && time.Now().After(graceEnd) {
				m.lateRequests++
			}
			mu.Unlock()
			head := fmt.Sprintf("X-Load: %d,0,0.5\r\n", inFlight.Add(1))
			time.Sleep(10 * time.Millisecond)
			inFlight.Add(-1)
			_, err := c.Write(wire.AppendResponse(nil, 200, head, nil))
			return err == nil
		})
		member := newMember(name, servers[name].addr(), "ready")
		if !up.IsZero() {
			member.UpSince = up.UnixMilli()
		}
		d.Update(member)
	}
	for i := range 6 {
		add(fmt.Sprint("s", i), time.Time{})
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	sendRequests := func(p *testNode, kind string) {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			method, id := []string{"find", "book", "charge"}[i%3], fmt.Sprintf("%016x", 1<<40+requestCount.Add(1))
			r := p.sendWith(method, "", map[string]string{"X-Trace-Id": id, "X-Work-Hint": fmt.Sprint(8 + i%5)})
			mu.Lock()
			m.status[id], m.kind[id], m.once[id] = r.status, kind, method == "charge"
			mu.Unlock()
		}
	}
	for i := range 7 {
		kind, settings := "old", mixedSettings(true, 7, "")
		if i >= 2 {
			const reports = `,"Hints":true,"Report":{"How":"piggyback","Fields":["concurrent","depth","load_share"]}`
			kind, settings = "new", mixedSettings(false, 7, reports)
		}
		config := newConfig(t, d, d.members()...)
		config["settings"] = settings
		p := startTestNode(t, config)
		// Both kinds of nodes get the same load: 2 nodes with 5 clients each, and 5 nodes with 2 clients each.
		for range map[string]int{"old": 5, "new": 2}[kind] {
			clients.Go(func() { sendRequests(p, kind) })
		}
	}
	time.Sleep(700 * time.Millisecond)
	leaving := d.members()[0]
	leaving.Phase = "draining"
	d.Update(leaving)
	mu.Lock()
	graceEnd = time.Now().Add(time.Second) // the grace period, with a margin for a slow machine
	mu.Unlock()
	add("cold", time.Now())
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	clients.Wait()
	require.Greater(t, len(m.status), 300)
	assert.Empty(t, m.violations())
	assert.Less(t, servers["cold"].count(), len(m.status)/6, "the cold server gets a small part of all requests")

	for violation, violate := range map[string]func(m *mixedFleet){
		"no answer":      func(m *mixedFleet) { m.status["x"] = 0 },
		"twice":          func(m *mixedFleet) { m.status["x"], m.once["x"], m.ran["x"] = 200, true, 2 },
		"false pushback": func(m *mixedFleet) { m.status["x"], m.once["x"], m.ran["x"] = 503, true, 1 },
		"a late request": func(m *mixedFleet) { m.lateRequests = 1 },
		"starving":       func(m *mixedFleet) { m.status["x"], m.kind["x"] = 503, "third" },
	} {
		invalid := &mixedFleet{maps.Clone(m.status), maps.Clone(m.kind), maps.Clone(m.once), maps.Clone(m.ran), 0}
		invalid.kind["x"] = "old"
		violate(invalid)
		assert.Len(t, invalid.violations(), 1, violation)
	}
}
