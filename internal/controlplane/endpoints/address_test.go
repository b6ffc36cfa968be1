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

// manualClock moves when told to.
type manualClock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []manualTimer
}

type manualTimer struct {
	at time.Duration
	f  func()
}

func (m *manualClock) Now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manualClock) AfterFunc(d time.Duration, f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timers = append(m.timers, manualTimer{m.now + d, f})
}

func (m *manualClock) step() {
	m.mu.Lock()
	m.now += time.Millisecond
	var due []func()
	rest := m.timers[:0]
	for _, t := range m.timers {
		if t.at <= m.now {
			due = append(due, t.f)
		} else {
			rest = append(rest, t)
		}
	}
	m.timers = rest
	m.mu.Unlock()
	for _, f := range due {
		f()
	}
}

// failureRecorder is the real core, with word of each failure that it was told.
type failureRecorder struct {
	*node.Core
	resets chan bool
}

func (t failureRecorder) EndpointWatchFailed(f node.WatchFailure) {
	t.Core.EndpointWatchFailed(f)
	t.resets <- f.ResetBackoff
}

// The watcher tells each move's failure; the module still has one call to make, not one for each.
func TestMovesWhileDiscoveryIsDownMakeTheModuleAskNoOftener(t *testing.T) {
	n, err := settings.Parse([]byte(`{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],"RegistryMode":"subscribe","Rules":{"MustAskInMs":1}}`))
	require.NoError(t, err)
	clk, asks := &manualClock{}, atomic.Int64{}
	core := failureRecorder{node.New(n, 1, clk, time.Now(), func() { asks.Add(1) }), make(chan bool, 9)}
	w := New(freeAddress(t), nil, limits.Limits{DiscoveryConnectTimeout: time.Second, FirstUpdateTimeout: time.Second, MaxUpdateDelay: time.Second, MaxCallInterval: time.Hour, WatchSilenceTimeout: time.Hour}, limits.NewBudget(1, 0, nil), zap.NewNop())
	w.SetReceiver(core)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { w.Run(ctx); close(done) }()
	defer func() { end(); <-done; core.Close() }()
	w.RequestWatch()
	assert.False(t, testutil.Receive(t, core.resets))
	for range 3 {
		w.SetAddress(freeAddress(t))
		assert.True(t, testutil.Receive(t, core.resets))
	}
	for range 10_000 {
		clk.step()
	}
	assert.EqualValues(t, 1, asks.Load())
}
