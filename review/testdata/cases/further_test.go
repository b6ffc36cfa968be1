package cases_test

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["rolling-restart"] = rollingRestart
	cases["gone-server"] = goneServer
	cases["lost-drain"] = lostDrain
	cases["stale-leader"] = staleLeader
}

// The plays of this file show further findings of the report. They are no cases.

const recordedFile = `
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
status = %q

[[service]]
name = "booking"
discovery = %q

  [[service.method]]
  name = "find-table"
  repeat = "idempotent"
  deadline = "6s"

[[route]]
to = "booking"
`

// recordedFleet is a node with a store of record before two servers.
type recordedFleet struct {
	play         *play
	discovery    *discovery
	store        string
	command      string // of the node
	addr, status string // of the node
	newID        func() string

	mu    sync.Mutex
	began map[string][]time.Duration // when attempts began, by server
}

// startRecordedFleet starts servers and discovery. The node is started by its command.
func startRecordedFleet(p *play, store string) *recordedFleet {
	f := &recordedFleet{
		play: p, store: store, addr: freeAddress(), status: freeAddress(), newID: newIDs("f"),
		began: map[string][]time.Duration{},
	}
	var members []member
	for _, name := range []string{"s1", "s2"} {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			p.note("server %s: an attempt of %s begins", name, r.Header.Get("X-Trace-Id"))
			f.mu.Lock()
			f.began[name] = append(f.began[name], p.now())
			f.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "from "+name)
		})
		members = append(members, member{ID: name, HostPort: s.addr(), Phase: "ready", Size: 1})
	}
	f.discovery = startDiscovery(p, "discovery", 41, members...)
	p.runOnce("bin/robincart record init --store '" + store + "'")
	f.command = nodeCommand() + " --config " + p.write("n1.toml", fmt.Sprintf(recordedFile, f.addr, store,
		filepath.Join(p.temporary, "n1.snapshot"), f.status, f.discovery.addr()))
	return f
}

// volley sends calls at once and returns how many were served.
func (f *recordedFleet) volley(calls int) int {
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for range calls {
		clients.Go(func() {
			r := request{id: f.newID(), method: "find-table", verb: http.MethodGet, expires: 4 * time.Second}
			o := f.play.send(f.addr, r, answerSlack)
			f.play.note("client: %s: status %d %q %v", r.id, o.status, o.body, o.err)
			mu.Lock()
			defer mu.Unlock()
			if o.status == http.StatusOK {
				served++
			}
		})
	}
	clients.Wait()
	return served
}

// beganAfter is how many attempts began at a server after a time.
func (f *recordedFleet) beganAfter(name string, at time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, began := range f.began[name] {
		if began > at {
			count++
		}
	}
	return count
}

// recordStatus is the node's page on its record.
func (f *recordedFleet) recordStatus() string {
	response, err := http.Get("http://" + f.status + "/record")
	failIf(err, "status of the record")
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	failIf(err, "status of the record")
	return string(text)
}

// rollingRestart restarts both servers under their names, one after the other, as discovery tells.
func rollingRestart(p *play) string {
	f := startRecordedFleet(p, "sqlite:"+filepath.Join(p.temporary, "record.db"))
	p.start("node", f.command)
	p.awaitReady(f.addr)
	time.Sleep(time.Second)
	for _, name := range []string{"s1", "s2"} {
		if !p.trouble {
			break
		}
		f.discovery.setPhase(name, "draining")
		time.Sleep(2 * time.Second)
		f.discovery.restarted(name, time.Now())
		time.Sleep(2 * time.Second)
	}
	served := 0
	for range 30 {
		served += f.volley(1)
		time.Sleep(200 * time.Millisecond)
	}
	p.note("%s", f.recordStatus())
	if served == 0 {
		return "both servers are listed as ready, and all of 30 calls in 6 s were rejected with no attempt"
	}
	return ""
}

// goneServer restarts the node while a server leaves the list, and later kills it while discovery is down.
func goneServer(p *play) string {
	f := startRecordedFleet(p, "sqlite:"+filepath.Join(p.temporary, "record.db"))
	node := p.start("node", f.command)
	p.awaitReady(f.addr)
	time.Sleep(time.Second)
	f.volley(20)
	time.Sleep(time.Second)
	failIf(node.Process.Signal(syscall.SIGTERM), "SIGTERM")
	node.Wait()
	f.discovery.remove("s1")
	node = p.start("node", f.command)
	p.awaitReady(f.addr)
	time.Sleep(2 * time.Second)
	told := p.now()
	f.volley(20)
	if p.trouble {
		f.discovery.listener.Close()
		f.discovery.http.Close()
		p.note("discovery is down")
	}
	p.kill("node", node)
	p.start("node", f.command)
	p.awaitReady(f.addr)
	f.volley(20)
	if late := f.beganAfter("s1", told); late > 0 {
		return fmt.Sprintf("%d attempts began at a server that the whole list had left out since before the last restart", late)
	}
	return ""
}

