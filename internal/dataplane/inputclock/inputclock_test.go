package inputclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const testClientTime = 2500 * time.Millisecond

var start = time.Unix(1000, 0)

// after returns a moment of an upload.
func after(d time.Duration) time.Time { return start.Add(d) }

// testClock is a Clock with the time that its client gives.
type testClock struct{ Clock }

func newTestClock() *testClock { return &testClock{New(start)} }

// left returns how much of the client's time is left.
func (c *testClock) left(now time.Time) time.Duration { return testClientTime - now.Sub(c.DoneSince()) }

func TestClock_StalledServerUsesUpTheClientsTime(t *testing.T) {
	u := newTestClock()
	for now := time.Duration(0); now <= testClientTime; now += 100 * time.Millisecond {
		u.Observe(after(now), State{Full: true, ArrivedAt: after(10 * time.Millisecond)})
	}
	assert.Zero(t, u.left(after(testClientTime)))
}

// A server that reads slowly makes space again and again, which bytes fill that the client had written long before.
func TestClock_BytesThatFillNewSpaceDoNotCount(t *testing.T) {
	u := newTestClock()
	for now := time.Duration(0); now <= time.Second; now += 50 * time.Millisecond {
		u.Observe(after(now), State{Full: true, ArrivedAt: after(now - time.Millisecond)})
	}
	assert.Equal(t, testClientTime-time.Second, u.left(after(time.Second)))
}

func TestClock_ClientThatStillWritesKeepsItsTime(t *testing.T) {
	u := newTestClock()
	for now := time.Duration(0); now <= time.Minute; now += 50 * time.Millisecond {
		u.Observe(after(now), State{ArrivedAt: after(now - 5*time.Millisecond)})
	}
	assert.Equal(t, testClientTime-5*time.Millisecond, u.left(after(time.Minute)))
}

// The rest of a request leaves space behind it, and nothing arrives after that.
func TestClock_SpaceAtTheEndProvesNothing(t *testing.T) {
	u := newTestClock()
	u.Observe(after(2*time.Second), State{Full: true, ArrivedAt: after(1900 * time.Millisecond)})
	u.Observe(after(2100*time.Millisecond), State{ArrivedAt: after(2090 * time.Millisecond)})
	u.Observe(after(2200*time.Millisecond), State{ArrivedAt: after(2090 * time.Millisecond)})
	assert.Equal(t, testClientTime-2200*time.Millisecond, u.left(after(2200*time.Millisecond)))
}

// What arrives after the buffer was full may have been written before.
func TestClock_RestThatArrivesAfterFullBuffer(t *testing.T) {
	u := newTestClock()
	u.Observe(after(10*time.Millisecond), State{ArrivedAt: after(5 * time.Millisecond)})
	u.Observe(after(100*time.Millisecond), State{Full: true, ArrivedAt: after(40 * time.Millisecond)})
	u.Observe(after(2*time.Second), State{ArrivedAt: after(500 * time.Millisecond)})
	assert.Equal(t, testClientTime-1990*time.Millisecond, u.left(after(2*time.Second)))
}

func TestClock_BufferThatFillsAgain(t *testing.T) {
	u := newTestClock()
	u.Observe(after(time.Second), State{ArrivedAt: after(900 * time.Millisecond)})
	u.Observe(after(2*time.Second), State{Full: true, ArrivedAt: after(1500 * time.Millisecond)})
	assert.Equal(t, testClientTime-time.Second, u.left(after(2*time.Second)), "it was still writing when there was space")
}
