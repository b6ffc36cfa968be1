package timingwheel

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const resolution = time.Millisecond

// testTimer is a timer with what a plain list knows of it.
type testTimer struct {
	Timer
	endTick int64
	order   int64 // in which it was added
}

// testWheel is a wheel beside a plain list of its timers.
type testWheel struct {
	wheel  *Wheel
	timers []*testTimer
	now    time.Duration
	tick   int64 // up to which the wheel was advanced
	added  int64 // so far
}

func newTestWheel(t *rapid.T) *testWheel {
	now := time.Duration(rapid.Int64Range(0, 10_000).Draw(t, "start")) * resolution
	slots := bitsPerWord << rapid.IntRange(0, 6).Draw(t, "slots")
	w := &testWheel{wheel: New(resolution, now, slots), now: now, tick: int64(now / resolution)}
	for range 40 {
		timer := &testTimer{}
		timer.Payload = timer
		w.timers = append(w.timers, timer)
	}
	return w
}

func (w *testWheel) add(timer *testTimer, at time.Duration) {
	w.wheel.Add(&timer.Timer, at)
	timer.endTick = max(int64((at+resolution-1)/resolution), w.tick+1)
	w.added++
	timer.order = w.added
}

// due are the timers that end now, in order.
func (w *testWheel) due() []*testTimer {
	var due []*testTimer
	for _, timer := range w.timers {
		if timer.Set() && timer.endTick <= int64(w.now/resolution) {
			due = append(due, timer)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		a, b := due[i], due[j]
		return a.endTick < b.endTick || a.endTick == b.endTick && a.order < b.order
	})
	return due
}

// advance moves on, and checks which timers end. The first three are added again while they end.
func (w *testWheel) advance(t *rapid.T, by time.Duration, limit int) {
	w.now += by
	due := w.due()
	var ended []*testTimer
	again := map[*testTimer]time.Duration{}
	for more := true; more; {
		called := 0
		more = w.wheel.Advance(w.now, limit, func(payload *Timer) {
			timer := payload.Payload.(*testTimer)
			called++
			ended = append(ended, timer)
			assert.LessOrEqual(t, timer.endTick, int64(w.now/resolution))
			if len(again) < 3 && again[timer] == 0 {
				again[timer] = w.now + resolution*time.Duration(len(again)+1)
				w.added++
				timer.order = w.added
				w.wheel.Add(&timer.Timer, again[timer])
				timer.endTick = int64(again[timer] / resolution)
			}
		})
		assert.LessOrEqual(t, called, limit)
	}
	w.tick = int64(w.now / resolution)
	assert.Equal(t, due, ended)
}

// check compares the wheel's number of timers, and its next time, with the list's.
func (w *testWheel) check(t *rapid.T) {
	count := 0
	first := int64(1 << 62)
	for _, timer := range w.timers {
		if timer.Set() {
			count++
			first = min(first, timer.endTick)
		}
	}
	assert.Equal(t, count, w.wheel.Len())
	next, found := w.wheel.Next()
	assert.Equal(t, count > 0, found)
	if found {
		assert.LessOrEqual(t, int64(next/resolution), first, "the next time is never too late")
		assert.Greater(t, next, w.now-resolution, "nor in the past")
	}
}

// Against a plain list: every timer ends once, in order, at its tick and never before, whatever is added, moved,
// removed or added again while timers end, with any limit.
func TestWheel_AgreesWithPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestWheel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			timer := w.timers[rapid.IntRange(0, len(w.timers)-1).Draw(t, "which")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				in := time.Duration(rapid.Int64Range(-5_000, 9_000_000).Draw(t, "in")) * time.Microsecond
				w.add(timer, w.now+in)
			case 2:
				w.wheel.Remove(&timer.Timer)
				assert.False(t, timer.Set())
			case 3:
				by := time.Duration(rapid.Int64Range(0, 6000).Draw(t, "by")) * resolution
				w.advance(t, by, rapid.IntRange(1, 8).Draw(t, "limit"))
			}
			w.check(t)
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	const timerCount = 100_000
	w := New(resolution, 0, 4096)
	timers := make([]Timer, timerCount)
	for i := range timers {
		w.Add(&timers[i], time.Duration(i)*resolution)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.Add(&timers[i%timerCount], time.Duration(i%timerCount)*resolution)
	}
}
