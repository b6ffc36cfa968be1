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

// Stall measures requests while the store of record is well, stalled and gone, with servers coming and going, so that
// there is something to write all the time.
type Stall struct {
	Program string
	Rate    int
	For     time.Duration
	Phases  []Phase
}

// Play measures.
func (l *Stall) Play(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "stall")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	pg, err := pgstand.Start("127.0.0.1:0", filepath.Join(dir, "rows"))
	if err != nil {
		return err
	}
	defer pg.Stop()
	s, err := sqlstore.Open(pg.Address())
	if err != nil {
		return err
	}
	_, err = s.Init(ctx, false)
	s.Close()
	if err != nil {
		return err
	}
	rig, err := NewRig(ctx, Shape{Program: l.Program, Servers: 100, Cores: 1, MemoryMB: 256, Sockets: 2000, Churn: 20,
		More: fmt.Sprintf("[record]\nstore = %q\nsnapshot = %q\n", pg.Address(), filepath.Join(dir, "snap"))})
	if err != nil {
		return err
	}
	defer rig.Close()
	w := &workers{free: make(chan *caller, 64), addr: rig.node.Addr}
	w.phase("warm", l.Rate, 2*time.Second, nil)
	// In turns, each of them first as often as last: what else the machine does meets all alike, and the record grows with
	// every server that has left, so that a phase which always came later would have more to do.
	l.Phases = make([]Phase, 3)
	for turn := range 6 {
		for k := range l.Phases {
			i := (turn + k) % len(l.Phases)
			if turn%2 == 1 {
				i = (turn + len(l.Phases) - k) % len(l.Phases)
			}
			pg.Stall(i == 1)
			if pg.Refuse(i == 2); i == 2 {
				pg.Cut()
			}
			l.Phases[i].join(w.phase([]string{"well", "stalled", "gone"}[i], l.Rate, l.For, nil))
			pg.Stall(false)
			pg.Refuse(false)
			time.Sleep(time.Second) // what waited is written
		}
	}
	for len(w.free) > 0 {
		(<-w.free).Close()
	}
	return rig.node.Crashed()
}
