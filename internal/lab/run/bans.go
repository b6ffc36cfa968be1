package run

import (
	"context"
	"net/http"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

// The paths of the operators' commands.
const (
	banPath   = "/_servers/detach"
	unbanPath = "/_servers/attach"
)

const (
	// banTimeout is how long a ban is tried that a node may not accept yet, since it does not know the server.
	banTimeout = 2 * time.Second
	// unbanTimeout is how long the lifting of a ban is tried.
	unbanTimeout = 10 * time.Second
	// commandInterval is the time between two attempts of a command.
	commandInterval = 100 * time.Millisecond
	// noServer is the number of no server in the ledger.
	noServer = -1
)

// serverBan is a server that was banned at a node.
type serverBan struct {
	server string        // its ID
	index  int32         // its number in the ledger; noServer: the ban was not confirmed, and nothing is owed
	from   time.Duration // from when it counts
}

// banServers bans a share of the servers at a node, for as long as the fault lasts. One fault at a time does so at a
// node: a single command lifts a ban, however many made it.
func (f *fleet) banServers(ctx context.Context, fault experiment.Fault, number int) {
	if !f.beginBans(number) {
		return
	}
	defer f.endBans(number)
	n, id := f.nodes[number], f.destinations[number].ID
	servers := f.tiers[0]
	var bans []serverBan
	for i := range max(1, int(fault.Share*float64(len(servers)))) {
		bans = append(bans, f.ban(ctx, n, servers[(number+i)%len(servers)]))
	}
	sleep(ctx, fault.For.Std())
	for _, ban := range bans {
		// The node may send again from the moment that it has the command.
		f.ledger.AddBan(judge.Ban{Node: id, Server: ban.index, From: ban.from, To: time.Since(f.start)})
		unban(ctx, n, ban.server)
	}
}

// beginBans returns whether no other fault bans servers at a node now, and notes that one does.
func (f *fleet) beginBans(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.banning[number] {
		return false
	}
	f.banning[number] = true
	return true
}

// endBans notes that no fault bans servers at a node any more.
func (f *fleet) endBans(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.banning[number] = false
}

// ban has a node ban a server. If it is not confirmed, it is lifted all the same, since it may be in force.
func (f *fleet) ban(ctx context.Context, n *standin.Node, s *serverSlot) serverBan {
	s.mu.Lock()
	ban := serverBan{server: s.member.ID, index: s.member.Index}
	s.mu.Unlock()
	confirmed := retryCommand(ctx, banTimeout, func() bool {
		return n.OperatorCall(banPath, ban.server) == http.StatusOK
	})
	if confirmed {
		sleep(ctx, commandInterval) // the ban counts from a while after its confirmation
	} else {
		ban.index = noServer
	}
	ban.from = time.Since(f.start)
	return ban
}

// unban has a node lift a ban.
func unban(ctx context.Context, n *standin.Node, server string) {
	retryCommand(ctx, unbanTimeout, func() bool {
		status := n.OperatorCall(unbanPath, server)
		return status == http.StatusOK || status == http.StatusNotFound
	})
}

// retryCommand tries an operators' command until it is confirmed, and returns whether it was.
func retryCommand(ctx context.Context, timeout time.Duration, command func() bool) bool {
	for end := time.Now().Add(timeout); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, commandInterval) {
		if command() {
			return true
		}
	}
	return false
}
