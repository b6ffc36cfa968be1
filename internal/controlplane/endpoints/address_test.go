package endpoints

import (
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

// manualClock advances only when a test calls step or advance.
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

// step advances the clock by 1 ms and calls the functions that are due.
func (m *manualClock) step() {
	for _, f := range m.advance(time.Millisecond) {
		f()
	}
}

// advance moves the clock and returns the functions that are due.
func (m *manualClock) advance(d time.Duration) []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	var due []func()
	var pending []manualTimer
	for _, t := range m.timers {
		if t.at <= m.now {
			due = append(due, t.f)
		} else {
			pending = append(pending, t)
		}
	}
	m.timers = pending
	return due
}

// failureRecorder is a real core that also sends to a channel, for each failed poll, whether the failure resets the
// backoff.
type failureRecorder struct {
	*node.Core
	resets chan bool
}

func (f failureRecorder) EndpointWatchFailed(failure node.WatchFailure) {
	f.Core.EndpointWatchFailed(failure)
	f.resets <- failure.ResetBackoff
}

// The Watcher reports a failure for each new address, but the core requests only one poll for all these failures.
func TestWatcher_AddressChangesWhileDownCauseOnePoll(t *testing.T) {
	s, err := settings.Parse([]byte(`{"Classes":[{"Name":"a","AimMs":1,"DeadlineMs":1,"Repeat":"repeatable"}],` +
		`"RegistryMode":"subscribe","Rules":{"MustAskInMs":1}}`))
	require.NoError(t, err)
	clock := &manualClock{}
	var requests atomic.Int64
	core := failureRecorder{
		Core:   node.New(s, 1, clock, time.Now(), func() { requests.Add(1) }),
		resets: make(chan bool, 9),
	}
	t.Cleanup(core.Close)
	w := New(unusedAddress(t), nil, limits.Limits{
		DiscoveryConnectTimeout: time.Second,
		FirstMessageTimeout:     time.Second,
		MaxUpdateDelay:          time.Second,
		MaxPollInterval:         time.Hour,
		WatchSilenceTimeout:     time.Hour,
	}, limits.NewBudget(1, 0, nil), zap.NewNop())
	w.SetReceiver(core)
	runWatcher(t, w)
	w.RequestWatch()
	assert.False(t, testutil.Receive(t, core.resets))
	for range 3 {
		w.SetAddress(unusedAddress(t))
		assert.True(t, testutil.Receive(t, core.resets))
	}
	for range 10_000 {
		clock.step()
	}
	assert.EqualValues(t, 1, requests.Load())
}
