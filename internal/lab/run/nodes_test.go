package run

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

// A node whose start the end of the run cuts short has not crashed; one that ends at its start has.
func TestRestartNode_Crashes(t *testing.T) {
	t.Parallel()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx     context.Context
		script  string
		crashes int
	}{
		"the run ends before the node is ready": {canceled, "exec sleep 60", 0},
		"the node ends at its start":            {t.Context(), "exit 3", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, err := standin.FreeAddress("127.0.0.1")
			require.NoError(t, err)
			n := &standin.Node{
				Name:    "n0",
				Addr:    addr,
				Program: "n0",
				Wrapper: []string{"/bin/sh", "-c", c.script},
				Config:  map[string]any{},
				Dir:     t.TempDir(),
			}
			t.Cleanup(n.Kill)
			d := standin.NewDiscovery(&judge.Ledger{}, time.Now())
			t.Cleanup(d.Stop)
			f := &fleet{discoveries: []*standin.Discovery{d}, fleetOptions: fleetOptions{logf: t.Logf}}
			assert.False(t, f.restartNode(c.ctx, n))
			assert.Len(t, f.crashes, c.crashes)
		})
	}
}
