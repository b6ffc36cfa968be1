package run

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

const (
	// reconfigureEvery is the pause between two configurations in a row, where a fault does not say.
	reconfigureEvery = 200 * time.Millisecond
	// movedCloses is how long a discovery that has moved leaves its connections open.
	movedCloses = 1500 * time.Millisecond
	// pausedPart is what part of the time a process is held up, one in so many.
	pausedPart = 6
)

// reconfigure gives a node several configurations in a row: each moves discovery, and each other one changes the settings.
func (f *Fleet) reconfigure(ctx context.Context, x experiment.Fault, number int) {
	n, id := f.nodes[number], f.dests[number].ID
	every := x.By.Std()
	if every <= 0 {
		every = reconfigureEvery
	}
	zone := f.e.Fleet.Zones[number%len(f.e.Fleet.Zones)]
	end := time.Now().Add(time.Duration(x.For))
	for i := 0; ctx.Err() == nil && (i == 0 || time.Now().Before(end)); i++ {
		if !n.Reloads() {
			sleep(ctx, every)
			continue
		}
		door, err := f.Discovery().Listen(id, f.e.Fleet.Host+":0")
		if err != nil {
			f.crash(err)
			return
		}
		settings := f.settings(0, zone)
		if i%2 == 0 {
			settings["Classes"] = append(settings["Classes"].([]map[string]any), map[string]any{"Name": "further", "AimMs": 500, "DeadlineMs": 1000, "Credit": 1,
				"LateWorth": 0, "WindowMs": 0, "Repeat": "once", "DedupScope": "all"})
			settings["Limits"].(map[string]any)["MaxAttempts"] = max(1, f.e.Fleet.MaxAttempts-1)
		}
		n.Configure(func(config map[string]any) { config["discovery"], config["settings"] = door.Addr(), settings })
		if err := n.Write(); err != nil {
			f.crash(err)
			return
		}
		n.Signal(syscall.SIGHUP)
		f.mu.Lock()
		before := f.doors[id]
		f.doors[id] = []*standin.DiscoveryListener{door}
		f.mu.Unlock()
		for _, b := range before {
			b.Close(movedCloses)
		}
		sleep(ctx, every)
	}
}

// replace has another process take a node's callers over under load.
func (f *Fleet) replace(ctx context.Context, number int) {
	n := f.nodes[number]
	n.SetKnownServers(f.Discovery().LastKnown())
	if err := n.Replace(ctx); err != nil && ctx.Err() == nil {
		f.crash(err)
	}
}

// pause holds a process up again and again, each time for as long as the fault says.
func (f *Fleet) pause(ctx context.Context, x experiment.Fault, n *standin.Node) {
	signal := func(s syscall.Signal) bool {
		err := n.Signal(s)
		return err == nil || errors.Is(err, os.ErrProcessDone)
	}
	for end := time.Now().Add(time.Duration(x.For)); ctx.Err() == nil && time.Now().Before(end); {
		if !signal(syscall.SIGSTOP) {
			return
		}
		time.Sleep(x.By.Std())
		signal(syscall.SIGCONT)
		sleep(ctx, (pausedPart-1)*x.By.Std())
	}
	signal(syscall.SIGCONT)
}

// The operators' calls.
const (
	detachPath = "/_servers/detach"
	attachPath = "/_servers/attach"
)

// callBackWithin is how long a server is tried to be called back.
const callBackWithin = 10 * time.Second

// banAgain is the pause between two calls of an operator that were not answered with a yes.
const banAgain = 100 * time.Millisecond

// nobody is the number of no server in the ledger.
const nobody = -1

// banWithin is how long a server is tried to be taken out that the node may not have heard of yet.
const banWithin = 2 * time.Second

// ban takes one server in so many out at a node, for as long as the fault lasts. One fault at a time does so at a node: a single call back ends a
// ban, whoever else called.
func (f *Fleet) ban(ctx context.Context, x experiment.Fault, number int) {
	n, id := f.nodes[number], f.dests[number].ID
	f.mu.Lock()
	busy := f.banning[number]
	f.banning[number] = true
	f.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		f.mu.Lock()
		f.banning[number] = false
		f.mu.Unlock()
	}()
	type out struct {
		name   string
		server int32
		from   time.Duration
	}
	var all []out
	list := f.tiers[0]
	for i := range max(1, int(x.Share*float64(len(list)))) {
		p := list[(number+i)%len(list)]
		p.mu.Lock()
		o := out{name: p.member.ID, server: p.member.Index}
		p.mu.Unlock()
		taken := false
		for end := time.Now().Add(banWithin); !taken && ctx.Err() == nil && time.Now().Before(end); sleep(ctx, banAgain) {
			taken = n.Call(detachPath, o.name) == http.StatusOK
		}
		if !taken { // unknown there, or not kept: nothing is owed, and what is in force is called back all the same
			o.server = nobody
		}
		o.from = time.Since(f.begin)
		all = append(all, o)
	}
	sleep(ctx, time.Duration(x.For))
	for _, o := range all {
		to := time.Since(f.begin) // the node may send again from when it has the call
		f.log.AddBan(judge.Ban{Node: id, Server: o.server, From: o.from, To: to})
		for end := time.Now().Add(callBackWithin); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, banAgain) {
			if status := n.Call(attachPath, o.name); status == http.StatusOK || status == http.StatusNotFound {
				break
			}
		}
	}
}
