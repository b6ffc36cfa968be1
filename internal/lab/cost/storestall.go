package cost

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"robincart/internal/lab/pgstand"
	"robincart/internal/record/store/sqlstore"
)

const (
	stallTurns        = 6
	stallWarmUp       = 2 * time.Second
	storeRecoveryTime = time.Second // after which what waited for the store is written
)

// StoreStall measures calls while the store of record is healthy, stalled, and gone. Servers are replaced all the
// while, so that the node always has something to write.
type StoreStall struct {
	Program       string
	Rate          int           // calls a second
	PhaseDuration time.Duration // of each of a phase's turns
}

// storeState is one phase's.
type storeState struct {
	name             string
	stalled, refused bool
}

// stallPhases are the phases, the healthy one first.
var stallPhases = []storeState{{name: "well"}, {name: "stalled", stalled: true}, {name: "gone", refused: true}}

// Measure returns the phases: store well, stalled, gone.
func (s *StoreStall) Measure(ctx context.Context) ([]Phase, error) {
	dir, err := os.MkdirTemp("", "stall")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	server, err := startStore(ctx, filepath.Join(dir, "rows"))
	if err != nil {
		return nil, err
	}
	defer server.Stop()
	rig, err := newRig(ctx, RigConfig{
		Program:  s.Program,
		Servers:  100,
		Cores:    1,
		MemoryMB: 256,
		Sockets:  2000,
		Churn:    20,
		ExtraTables: fmt.Sprintf("[record]\nstore = %q\nsnapshot = %q\n",
			server.Address(), filepath.Join(dir, "snap")),
	})
	if err != nil {
		return nil, err
	}
	defer rig.close()
	load := newSteadyLoad(rig.node.Addr, s.Rate)
	defer load.close()
	load.play("warm", stallWarmUp, nil)
	// Each phase comes first as often as last: what else the machine does affects all alike, and the record grows with
	// every server that has left, so that a phase which always came later would have more to do.
	phases := make([]Phase, len(stallPhases))
	for turn := range stallTurns {
		for k := range phases {
			i := turnOrder(turn, k, len(phases))
			setStoreState(server, stallPhases[i])
			phases[i].add(load.play(stallPhases[i].name, s.PhaseDuration, nil))
			setStoreState(server, storeState{})
			time.Sleep(storeRecoveryTime)
		}
	}
	return phases, rig.node.Crashed()
}

// turnOrder returns which of n phases is the k-th in a turn: each turn starts one later, and each second one goes
// backward.
func turnOrder(turn, k, n int) int {
	if turn%2 == 1 {
		k = n - k
	}
	return (turn + k) % n
}

// startStore starts a stand-in for the store of record and prepares it for nodes.
func startStore(ctx context.Context, path string) (*pgstand.Server, error) {
	server, err := pgstand.Start(anyPort, path)
	if err != nil {
		return nil, err
	}
	if err := initializeStore(ctx, server.Address()); err != nil {
		server.Stop()
		return nil, err
	}
	return server, nil
}

func initializeStore(ctx context.Context, address string) error {
	store, err := sqlstore.Open(address)
	if err != nil {
		return err
	}
	defer store.Close()
	_, err = store.Init(ctx, false)
	return err
}

func setStoreState(server *pgstand.Server, state storeState) {
	server.Stall(state.stalled)
	server.Refuse(state.refused)
	if state.refused {
		server.Cut()
	}
}
