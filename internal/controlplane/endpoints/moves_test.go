package endpoints

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
	"robincart/internal/testutil"
)

// handClock moves when told to.
type handClock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []handTimer
}

type handTimer struct {
	at time.Duration
	f  func()
}

func (h *handClock) Now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *handClock) AfterFunc(d time.Duration, f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timers = append(h.timers, handTimer{h.now + d, f})
}

func (h *handClock) step() {
	h.mu.Lock()
	h.now += time.Millisecond
	var due []func()
	rest := h.timers[:0]
	for _, t := range h.timers {
		if t.at <= h.now {
			due = append(due, t.f)
		} else {
			rest = append(rest, t)
		}
	}
	h.timers = rest
	h.mu.Unlock()
	for _, f := range due {
		f()
	}
}

// toldCore is the real core, with word of each failure that it was told.
type toldCore struct {
	*node.Core
	told chan bool
}

func (t toldCore) EndpointWatchFailed(f node.WatchFailure) {
	t.Core.EndpointWatchFailed(f)
	t.told <- f.ResetBackoff
}

// The watcher tells each move's failure; the module still has one call to make, not one for each.
func TestMovesWhileDiscoveryIsDownMakeTheModuleAskNoOftener(t *testing.T) {
	n, err := settings.Parse([]byte(`{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],"RegistryMode":"subscribe","Rules":{"MustAskInMs":1}}`))
	require.NoError(t, err)
	clk, asks := &handClock{}, atomic.Int64{}
	core := toldCore{node.New(n, 1, clk, time.Now(), func() { asks.Add(1) }), make(chan bool, 9)}
	w := New(freeAddress(t), nil, limits.Limits{DiscoveryConnectTimeout: time.Second, FirstUpdateTimeout: time.Second, MaxUpdateDelay: time.Second, MaxCallInterval: time.Hour, WatchSilenceTimeout: time.Hour}, limits.NewBudget(1, 0, nil), zap.NewNop())
	w.SetReceiver(core)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { w.Run(ctx); close(done) }()
	defer func() { end(); <-done; core.Close() }()
	w.RequestWatch()
	assert.False(t, testutil.Receive(t, core.told))
	for range 3 {
		w.SetAddress(freeAddress(t))
		assert.True(t, testutil.Receive(t, core.told))
	}
	for range 10_000 {
		clk.step()
	}
	assert.EqualValues(t, 1, asks.Load())
}
