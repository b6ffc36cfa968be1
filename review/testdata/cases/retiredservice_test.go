package cases_test

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["retired-service"] = retiredService }

const retiredServiceFile = `
name = "n1"
listen = [%q]
seed = "8c1f30d27a5be964"

[machine]
cores = 1
memory_mb = 192
sockets = 1024

[[service]]
name = "booking"
discovery = %q
max_picks = 5
connect = "250ms"
must_ask_in = "10s"

  [[service.method]]
  name = "find-table"
  repeat = "idempotent"
  deadline = "6s"
  utility = %d

[[route]]
to = "booking"
`

// listTold is when after SIGHUP at the latest counts as told what the new discovery has.
const listTold = 4 * time.Second

// retiredService gives a node a new configuration, with other settings and another discovery, while requests are out.
// Then one of two servers drains, and the other one dies.
func retiredService(p *play) string {
	var mu sync.Mutex
	began := map[string][]time.Duration{} // when attempts began, by server
	holder := ""                          // the server that holds the requests
	dead := make(chan struct{})
	serve := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Trace-Id")
			p.note("server %s: an attempt of %s begins", name, id)
			mu.Lock()
			began[name] = append(began[name], p.now())
			holds := id[0] == 'h' && (holder == "" || holder == name)
			if holds {
				holder = name
			}
			mu.Unlock()
			if holds {
				select {
				case <-dead:
				case <-r.Context().Done():
				}
				panic(http.ErrAbortHandler) // nothing is answered
			}
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "from "+name)
		}
	}
	servers := map[string]*server{"s1": startServer(serve("s1")), "s2": startServer(serve("s2"))}
	var members []member
	for _, name := range []string{"s1", "s2"} {
		members = append(members, member{ID: name, HostPort: servers[name].addr(), Phase: "ready", Size: 1})
	}
	first := startDiscovery(p, "first discovery", 41, members...)
	second := startDiscovery(p, "second discovery", 7, append([]member(nil), members...)...)
	addr := freeAddress()
	file := p.write("n1.toml", fmt.Sprintf(retiredServiceFile, addr, first.addr(), 1))
	node := p.start("node", nodeCommand()+" --config "+file)
	p.awaitReady(addr)
	time.Sleep(time.Second)

	var clients sync.WaitGroup
	newID := newIDs("")
	send := func(prefix string) {
		clients.Go(func() {
			r := request{id: prefix + newID(), method: "find-table", verb: http.MethodGet, expires: 6 * time.Second}
			o := p.send(addr, r, answerSlack)
			p.note("client: %s sent %.3f answered %.3f status %d %q %v", r.id, o.sentAt.Seconds(),
				o.answeredAt.Seconds(), o.status, o.body, o.err)
		})
	}
	for range 10 { // usual traffic, by which the node comes to know both servers
		for range 6 {
			send("u")
		}
		time.Sleep(200 * time.Millisecond)
	}
	send("h")
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	held := holder
	mu.Unlock()
	if held == "" {
		panic(notRun("no server holds the request"))
	}
	other := map[string]string{"s1": "s2", "s2": "s1"}[held]

	source := first
	changed := p.now()
	if p.trouble {
		failIf(os.WriteFile(file, fmt.Appendf(nil, retiredServiceFile, addr, second.addr(), 2), 0o600), "new file")
		failIf(node.Process.Signal(syscall.SIGHUP), "SIGHUP")
		p.note("SIGHUP: the file has other settings and another discovery")
		first.move()
		source = second
	}
	time.Sleep(2 * time.Second)
	source.setPhase(other, "draining")
	if source != first {
		first.setPhase(other, "draining") // its connections are closed by now
	}
	time.Sleep(500 * time.Millisecond)
	told, written := source.toldAt()
	if !written {
		panic(notRun("discovery could not tell the node of the drain"))
	}
	bound := max(told, changed+listTold) + drainGrace
	p.sleepUntil(bound + 300*time.Millisecond)
	p.note("server %s dies", held)
	close(dead)
	servers[held].die()
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	for _, at := range began[other] {
		if at > bound {
			return fmt.Sprintf("an attempt began at server %s, %v after the node was told that it drains", other,
				(at - told).Round(time.Millisecond))
		}
	}
	return ""
}
