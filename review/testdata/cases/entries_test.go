package cases_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The plays of this file try entries of the list of known failures and of the open issues.

func init() {
	cases["crowded-discovery"] = crowdedDiscovery
	cases["late-list"] = lateList
	cases["drained-process"] = drainedProcess
}

const siteFile = `{"name": %q, "listen": %q, "discovery": %q, "seed": %q,
 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": %s,
 "settings": {"Classes": [
   {"Name": "find-table", "AimMs": 2500, "DeadlineMs": 6000, "Credit": 1, "Repeat": "repeatable"}],
  "Zones": ["a"], "Instances": %d, "RegistryMode": %q,
  "Limits": {"MaxAttempts": 5, "MayCancel": true, "RetryAfter": true, "MaxRetryAfterMs": 2000, "ConnIdleMs": 30000,
   "ConnectTimeoutMs": 250},
  "Rules": {"AnswerSlackMs": 20, "ColdFrom": 0.14, "ColdMs": 24000, "FallMs": 3000, "FallMultiple": 2.5,
   "MustAskInMs": 10000, "StopSendingWithinMs": 400}}}`

// site is a fleet of nodes in the platform's form before two servers.
type site struct {
	play    *play
	mode    string // of the registry
	nodes   int
	members []member
	newID   func() string

	mu    sync.Mutex
	began map[string][]attempt // by server
}

// attempt is when an attempt began, and the node of its client.
type attempt struct {
	at   time.Duration
	node string
}

func newSite(p *play, mode string, nodes int) *site {
	s := &site{play: p, mode: mode, nodes: nodes, newID: newIDs(""), began: map[string][]attempt{}}
	for _, name := range []string{"s1", "s2"} {
		standIn := startServer(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Trace-Id")
			s.mu.Lock()
			s.began[name] = append(s.began[name], attempt{p.now(), id[:2]})
			s.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "from "+name)
		})
		s.members = append(s.members, member{ID: name, HostPort: standIn.addr(), Locality: "a", Phase: "ready", Size: 1})
	}
	return s
}

// config is a node's configuration.
func (s *site) config(name, addr, discovery string, known []member) string {
	list, _ := json.Marshal(message{Revision: 41, Complete: true, Members: known})
	return fmt.Sprintf(siteFile, name, addr, discovery, "8c1f30d27a5be9"+name, list, s.nodes, s.mode)
}

// phases are the members with one server's phase changed.
func (s *site) phases(id, phase string) []member {
	changed := append([]member(nil), s.members...)
	for i := range changed {
		if changed[i].ID == id {
			changed[i].Phase = phase
		}
	}
	return changed
}

// load sends calls to a node, several at once, until stop is closed.
func (s *site) load(name, addr string, stop chan struct{}) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for range 4 {
			clients.Go(func() {
				r := request{id: name + s.newID(), method: "find-table", verb: http.MethodGet, expires: 3 * time.Second}
				o := s.play.send(addr, r, answerSlack)
				s.play.note("client of %s: %s sent %.3f status %d %q %v", name, r.id, o.sentAt.Seconds(), o.status, o.body, o.err)
			})
		}
	}
}

// crowdedFor is how long the new discovery refuses all calls.
const crowdedFor = 3 * time.Second

// crowdedDiscovery moves discovery by one SIGHUP a node. The new discovery has too many callers at first.
func crowdedDiscovery(p *play) string {
	const nodes = 10
	s := newSite(p, "subscribe", nodes)
	first := startDiscovery(p, "first discovery", 41, s.members...)
	second := startDiscovery(p, "second discovery", 7, s.phases("s1", "draining")...)
	type node struct {
		name, addr, file string
		signal           func()
		movedAt          time.Duration
	}
	var fleet []*node
	stop := make(chan struct{})
	var loads sync.WaitGroup
	for i := range nodes {
		n := &node{name: fmt.Sprintf("n%d", i), addr: freeAddress()}
		n.file = p.write(n.name+".json", s.config(n.name, n.addr, first.addr(), s.members))
		command := p.start(n.name, nodeCommand(), "EDGE_CONFIG="+n.file)
		n.signal = func() { failIf(command.Process.Signal(syscall.SIGHUP), "SIGHUP") }
		p.awaitReady(n.addr)
		loads.Go(func() { s.load(n.name, n.addr, stop) })
		fleet = append(fleet, n)
	}
	time.Sleep(5 * time.Second) // the nodes' first calls are spread over some seconds
	if p.trouble {
		second.refuse(true)
	}
	for _, n := range fleet {
		failIf(os.WriteFile(n.file, []byte(s.config(n.name, n.addr, second.addr(), s.members)), 0o600), "new file")
		n.movedAt = p.now()
		n.signal()
	}
	p.note("SIGHUP to all nodes")
	first.move()
	time.Sleep(crowdedFor)
	second.refuse(false)
	p.note("the second discovery answers all calls")
	time.Sleep(4 * time.Second)
	close(stop)
	loads.Wait()
	late := map[string]int{}
	for _, n := range fleet {
		for _, a := range s.began["s1"] {
			if a.node == n.name && a.at > n.movedAt+listTold+drainGrace {
				late[n.name]++
			}
		}
	}
	if len(late) > 0 {
		return fmt.Sprintf("%d of %d nodes sent to a draining server later than 4.45 s after SIGHUP: %v", len(late), nodes,
			late)
	}
	return ""
}

