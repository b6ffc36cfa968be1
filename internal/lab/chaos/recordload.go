package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"robincart/internal/controlplane/recordcache"
)

const (
	// statusTimeout bounds the reading of a node's status page.
	statusTimeout = 500 * time.Millisecond
	// observeInterval is how often a node's status page is read.
	observeInterval = 20 * time.Millisecond
	// settleAfterStart is for how long after its kill or its start what a node shows does not count.
	settleAfterStart = 100 * time.Millisecond
	// durableAfter is how long a node that is not killed shows a drain until it has to know of it for good: by then it
	// is in the node's snapshot or in the store.
	durableAfter = 500 * time.Millisecond
	// killMargin is how long before a request its node may have been killed for the request to be lost with it.
	killMargin = 50 * time.Millisecond
)

// load sends requests to a node steadily, and checks that each one whose connection outlives it gets one response.
func (r *Record) load(ctx context.Context, i int) {
	n := r.nodes[i]
	target := fmt.Sprintf("/find/n%d", i)
	callSteadily(ctx, r.Rate, func(id int) {
		begin := time.Now()
		text, connected := sendRequest(n.Addr, target, i, id)
		if !connected {
			r.count("not connected")
			return
		}
		responses := bytes.Count(text, []byte("HTTP/1.1 "))
		switch {
		case responses == 1 && bytes.Contains(text, []byte(" 200 ")):
			r.count("ok")
		case responses == 1:
			r.count("not ok")
		case responses > 1:
			r.reportBroken("n%d sent %d responses to one request", i, responses)
		case r.wasKilled(n, begin):
			r.count("lost with its node")
		default:
			r.reportBroken("n%d sent no response within %v", i, time.Since(begin))
		}
	})
}

// wasKilled returns whether a node was killed since a moment. A killed process may take its time to go, and the kernel
// accepts connections for it meanwhile.
func (r *Record) wasKilled(n *recordNode, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.dead {
		return true
	}
	for _, at := range n.downs {
		if at.After(since.Add(-killMargin)) {
			return true
		}
	}
	return false
}

// checkRequest checks that the node which has sent a request to a server is not bound by a drain of it.
func (r *Record) checkRequest(addr, head string) {
	now := time.Now()
	var node int
	fmt.Sscanf(head, "GET /find/n%d ", &node)
	r.mu.Lock()
	var broken string
	for _, s := range r.servers {
		since, known := s.knownSince[node]
		if s.addr == addr && known && now.After(since.Add(drainGrace+r.Slack)) {
			after := now.Sub(since).Round(time.Millisecond)
			broken = fmt.Sprintf("n%d sent a request to %s %v after it knew of its drain: %s",
				node, s.id, after, r.drainHistory(node, s))
		}
	}
	r.mu.Unlock()
	if broken != "" {
		r.reportBroken("%s", broken)
	}
}

// readStatus reads a node's status page.
func (r *recordNode) readStatus() (recordcache.Status, error) {
	var status recordcache.Status
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + r.status + "/record")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// drainingServers are the ids of the servers that a status page shows as draining.
func drainingServers(status recordcache.Status) map[string]bool {
	shown := map[string]bool{}
	for _, d := range status.Draining {
		shown[strings.TrimPrefix(d.Server, servicePrefix)] = true
	}
	return shown
}

// servicePrefix is before a server's id in the record: the service's name.
const servicePrefix = "s/"

// observe reads what a node knows until the context ends.
func (r *Record) observe(ctx context.Context, i int) {
	n := r.nodes[i]
	for ctx.Err() == nil {
		time.Sleep(observeInterval)
		status, err := n.readStatus()
		now := time.Now()
		r.mu.Lock()
		if err != nil || n.wentDownSince(now.Add(-settleAfterStart)) {
			clear(n.shownSince)
		} else {
			r.noteShown(i, drainingServers(status), now)
		}
		r.mu.Unlock()
	}
}

// wentDownSince returns whether a node was killed or ready again after a moment. The mutex is held.
func (r *recordNode) wentDownSince(moment time.Time) bool {
	return len(r.downs) > 0 && r.downs[len(r.downs)-1].After(moment)
}

// noteShown notes which drains a node shows, and which of them it has to know for good from now on. The mutex is held.
func (r *Record) noteShown(i int, shown map[string]bool, now time.Time) {
	n := r.nodes[i]
	for _, s := range r.servers {
		key := s.drainKey()
		since, seen := n.shownSince[key]
		switch {
		case !s.drained || !shown[s.id]:
			delete(n.shownSince, key)
		case !seen:
			n.shownSince[key] = now
		case now.Sub(since) > durableAfter && s.knownSince[i].IsZero():
			s.knownSince[i] = now
		}
	}
}