// lostDrain kills the node and its store right after an operator's drain is in force.
func lostDrain(p *play) string {
	postgres := freeAddress()
	command := fmt.Sprintf("exec review/bin/cases pg %s %s", postgres, filepath.Join(p.temporary, "rows"))
	database := p.start("store", command)
	time.Sleep(500 * time.Millisecond)
	f := startRecordedFleet(p, "postgres://robin:cart@"+postgres+"/record?sslmode=disable")
	node := p.start("node", f.command)
	p.awaitReady(f.addr)
	time.Sleep(time.Second)
	f.volley(20)
	time.Sleep(time.Second)
	p.runOnce("bin/robincart record drain --by noi --store '" + f.store + "' booking/s1")
	for end := time.Now().Add(5 * time.Second); !strings.Contains(f.recordStatus(), "drained by noi"); {
		if time.Now().After(end) {
			panic(notRun("the drain was not in force in 5 s"))
		}
	}
	told := p.now()
	p.note("the node says that s1 is drained")
	if p.trouble {
		p.kill("store", database)
		p.kill("node", node)
		p.start("node", f.command)
		p.awaitReady(f.addr)
	}
	time.Sleep(500 * time.Millisecond)
	f.volley(20)
	if late := f.beganAfter("s1", told+drainGrace); late > 0 {
		return fmt.Sprintf("%d attempts began at a server whose drain the node had in force before it was killed", late)
	}
	return ""
}

const settingController = `
identity = "c%d"

[api]
server = "http://%s"
namespace = "default"

[record]
store = %q

[leader]
hold = "6s"

[[service]]
name = "booking"
service = "booking-api"
listen = %q
`

const settingObject = `{"apiVersion": "robincart.dev/v1", "kind": "Setting",
 "metadata": {"name": "night", "namespace": "default"},
 "spec": {"kind": "route", "name": "night", "text": "[[route]]\nname = \"night\"\nhost = \"%s\"\nto = \"booking\"\n"}}`

// staleLeader kills the controller's leader after another replica's watches have fallen silent and a Setting object has
// changed.
func staleLeader(p *play) string {
	apiAddr := freeAddress()
	p.start("api", "exec review/bin/robinlab apiserver --pods 3 --listen "+apiAddr)
	time.Sleep(time.Second)
	store := "sqlite:" + filepath.Join(p.temporary, "record.db")
	p.runOnce("bin/robincart record init --store " + store)
	replica := func(number int) (kill func(), way *proxy) {
		way = newProxy(apiAddr)
		name := fmt.Sprint("controller", number)
		config := fmt.Sprintf(settingController, number, way.addr(), store, freeAddress())
		command := p.start(name, "exec bin/robincart-controller --config "+p.write(name+".toml", config))
		time.Sleep(2 * time.Second)
		return func() { p.kill(name, command) }, way
	}
	killLeader, _ := replica(1)
	_, way := replica(2)
	set := func(verb, path, host string) {
		url := "http://" + apiAddr + "/apis/robincart.dev/v1/namespaces/default/settings" + path
		call, err := http.NewRequest(verb, url, strings.NewReader(fmt.Sprintf(settingObject, host)))
		failIf(err, "setting")
		call.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(call)
		failIf(err, "setting")
		response.Body.Close()
		p.note("%s of the setting for %s: %d", verb, host, response.StatusCode)
	}
	show := func() string { return p.runOnce("bin/robincart record show --kind route --store " + store) }
	set(http.MethodPost, "", "a.example.org")
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.note("%d open watches of the second replica fall silent", way.silenceWatches())
	}
	set(http.MethodPut, "/night", "b.example.org")
	time.Sleep(3 * time.Second)
	if !strings.Contains(show(), "b.example.org") {
		panic(notRun("the leader did not record the setting"))
	}
	killLeader()
	time.Sleep(15 * time.Second)
	if !strings.Contains(show(), "b.example.org") {
		return "the second replica, as the leader, has put the old setting over the newer one"
	}
	return ""
}
