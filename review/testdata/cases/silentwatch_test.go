package cases_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["silent-watch"] = silentWatch }

const (
	// watchSilence is when at the latest counts as told what a watch misses that has fallen silent.
	watchSilence = 6 * time.Second
	// silentPlay is how long calls go on after the bound.
	silentPlay = 20 * time.Second
)

const controllerFile = `
identity = "c1"

[api]
server = "http://%s"
namespace = "default"

[leader]
lease = "robincart-controller"
hold = "6s"

[[service]]
name = "booking"
service = "booking-api"
listen = %q
`

const platformFile = `{"name": "n1", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
 "known": {"revision": 0, "complete": true, "members": []},
 "settings": {"Classes": [
   {"Name": "find-table", "AimMs": 2500, "DeadlineMs": 6000, "Credit": 1, "Repeat": "repeatable"},
   {"Name": "book-table", "AimMs": 2500, "DeadlineMs": 6000, "Credit": 10, "Repeat": "by_key", "DedupScope": "all",
    "WindowMs": 10000}],
  "Zones": ["a", "b", "c"], "Instances": 1, "RegistryMode": "subscribe",
  "Limits": {"MaxAttempts": 5, "MayCancel": true, "RetryAfter": true, "MaxRetryAfterMs": 2000, "ConnIdleMs": 30000,
   "ConnectTimeoutMs": 250},
  "Rules": {"AnswerSlackMs": 20, "ColdFrom": 0.14, "ColdMs": 24000, "FallMs": 3000, "FallMultiple": 2.5,
   "MustAskInMs": 10000, "StopSendingWithinMs": 400}}}`

// silentWatch makes the controller's open watches of the cluster manager's API fall silent, and ends two of ten pods.
func silentWatch(p *play) string {
	apiAddr, listAddr, nodeAddr := freeAddress(), freeAddress(), freeAddress()
	api := p.start("api", "exec review/bin/robinlab apiserver --pods 10 --listen "+apiAddr)
	time.Sleep(time.Second)
	way := newProxy(apiAddr)
	p.start("controller", "exec bin/robincart-controller --config "+
		p.write("controller.toml", fmt.Sprintf(controllerFile, way.addr(), listAddr)))
	before := p.awaitList(listAddr, 10)
	config := p.write("n1.json", fmt.Sprintf(platformFile, nodeAddr, listAddr))
	p.start("node", nodeCommand(), "EDGE_CONFIG="+config)
	p.awaitReady(nodeAddr)

	type call struct {
		outcome
		id string
	}
	var mu sync.Mutex
	var calls []call
	var clients sync.WaitGroup
	stop := make(chan struct{})
	newID := newIDs("s")
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			clients.Go(func() {
				r := request{id: newID(), method: "find-table", verb: http.MethodGet, expires: 4 * time.Second}
				o := p.send(nodeAddr, r, answerSlack)
				p.note("client: %s sent %.3f answered %.3f status %d %q %v", r.id, o.sentAt.Seconds(),
					o.answeredAt.Seconds(), o.status, o.body, o.err)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, call{o, r.id})
			})
		}
	})
	time.Sleep(4 * time.Second)
	if p.trouble {
		p.note("%d open watches of the controller at the API fall silent; other connections, and new ones, are served", way.silenceWatches())
	}
	time.Sleep(time.Second)
	fmt.Fprint(p.inputs[api], "evict p1\nevict p2\n")
	drained := p.now()
	p.note("pods p1 and p2 are deleted")
	bound := drained + watchSilence + drainGrace
	p.sleepUntil(bound + silentPlay)
	close(stop)
	clients.Wait()

	after := apiAddresses(apiAddr)
	var ended []string
	for _, m := range before {
		if host, _, _ := strings.Cut(m.HostPort, ":"); !slices.Contains(after, host) {
			ended = append(ended, host)
		}
	}
	p.note("ended: %v; calls that begin after %.3f must not reach them", ended, bound.Seconds())
	if len(ended) != 2 || len(calls) == 0 {
		panic(notRun(fmt.Sprintf("%d pods ended, and %d calls were made", len(ended), len(calls))))
	}
	late, last := 0, time.Duration(0)
	for _, c := range calls {
		host, answeredByPod := strings.CutPrefix(c.body, "from ")
		if answeredByPod && slices.Contains(ended, host) && c.dialAt > bound {
			late++
			last = max(last, c.dialAt)
		}
	}
	if late > 0 {
		return fmt.Sprintf("%d calls that began more than %v after the end of two pods was published were sent to them, "+
			"the last one %v after it", late, bound-drained, (last - drained).Round(time.Millisecond))
	}
	return ""
}

// awaitList waits until a list has so many ready servers.
func (p *play) awaitList(addr string, ready int) []member {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + addr + "/registry/instances")
		if err != nil {
			continue
		}
		var list message
		err = json.NewDecoder(bufio.NewReader(response.Body)).Decode(&list)
		response.Body.Close()
		if err == nil && len(list.Members) == ready {
			p.note("the controller lists %d servers", ready)
			return list.Members
		}
	}
	panic(notRun("the controller published no list in 20 s"))
}

// apiAddresses are the addresses in the endpoint slices that the API has now.
func apiAddresses(apiAddr string) []string {
	response, err := http.Get("http://" + apiAddr + "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices")
	failIf(err, "endpoint slices")
	defer response.Body.Close()
	var list struct {
		Items []struct {
			Endpoints []struct{ Addresses []string }
		}
	}
	failIf(json.NewDecoder(response.Body).Decode(&list), "endpoint slices")
	var addresses []string
	for _, slice := range list.Items {
		for _, endpoint := range slice.Endpoints {
			addresses = append(addresses, endpoint.Addresses...)
		}
	}
	return addresses
}
