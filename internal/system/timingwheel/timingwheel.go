// Package timingwheel is a hashed timing wheel: adding and removing a timer cost the same however many there are, and a
// timer is a record inside the thing it belongs to, not a runtime timer of its own.
//
// A Wheel knows no clock and starts no goroutine: its owner advances it to a time, and says how many timers at most may
// end in one go, so that a moment in which very many end does not hold up everything else.
package timingwheel

import (
	"math"
	"math/bits"
	"time"
)

// Timer can be in one wheel at a time. It is embedded in what it belongs to; Payload leads back there.
type Timer struct {
	next, prev *Timer // of its ring; nil: it is in no wheel
	tick       int64  // at which it ends
	Payload    any
}

// Set returns whether the timer is in a wheel.
func (t *Timer) Set() bool { return t.next != nil }

// makeRing makes a timer the sentinel of an empty ring.
func (t *Timer) makeRing() { t.next, t.prev = t, t }

func (t *Timer) ringIsEmpty() bool { return t.next == t }

// appendTo puts a timer at the end of a ring.
func (t *Timer) appendTo(sentinel *Timer) {
	t.prev, t.next = sentinel.prev, sentinel
	t.prev.next, sentinel.prev = t, t
}

// unlink takes a timer out of its ring.
func (t *Timer) unlink() {
	t.prev.next, t.next.prev = t.next, t.prev
	t.next, t.prev = nil, nil
}

// bitsPerWord is how many slots one word of Wheel.occupied stands for.
const bitsPerWord = 64

// Wheel holds timers. Time is counted in ticks; a timer is in the slot of its tick, modulo the number of slots, so that
// one further away than a turn of the wheel is looked at once a turn. A Wheel is not safe for concurrent use.
type Wheel struct {
	resolution time.Duration // of a tick
	now        int64         // the tick up to which all slots were looked at
	count      int           // of the timers in the wheel, those that are due included
	slots      []*Timer      // sentinels of rings, created as they are needed
	occupied   []uint64      // a bit for each slot with timers
	due        Timer         // sentinel of the ring of those that have ended and were not called yet
}

// New creates a wheel that is at a time. The number of slots has to be a power of two, and 64 at least.
func New(resolution, now time.Duration, slots int) *Wheel {
	if slots < bitsPerWord || slots&(slots-1) != 0 {
		panic("timingwheel: the number of slots must be a power of two, and 64 at least")
	}
	w := &Wheel{
		resolution: resolution,
		now:        int64(now / resolution),
		slots:      make([]*Timer, slots),
		occupied:   make([]uint64, slots/bitsPerWord),
	}
	w.due.makeRing()
	return w
}

// Len is the number of timers in the wheel.
func (w *Wheel) Len() int { return w.count }

// Add puts a timer into the wheel. It ends at the first tick that is not before the time, or at the next tick if that
// has passed. A timer that is in the wheel already is moved.
func (w *Wheel) Add(t *Timer, at time.Duration) {
	w.Remove(t)
	t.tick = max(int64((at+w.resolution-1)/w.resolution), w.now+1)
	slot := w.slotOf(t.tick)
	ring := w.slots[slot]
	if ring == nil {
		ring = &Timer{}
		ring.makeRing()
		w.slots[slot] = ring
	}
	t.appendTo(ring)
	w.occupied[slot/bitsPerWord] |= 1 << (slot % bitsPerWord)
	w.count++
}

// Remove takes a timer out of the wheel, if it is in it.
func (w *Wheel) Remove(t *Timer) {
	if !t.Set() {
		return
	}
	t.unlink()
	w.count--
	w.updateOccupied(w.slotOf(t.tick))
}

// Advance moves the wheel to a time and calls end for the timers that have ended, limit of them at most, in the order
// of their ticks and, within one, in the order in which they were added. It returns whether there are more, which the
// next call goes on with. Timers that end adds are not called in the same call.
func (w *Wheel) Advance(now time.Duration, limit int, end func(*Timer)) bool {
	// The wheel has to be at its new time before end adds any.
	w.advanceTo(int64(now / w.resolution))
	for called := 0; !w.due.ringIsEmpty(); called++ {
		if called >= limit {
			return true
		}
		t := w.due.next
		t.unlink()
		w.count--
		end(t)
	}
	return false
}

// advanceTo moves the timers whose tick has come into the ring of those that are due.
func (w *Wheel) advanceTo(tick int64) {
	for w.now < tick {
		next := w.nextOccupied(w.now)
		if next > tick {
			w.now = tick
			return
		}
		w.now = next
		slot := w.slotOf(next)
		ring := w.slots[slot]
		for t := ring.next; t != ring; {
			this := t
			t = t.next
			if this.tick <= next { // otherwise it is of a later turn
				this.unlink()
				this.appendTo(&w.due)
			}
		}
		w.updateOccupied(slot)
	}
}

// Next is the earliest time at which a timer may end; it may turn out to be of a later turn. It returns false if the
// wheel is empty.
func (w *Wheel) Next() (time.Duration, bool) {
	switch {
	case w.count == 0:
		return 0, false
	case !w.due.ringIsEmpty():
		return time.Duration(w.now) * w.resolution, true
	}
	return time.Duration(w.nextOccupied(w.now)) * w.resolution, true
}

func (w *Wheel) slotOf(tick int64) int64 { return tick & int64(len(w.slots)-1) }

// updateOccupied clears the bit of a slot whose ring has become empty.
func (w *Wheel) updateOccupied(slot int64) {
	if w.slots[slot].ringIsEmpty() {
		w.occupied[slot/bitsPerWord] &^= 1 << (slot % bitsPerWord)
	}
}

// nextOccupied is the first tick behind one whose slot has timers, perhaps of a later turn; math.MaxInt64 if none has.
func (w *Wheel) nextOccupied(tick int64) int64 {
	words := int64(len(w.occupied))
	first := w.slotOf(tick + 1)
	for i := range words + 1 { // the first word again at the end, for its lower bits
		word := (first/bitsPerWord + i) % words
		timers := w.occupied[word]
		if i == 0 {
			timers &= ^uint64(0) << (first % bitsPerWord)
		}
		if timers != 0 {
			slot := word*bitsPerWord + int64(bits.TrailingZeros64(timers))
			return tick + 1 + w.slotOf(slot-first)
		}
	}
	return math.MaxInt64
}
