package timingwheel

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Against a plain list: every timer ends once, in order, at its step and never before, whatever is set, moved, taken back
// or set again from inside an end, with any pace.
func TestTimersEndOnceInOrderAndNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const grain = time.Millisecond
		now := time.Duration(rapid.Int64Range(0, 10_000).Draw(t, "start")) * grain
		w := New(grain, now, 64<<rapid.IntRange(0, 6).Draw(t, "slots"))
		type item struct {
			Timer
			due, set int64
		}
		items := make([]*item, 40)
		for i := range items {
			items[i] = &item{}
			items[i].Payload = items[i]
		}
		var order int64
		reached := int64(now / grain)
		set := func(x *item, at time.Duration) {
			w.Add(&x.Timer, at)
			x.due = max(int64((at+grain-1)/grain), reached+1)
			order++
			x.set = order
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			x := items[rapid.IntRange(0, len(items)-1).Draw(t, "which")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				set(x, now+time.Duration(rapid.Int64Range(-5_000, 9_000_000).Draw(t, "in"))*time.Microsecond)
			case 2:
				w.Remove(&x.Timer)
				assert.False(t, x.Set())
			case 3:
				now += time.Duration(rapid.Int64Range(0, 6000).Draw(t, "by")) * grain
				pace := rapid.IntRange(1, 8).Draw(t, "pace")
				var due []*item
				for _, y := range items {
					if y.Set() && y.due <= int64(now/grain) {
						due = append(due, y)
					}
				}
				sort.Slice(due, func(i, j int) bool {
					return due[i].due < due[j].due || due[i].due == due[j].due && due[i].set < due[j].set
				})
				var ended []*item
				again := map[*item]time.Duration{}
				for rest := true; rest; {
					n := 0
					rest = w.Advance(now, pace, func(k *Timer) {
						y := k.Payload.(*item)
						n++
						ended = append(ended, y)
						assert.LessOrEqual(t, y.due, int64(now/grain))
						if len(again) < 3 && again[y] == 0 {
							again[y] = now + grain*time.Duration(len(again)+1)
							order++
							y.set = order
							w.Add(&y.Timer, again[y])
							y.due = int64(again[y] / grain)
						}
					})
					assert.LessOrEqual(t, n, pace)
				}
				reached = int64(now / grain)
				assert.Equal(t, due, ended)
			}
			n := 0
			first := int64(1 << 62)
			for _, y := range items {
				if y.Set() {
					n++
					first = min(first, y.due)
				}
			}
			assert.Equal(t, n, w.Len())
			next, any := w.Next()
			assert.Equal(t, n > 0, any)
			if any {
				assert.LessOrEqual(t, int64(next/grain), first, "a wheel asked for its next time never names one too late")
				assert.Greater(t, next, now-grain, "nor one in the past")
			}
		}
	})
}

func BenchmarkSetAndTakeBack(b *testing.B) {
	w := New(time.Millisecond, 0, 4096)
	timers := make([]Timer, 100_000)
	for i := range timers {
		w.Add(&timers[i], time.Duration(i)*time.Millisecond)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.Add(&timers[i%len(timers)], time.Duration(i%100_000)*time.Millisecond)
	}
}