// lateList starts a node whose own list is older than the agent's, where lists are pushed and the agent answers late.
func lateList(p *play) string {
	s := newSite(p, "automatic", 1)
	agent := startDiscovery(p, "agent", 45, s.phases("s1", "draining")...)
	if p.trouble {
		agent.late = 2 * time.Second
	}
	addr := freeAddress()
	started := p.now()
	p.start("n1", nodeCommand(), "EDGE_CONFIG="+p.write("n1.json", s.config("n1", addr, agent.addr(), s.members)))
	p.awaitReady(addr)
	stop := make(chan struct{})
	var loads sync.WaitGroup
	loads.Go(func() { s.load("n1", addr, stop) })
	time.Sleep(4 * time.Second)
	close(stop)
	loads.Wait()
	late := 0
	for _, a := range s.began["s1"] {
		if a.at > started+drainGrace {
			late++
		}
	}
	if late > 0 {
		return fmt.Sprintf("%d attempts began at a server that the agent had as draining later than 0.45 s after the start", late)
	}
	return ""
}

const followingController = `
identity = "c1"

[api]
server = "http://%s"
namespace = "default"

[leader]
hold = "6s"

[[service]]
name = "booking"
service = "booking-api"
listen = %q
`

// drainedProcess has an operator drain one server's process, and kills the controller and starts it again.
func drainedProcess(p *play) string {
	apiAddr, listAddr, addr := freeAddress(), freeAddress(), freeAddress()
	p.start("api", "exec review/bin/robinlab apiserver --pods 4 --listen "+apiAddr)
	time.Sleep(time.Second)
	controllerCommand := "exec bin/robincart-controller --config " +
		p.write("controller.toml", fmt.Sprintf(followingController, apiAddr, listAddr))
	controller := p.start("controller", controllerCommand)
	drained := p.awaitList(listAddr, 4)[0]
	store := "sqlite:" + filepath.Join(p.temporary, "record.db")
	p.runOnce("bin/robincart record init --store " + store)
	p.start("node", nodeCommand()+" --config "+p.write("n1.toml", fmt.Sprintf(recordedFile, addr, store,
		filepath.Join(p.temporary, "n1.snapshot"), freeAddress(), listAddr)))
	p.awaitReady(addr)
	time.Sleep(2 * time.Second)
	p.runOnce("bin/robincart record show --kind server --store " + store)
	p.runOnce(fmt.Sprintf("bin/robincart record drain --by noi --store %s --start %d booking/%s", store, drained.UpSince,
		drained.ID))
	time.Sleep(time.Second)
	host, _, _ := strings.Cut(drained.HostPort, ":")
	newID := newIDs("d")
	// load is how many of the calls of some seconds the drained process answers.
	load := func(lasts time.Duration) int {
		var clients sync.WaitGroup
		var mu sync.Mutex
		reached := 0
		for end := p.now() + lasts; p.now() < end; time.Sleep(50 * time.Millisecond) {
			for range 8 {
				clients.Go(func() {
					r := request{id: newID(), method: "find-table", verb: http.MethodGet, expires: 4 * time.Second}
					o := p.send(addr, r, answerSlack)
					p.note("client: %s sent %.3f status %d %q %v", r.id, o.sentAt.Seconds(), o.status, o.body, o.err)
					mu.Lock()
					defer mu.Unlock()
					if o.body == "from "+host {
						reached++
					}
				})
			}
		}
		clients.Wait()
		return reached
	}
	if reached := load(3 * time.Second); reached > 0 {
		panic(notRun(fmt.Sprintf("the drain was not in force: %d calls reached the process", reached)))
	}
	if p.trouble {
		p.kill("controller", controller)
		p.start("controller", controllerCommand)
	}
	reached := load(8 * time.Second)
	p.runOnce("bin/robincart record show --store " + store)
	p.note("listed at the end: %+v", p.awaitList(listAddr, 4)[0])
	if reached > 0 {
		return fmt.Sprintf("after the controller's restart %d calls went to the process that an operator had drained", reached)
	}
	return ""
}
