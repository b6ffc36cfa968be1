package cases_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["stalled-store"] = stalledStore }

const (
	// storeStall is how long the store of record stalls.
	storeStall = 10 * time.Second
	// frontNotices is how long after a node's death clients are still sent to it.
	frontNotices = 2 * time.Second
)

const stalledStoreFile = `
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
name = "dosing"
servers = [%q, %q, %q]
max_retry_after = "1500ms"

  [[service.method]]
  name = "schedule-read"
  repeat = "idempotent"
  target = "1200ms"
  deadline = "3s"
  utility = 5
  late_utility = 0.25

  [[service.method]]
  name = "dose-record"
  repeat = "deduplicated"
  window = "3s"
  target = "500ms"
  deadline = "2s"
  utility = 3
  late_utility = 0.5

[[route]]
to = "dosing"
`

// stalledStore kills a node and starts it again, while its store of record stalls.
func stalledStore(p *play) string {
	rows := filepath.Join(p.temporary, "rows")
	postgres := freeAddress()
	p.start("store", fmt.Sprintf("exec review/bin/cases pg %s %s", postgres, rows))
	time.Sleep(500 * time.Millisecond)
	way := newProxy(postgres)
	store := "postgres://robin:cart@" + way.addr() + "/record?sslmode=disable"
	p.runOnce("bin/robincart record init --store '" + store + "'")

	answer := func(w http.ResponseWriter, r *http.Request) {
		p.note("a server runs %s, told %s ms", r.Header.Get("X-Trace-Id"), r.Header.Get("X-Expires-In-Ms"))
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, "done")
	}
	a, b, c := startServer(answer), startServer(answer), startServer(answer)
	addr := freeAddress()
	file := p.write("n1.toml", fmt.Sprintf(stalledStoreFile, addr, store, filepath.Join(p.temporary, "n1.snapshot"),
		a.addr(), b.addr(), c.addr()))
	command := nodeCommand() + " --config " + file
	node := p.start("node", command)
	p.awaitReady(addr)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	restarted := time.Duration(0) // when the killed node was gone
	stop := make(chan struct{})
	newID := newIDs("r")
	random := rand.New(rand.NewSource(1))
	send := func() {
		r := request{id: newID(), method: "schedule-read", verb: http.MethodGet}
		deadline := 3 * time.Second
		if random.Intn(2) == 0 {
			r.method, r.verb, r.key = "dose-record", http.MethodPost, "k"+r.id
			deadline = 2 * time.Second
		}
		// Clients give a try up after 40 to 55% of the deadline.
		r.expires = time.Duration((0.40 + 0.15*random.Float64()) * float64(deadline)).Truncate(time.Millisecond)
		clients.Go(func() {
			o := p.send(addr, r, answerSlack)
			p.note("client: %s %s expires %v: sent %.3f answered %.3f status %d %v", r.id, r.method, r.expires,
				o.sentAt.Seconds(), o.answeredAt.Seconds(), o.status, o.err)
			mu.Lock()
			defer mu.Unlock()
			began := restarted != 0 && o.dialAt > restarted && o.dialAt < restarted+frontNotices
			taken := o.sentAt != 0
			timedOut := o.err != nil && isTimeout(o.err)
			late := o.answered() && o.answeredAt > o.sentAt+r.expires+answerSlack
			if began && taken && (timedOut || late) {
				lost = append(lost, r.id)
			}
		})
	}
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				send()
			}
		}
	})

	time.Sleep(2 * time.Second)
	if p.trouble {
		p.note("the store stalls")
		way.stall(true)
		time.AfterFunc(storeStall, func() {
			p.note("the store goes on")
			way.stall(false)
		})
	}
	time.Sleep(time.Second)
	p.kill("node", node)
	mu.Lock()
	restarted = p.now()
	mu.Unlock()
	p.start("node", command)
	p.awaitReady(addr)
	time.Sleep(storeStall + time.Second)
	close(stop)
	clients.Wait()
	if len(lost) > 0 {
		return fmt.Sprintf("%d requests that the restarted node's machine had accepted had no answer in their time and "+
			"0.5 s: %v", len(lost), lost)
	}
	return ""
}
