// Package timingwheel is a hashed timing wheel: setting and taking back a timer cost the same however many there are, and a
// timer is a record inside the thing it belongs to, not a runtime timer of its own. It knows no clock: who owns a wheel
// moves it on, and says how many timers at most may end in one go, so that a second in which all of them end does not stop
// what else is going on.
package timingwheel

import (
	"math"
	"math/bits"
	"time"
)

// Timer is set in one wheel at a time. It is embedded in what it belongs to.
type Timer struct {
	next, prev *Timer
	tick       int64
	Payload    any
}

// Set tells whether the timer is in a wheel.
func (t *Timer) Set() bool { return t.next != nil }

// Wheel holds timers. It is not safe for concurrent use.
type Wheel struct {
	grain time.Duration
	now   int64    // all ticks up to here have been looked at
	n     int      // timers set
	full  []uint64 // a bit for each slot that holds timers
	heads []*Timer // of rings; the sentinels are made as they are needed
	due   Timer    // the ring of those that have ended and were not called yet
}

// New makes a wheel with times in steps of grain, which stands at a time. A timer further away than all the slots, a power
// of two and 64 at least, is looked at once a turn.
func New(grain, now time.Duration, slots int) *Wheel {
	if slots < 64 || slots&(slots-1) != 0 {
		panic("wheel: slots must be a power of two, and 64 at least")
	}
	w := &Wheel{grain: grain, now: int64(now / grain), full: make([]uint64, slots/64), heads: make([]*Timer, slots)}
	w.due.next, w.due.prev = &w.due, &w.due
	return w
}

// Len is how many timers are set.
func (w *Wheel) Len() int { return w.n }

// Add sets a timer for a time: it ends at the first step not before that, or at the next one if that has passed. One that
// is set already is moved.
func (w *Wheel) Add(t *Timer, at time.Duration) {
	w.Remove(t)
	t.tick = max(int64((at+w.grain-1)/w.grain), w.now+1)
	slot := t.tick & int64(len(w.heads)-1)
	head := w.heads[slot]
	if head == nil {
		head = &Timer{}
		head.next, head.prev = head, head
		w.heads[slot] = head
	}
	t.before(head)
	w.full[slot/64] |= 1 << (slot % 64)
	w.n++
}

func (t *Timer) before(head *Timer) {
	t.prev, t.next = head.prev, head
	t.prev.next, head.prev = t, t
}

func (t *Timer) unlink() {
	t.prev.next, t.next.prev = t.next, t.prev
	t.next, t.prev = nil, nil
}

// Remove takes a timer back; one that is not set stays so.
func (w *Wheel) Remove(t *Timer) {
	if t.next == nil {
		return
	}
	t.unlink()
	w.n--
	w.clear(t.tick & int64(len(w.heads)-1))
}

func (w *Wheel) clear(slot int64) {
	if head := w.heads[slot]; head.next == head {
		w.full[slot/64] &^= 1 << (slot % 64)
	}
}

// Advance moves the wheel to a time and calls end for each timer that has ended, in the order of their ticks and, within
// one, in the order they were set. After most of them it stops, and the rest waits for the next call; it tells whether
// there is a rest. What end sets is called in a later go.
func (w *Wheel) Advance(now time.Duration, most int, end func(*Timer)) (rest bool) {
	to := int64(now / w.grain)
	// All of them first: what end sets must find the wheel at its new time.
	for w.now < to {
		next := w.after(w.now)
		if next > to {
			w.now = to
			break
		}
		w.now = next
		slot := next & int64(len(w.heads)-1)
		head := w.heads[slot]
		for t := head.next; t != head; {
			this := t
			if t = t.next; this.tick <= next { // else of a later turn
				this.unlink()
				this.before(&w.due)
			}
		}
		w.clear(slot)
	}
	for ; w.due.next != &w.due; most-- {
		if most <= 0 {
			return true
		}
		t := w.due.next
		t.unlink()
		w.n--
		end(t)
	}
	return false
}

// after is the first tick behind one whose slot holds timers, perhaps of a later turn; far away if there are none.
func (w *Wheel) after(tick int64) int64 {
	slots, words := int64(len(w.heads)), int64(len(w.full))
	from := (tick + 1) & (slots - 1)
	for i := range words + 1 {
		word := (from/64 + i) % words
		b := w.full[word]
		if i == 0 {
			b &= ^uint64(0) << (from % 64)
		}
		if b != 0 {
			slot := word*64 + int64(bits.TrailingZeros64(b))
			return tick + 1 + (slot-from)&(slots-1)
		}
	}
	return math.MaxInt64
}

// Next is the earliest time at which a timer may end; it may turn out to be one of a later turn. With no timer set it is
// false.
func (w *Wheel) Next() (time.Duration, bool) {
	switch {
	case w.n == 0:
		return 0, false
	case w.due.next != &w.due:
		return time.Duration(w.now) * w.grain, true
	}
	return time.Duration(w.after(w.now)) * w.grain, true
}
