package cases_test

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-routes"] = lostRoutes }

const lostRoutesFile = `
name = "n1"
listen = [%q]
seed = "8c1f30d27a5be964"

[machine]
cores = 1
memory_mb = 192
sockets = 1024

[record]
store = %q
snapshot = %q

[[service]]
name = "booking"
servers = [%q]

  [[service.method]]
  name = "find-table"
  repeat = "idempotent"
  target = "2500ms"
  deadline = "6s"

[[service]]
name = "tables"
servers = [%q]

  [[service.method]]
  name = "find-table"
  repeat = "idempotent"
  target = "2500ms"
  deadline = "6s"

[[route]]
to = "booking"
`

// recordedRoute is a route as it is recorded.
const recordedRoute = `[[route]]
name = %q
host = %q
to = %q
`

// lostRoutes records a route, lets two writers race on another one, and restarts the node.
func lostRoutes(p *play) string {
	serve := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			p.note("a server of %s runs %s for %s", name, r.Header.Get("X-Trace-Id"), r.Host)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "from "+name)
		}
	}
	booking, tables := startServer(serve("booking")), startServer(serve("tables"))
	addr := freeAddress()
	store := "sqlite:" + filepath.Join(p.temporary, "record.db")
	p.runOnce("bin/robincart record init --store " + store)
	file := p.write("n1.toml", fmt.Sprintf(lostRoutesFile, addr, store, filepath.Join(p.temporary, "n1.snapshot"),
		booking.addr(), tables.addr()))
	command := nodeCommand() + " --config " + file
	node := p.start("node", command)
	p.awaitReady(addr)

	record := func(writer, name, host, to string) {
		route := p.write(name+".toml", fmt.Sprintf(recordedRoute, name, host, to))
		p.runOnce(fmt.Sprintf("bin/robincart record set --store %s --by %s route %s %s --expect 0", store, writer, name,
			route))
	}
	newID := newIDs("l")
	// ask sends calls to a host and returns how many were answered, by which service's servers.
	ask := func(host string, calls int) map[string]int {
		answers := map[string]int{}
		for range calls {
			r := request{
				id: newID(), method: "find-table", verb: http.MethodGet, host: host, expires: 4 * time.Second,
			}
			o := p.send(addr, r, answerSlack)
			p.note("client: %s to %s: status %d %q %v", r.id, host, o.status, o.body, o.err)
			answers[fmt.Sprintf("%d %s", o.status, o.body)]++
		}
		return answers
	}
	const lunch, right = "lunch.example.org", "200 from tables"
	const calls = 20
	record("noi", "lunch", lunch, "tables")
	time.Sleep(time.Second)
	if before := ask(lunch, calls); before[right] != calls {
		panic(notRun(fmt.Sprintf("the recorded route is not in force: %v", before)))
	}
	var writers sync.WaitGroup
	writers.Go(func() { record("noi", "night", "night.example.org", "tables") })
	if p.trouble { // another writer records a route for the same requests at the same time
		writers.Go(func() { record("lek", "evening", "night.example.org", "booking") })
	}
	writers.Wait()
	time.Sleep(time.Second)
	if before := ask(lunch, calls); before[right] != calls {
		return fmt.Sprintf("before the restart: %v", before)
	}
	failIf(node.Process.Signal(syscall.SIGTERM), "SIGTERM")
	node.Wait()
	p.note("node ended by SIGTERM")
	p.start("node", command)
	p.awaitReady(addr)
	time.Sleep(2 * time.Second)
	if after := ask(lunch, calls); after[right] != calls {
		return fmt.Sprintf("of %d calls to %s, whose recorded route leads to tables and was in force until the restart, "+
			"after it: %v", calls, lunch, after)
	}
	return ""
}
