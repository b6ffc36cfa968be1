package chaos

import (
	"context"
	"syscall"
	"time"

	"robincart/internal/lab/pgstand"
)

// The pauses and lengths of faults, in milliseconds.
const (
	minFaultPause  = 200
	maxFaultPause  = 1400
	maxStoreDown   = 2500
	maxStoreStall  = 2000
	maxNodeRestart = 300
)

const (
	// maxKillTime bounds the wait for the end of a node that was killed.
	maxKillTime = 5 * time.Second
	// storeRestartPause is the pause after a failed start of the store.
	storeRestartPause = 20 * time.Millisecond
)

// The most that a fault of the store hits.
const (
	maxStatementsUntilCut = 12
	maxFaultyCommits      = 3
	maxFailedStatements   = 5
)

// recordFault is a fault of a node or of the store.
type recordFault int

// The faults: killing a node alone is as likely as killing the store.
const (
	faultNodeKilled recordFault = iota
	faultNodeKilledToo
	faultStoreKilled
	faultBothKilled
	faultStoreStalled
	faultConnectionCut
	faultCommitUnknown
	faultErrors
	recordFaultCount

	nodeFaultCount = faultNodeKilledToo + 1 // without a store that can fail
)

// commitFaults are the faults after which a client does not know the outcome of its commit.
var commitFaults = []pgstand.CommitFault{pgstand.CommitThenCut, pgstand.CutInstead}

// errorCodes are the codes of errors that a store answers: a conflict, too many clients, read-only, starting up.
var errorCodes = []string{"40001", "53300", "25006", "57P03"}

// playFaults plays one fault after another until the context ends.
func (r *Record) playFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(randomPause(r.random, minFaultPause, maxFaultPause))
		fault := recordFault(r.random.Intn(int(recordFaultCount)))
		if r.postgres == nil && fault >= nodeFaultCount {
			fault = recordFault(r.random.Intn(int(nodeFaultCount)))
		}
		r.playFault(ctx, fault)
	}
}

func (r *Record) playFault(ctx context.Context, fault recordFault) {
	switch fault {
	case faultNodeKilled, faultNodeKilledToo:
		r.killNode(ctx)
	case faultStoreKilled, faultBothKilled:
		r.killStore(ctx, fault == faultBothKilled)
	case faultStoreStalled:
		r.count("store stalled")
		r.postgres.Stall(true)
		time.Sleep(randomPause(r.random, 0, maxStoreStall))
		r.postgres.Stall(false)
	case faultConnectionCut:
		r.count("connections cut in a transaction")
		r.postgres.CutIn(1 + r.random.Intn(maxStatementsUntilCut))
	case faultCommitUnknown:
		r.count("commits of unknown outcome")
		commitFault := commitFaults[r.random.Intn(len(commitFaults))]
		r.postgres.Commit(commitFault, 1+r.random.Intn(maxFaultyCommits))
	case faultErrors:
		r.count("errors answered")
		code := errorCodes[r.random.Intn(len(errorCodes))]
		r.postgres.Fail(code, 1+r.random.Intn(maxFailedStatements))
	}
}

// killStore kills the store, and a node as well if that is wanted, and starts the store again after a while.
func (r *Record) killStore(ctx context.Context, withNode bool) {
	r.count("store killed")
	r.postgres.Stop()
	if withNode {
		r.killNode(ctx)
	}
	time.Sleep(randomPause(r.random, 0, maxStoreDown))
	for r.startStore() != nil {
		time.Sleep(storeRestartPause)
	}
}

// killNode kills a random node and starts it again after a while.
func (r *Record) killNode(ctx context.Context) {
	i := r.random.Intn(len(r.nodes))
	n := r.nodes[i]
	if err := n.Crashed(); err != nil { // before it is killed on purpose
		r.reportBroken("%v", err)
	}
	r.noteDown(n, true)
	n.Signal(syscall.SIGKILL)
	n.Wait(maxKillTime)
	time.Sleep(randomPause(r.random, 0, maxNodeRestart))
	if err := n.Start(context.WithoutCancel(ctx)); err != nil {
		r.reportBroken("n%d does not start again: %v", i, err)
		return
	}
	r.noteDown(n, false)
	r.count("nodes killed")
}

// noteDown notes that a node is about to be killed, or that it is ready again.
func (r *Record) noteDown(n *recordNode, dead bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.downs, n.dead = append(n.downs, time.Now()), dead
}
