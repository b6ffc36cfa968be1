package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// shelf is a store without a database.
type shelf struct {
	meta  Meta
	facts map[Key]Entry
}

func (s *shelf) write(c Change) (Entry, error) {
	var now *Entry
	if f, ok := s.facts[c.Key]; ok {
		now = &f
	}
	outcome, err := Evaluate(now, &c)
	switch {
	case err != nil:
		return Entry{}, err
	case outcome != OutcomeWrite && now == nil:
		return Entry{Key: c.Key}, nil
	case outcome != OutcomeWrite:
		return *now, nil
	}
	s.meta.Revision++
	f := Entry{Key: c.Key, Revision: s.meta.Revision, Deleted: c.Delete, Writer: c.Writer, IdempotencyKey: c.IdempotencyKey, WrittenAt: c.WrittenAt, Value: c.Value}
	s.facts[c.Key] = f
	return f, nil
}

func (s *shelf) page(after int64, whole bool) Page {
	p := Page{Meta: s.meta, Complete: whole}
	for _, f := range s.facts {
		if f.Revision > after || whole {
			p.Entries = append(p.Entries, f)
		}
	}
	slices.SortFunc(p.Entries, func(a, b Entry) int { return int(a.Revision - b.Revision) })
	return p
}

func (s *shelf) copy() *shelf {
	c := &shelf{meta: s.meta, facts: map[Key]Entry{}}
	for k, f := range s.facts {
		c.facts[k] = f
	}
	return c
}

// sync is what the adapter does: read what is new, write what waits.
func (v *View) sync(s *shelf, now int64) {
	after, whole := v.NextRead(s.meta)
	v.ApplyPage(s.page(after, whole), now)
	for _, c := range v.Pending(1000) {
		f, err := s.write(c)
		if err != nil {
			f = Entry{}
		}
		v.MarkWritten(c, f)
	}
	v.MarkSynced(s.meta)
	v.ApplyPage(s.page(0, true), now)
}

var marks int

func view(name string) *View {
	return NewView(name, 100, func() string { marks++; return fmt.Sprint(name, marks) })
}

func phase(v *View, id string, now int64) string {
	for _, l := range v.Servers("s", now) {
		if l.ID == id {
			return l.Phase
		}
	}
	return ""
}

func ready(id string, start int64) Observation {
	return Observation{ID: id, Addr: id + ":1", Phase: "ready", Start: start}
}

// Every order of the things that happen to one drain: the word, a write, a crash with and without a snapshot before it, a
// store gone back to a backup, a new epoch, a list by a discovery that never heard of it. From the word on, as long as one of
// node or store remembers, the process stays drained, and a new process under its name does not.
func TestADrainOutlivesEveryOrderOfEvents(t *testing.T) {
	events := []string{"word", "sync", "snapshot", "crash", "backup", "restore", "epoch", "list"}
	count := 0
	var play func(done []string, left []string)
	run := func(order []string) {
		count++
		s := &shelf{meta: Meta{Epoch: "e1"}, facts: map[Key]Entry{}}
		v := view("n")
		v.ApplyDiscovery("s", []Observation{ready("a", 5)}, true, 1)
		v.sync(s, 1)
		old, snap := s.copy(), v.Snapshot()
		told, known := false, func() bool { return false }
		for i, e := range order {
			now := int64(10 + i)
			switch e {
			case "word":
				v.AddDrain("s/a", Drain{Start: 5, Since: now, By: "op"}, now)
				told = true
			case "sync":
				v.sync(s, now)
			case "snapshot":
				snap = v.Snapshot()
			case "crash":
				v = view("n")
				v.Restore(snap, now)
			case "backup":
				old = s.copy()
			case "restore":
				s = old.copy()
			case "epoch":
				s = s.copy()
				s.meta.Epoch = "e2"
			case "list":
				v.ApplyDiscovery("s", []Observation{ready("a", 5)}, true, now)
			}
			has := func(facts map[Key]Entry) bool { f, ok := facts[Key{KindDrain, "s/a"}]; return ok && !f.Deleted }
			known = func() bool { _, own := v.own["s/a"]; return own || has(v.facts) || has(s.facts) }
			if told && (func() bool { _, own := v.own["s/a"]; return own || has(v.facts) })() {
				assert.NotEqual(t, "ready", phase(v, "a", now), "%v at %s", order, e)
			}
		}
		if told && known() {
			v.sync(s, 99)
			v.sync(s, 99)
			v.ApplyDiscovery("s", []Observation{ready("a", 5)}, true, 99)
			assert.Equal(t, "draining", phase(v, "a", 99), "%v", order)
			_, there := s.facts[Key{KindDrain, "s/a"}]
			assert.True(t, there, "%v: the store has it again", order)
			other := view("m") // a node that starts later and knows nothing
			other.sync(s, 99)
			other.ApplyDiscovery("s", []Observation{ready("a", 5)}, true, 99)
			assert.Equal(t, "draining", phase(other, "a", 99), "%v", order)
			v.ApplyDiscovery("s", []Observation{ready("a", 6)}, true, 100)
			assert.Equal(t, "ready", phase(v, "a", 100), "%v: a new process", order)
		}
	}
	play = func(done, left []string) {
		if len(done) == 6 {
			run(done)
			return
		}
		for i, e := range left {
			play(append(slices.Clone(done), e), append(slices.Clone(left[:i]), left[i+1:]...))
		}
	}
	play(nil, events)
	assert.Equal(t, 8*7*6*5*4*3, count)
}

// Whatever comes in whatever order to several nodes with one store, they end with the same list, and no process that was
// drained or had left is ready again.
func TestNodesAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &shelf{meta: Meta{Epoch: "e"}, facts: map[Key]Entry{}}
		nodes := []*View{view("a"), view("b"), view("c")}
		var now int64 = 1
		drained := map[string]int64{} // by name, the latest process
		start := map[string]int64{"x": 1, "y": 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now++
			v := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			id := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				v.sync(s, now)
			case 1:
				v.AddDrain("s/"+id, Drain{Start: start[id], Since: now, By: "op"}, now)
				drained[id] = start[id]
			case 2:
				start[id] = now
			case 3: // a list, perhaps an old one
				x := ready(id, rapid.SampledFrom([]int64{start[id], max(1, start[id]-1)}).Draw(t, "start"))
				x.Phase = rapid.SampledFrom([]string{"ready", "ready", "draining"}).Draw(t, "phase")
				if x.Phase == "draining" {
					drained[id] = max(drained[id], x.Start)
				}
				v.ApplyDiscovery("s", []Observation{x}, false, now)
			case 4:
				snap := v.Snapshot()
				text, _ := json.Marshal(snap)
				var back Snapshot
				assert.NoError(t, json.Unmarshal(text, &back))
				*v = *view(v.by)
				v.Restore(back, now)
			}
			for _, l := range v.Servers("s", now) {
				if d, ok := v.drain("s/" + l.ID); ok && l.Phase == "ready" {
					assert.Greater(t, l.Start, d.Start)
				}
			}
		}
		for range 3 {
			for _, v := range nodes {
				now++
				v.sync(s, now)
			}
		}
		for _, v := range nodes {
			assert.Zero(t, v.PendingCount())
			assert.Equal(t, Following, v.SyncState)
			v.ApplyDiscovery("s", []Observation{ready("x", start["x"]), ready("y", start["y"])}, true, now)
			for id, d := range drained {
				want := "ready"
				if start[id] <= d {
					want = "draining"
				}
				assert.Equal(t, want, phase(v, id, now))
			}
		}
	})
}

func TestAnOldCopyIsActedOnForAWhileOnlyAndItsDrainsForEver(t *testing.T) {
	s := &shelf{meta: Meta{Epoch: "e"}, facts: map[Key]Entry{}}
	v := view("n")
	v.MaxStaleness = 1000
	v.ApplyDiscovery("s", []Observation{ready("a", 5), ready("b", 5)}, true, 1)
	v.AddDrain("s/b", Drain{Start: 5, Since: 1, By: "op", Until: 500_000}, 1)
	v.sync(s, 1)
	again := view("n")
	again.MaxStaleness = 1000
	again.Restore(v.Snapshot(), 900)
	assert.Equal(t, "ready", phase(again, "a", 900))
	assert.Equal(t, "draining", phase(again, "b", 900))
	assert.Equal(t, "draining", phase(again, "a", 2000), "too old to send to by it alone")
	again.ApplyDiscovery("s", []Observation{ready("a", 5), ready("b", 5)}, true, 2000)
	assert.Equal(t, "ready", phase(again, "a", 2000))
	assert.Equal(t, "draining", phase(again, "b", 2000))
	assert.Equal(t, "ready", phase(again, "b", 600_000), "its time is over")
	assert.Equal(t, "ready", phase(again, "b", 3), "and a clock set back does not bring it back")
}

func TestAFullQueueKeepsDrains(t *testing.T) {
	v := NewView("n", 3, func() string { marks++; return fmt.Sprint(marks) })
	for i := range 20 {
		v.ApplyDiscovery("s", []Observation{ready(fmt.Sprint("s", i), 1)}, false, 1)
	}
	assert.Equal(t, 3, v.PendingCount())
	assert.Equal(t, 17, v.Dropped)
	for i := range 20 {
		v.AddDrain(fmt.Sprint("s/s", i), Drain{Since: 1, By: "op"}, 1)
		v.AddDrain(fmt.Sprint("s/s", i), Drain{Since: 1, By: "op"}, 2)
	}
	p := v.Pending(100)
	assert.Len(t, p, 23)
	for i := range 20 {
		assert.Equal(t, KindDrain, p[i].Kind, "first")
	}
}

// A change is taken or refused, and never a panic; what is taken obeys compare and set, and no drain says less than before.
func TestDecidingKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(l string) Change {
			d := Drain{Start: rapid.Int64Range(0, 3).Draw(t, l+"start"), Since: 1, By: "x", Until: rapid.Int64Range(0, 3).Draw(t, l+"until"), Ended: rapid.Bool().Draw(t, l+"ended")}
			value, _ := json.Marshal(d)
			return Change{Key: Key{KindDrain, "s/a"}, ExpectedRevision: rapid.Int64Range(-1, 3).Draw(t, l+"expect"), IdempotencyKey: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, l+"mark"), Value: value}
		}
		s := &shelf{facts: map[Key]Entry{}}
		for i := range 6 {
			before, had := s.facts[Key{KindDrain, "s/a"}]
			c := draw(fmt.Sprint(i))
			_, err := s.write(c)
			after := s.facts[Key{KindDrain, "s/a"}]
			if err != nil || string(after.Value) == string(before.Value) {
				assert.Equal(t, before, after)
				continue
			}
			assert.True(t, c.ExpectedRevision == AnyRevision || c.ExpectedRevision == before.Revision)
			if had {
				var was, is Drain
				json.Unmarshal(before.Value, &was)
				json.Unmarshal(after.Value, &is)
				assert.True(t, !older(is, was) || was.Ended || c.ExpectedRevision == before.Revision, "%+v after %+v", is, was)
			}
		}
	})
	for _, c := range []Change{{}, {Key: Key{"x", "y"}}, {Key: Key{KindDrain, "a"}, IdempotencyKey: "m", Value: []byte("{}")}, {Key: Key{KindDrain, "s/a"}, IdempotencyKey: "m", Value: []byte("{")},
		{Key: Key{KindServer, "s/a"}, IdempotencyKey: "m", Value: []byte(`{"phase":"odd"}`)}, {Key: Key{KindRoute, "a\n"}, IdempotencyKey: "m", Value: []byte("1")}, {Key: Key{KindRoute, "a"}, Value: []byte("1")}} {
		_, err := Evaluate(nil, &c)
		assert.Error(t, err, "%+v", c)
	}
}

func TestServersThatLeftArePrunedInTime(t *testing.T) {
	s := &shelf{meta: Meta{Epoch: "e"}, facts: map[Key]Entry{}}
	v := view("n")
	v.ApplyDiscovery("s", []Observation{ready("a", 5), ready("b", 5)}, true, 1)
	v.sync(s, 1)
	v.ApplyDiscovery("s", []Observation{ready("b", 5)}, true, 2)
	v.sync(s, 2)
	v.Prune(100, 200)
	assert.Zero(t, v.PendingCount())
	v.Prune(1000, 200)
	v.sync(s, 1000)
	assert.True(t, s.facts[Key{KindServer, "s/a"}].Deleted)
	assert.False(t, s.facts[Key{KindServer, "s/b"}].Deleted)
}

// A drain for whatever runs under a name holds over one of a single process; ended by word it can be begun anew by who knows
// of the end, and not by an old memory.
func TestADrainOfANameAndItsEnd(t *testing.T) {
	s := &shelf{meta: Meta{Epoch: "e"}, facts: map[Key]Entry{}}
	a, old := view("a"), view("old")
	a.AddDrain("s/x", Drain{Since: 1, By: "op"}, 1)
	a.sync(s, 1)
	old.sync(s, 1)
	old.own["s/x"] = Drain{Since: 1, By: "op"} // a snapshot of then
	a.ApplyDiscovery("s", []Observation{{ID: "x", Addr: "x:1", Phase: "draining", Start: 7}}, true, 2)
	a.sync(s, 2)
	a.ApplyDiscovery("s", []Observation{ready("x", 9)}, true, 3)
	assert.Equal(t, "draining", phase(a, "x", 3), "also the next process")

	f := s.facts[Key{KindDrain, "s/x"}]
	_, err := s.write(Change{Key: f.Key, ExpectedRevision: f.Revision, Writer: "op", IdempotencyKey: "end", Value: []byte(`{"start_ms":0,"since_ms":1,"by":"op","ended":true}`)})
	assert.NoError(t, err)
	a.sync(s, 4)
	old.sync(s, 4)
	old.ApplyDiscovery("s", []Observation{ready("x", 9)}, true, 4)
	assert.Equal(t, "ready", phase(a, "x", 4))
	assert.Equal(t, "ready", phase(old, "x", 4))
	assert.Zero(t, old.PendingCount(), "an old memory writes nothing")
	a.AddDrain("s/x", Drain{Start: 9, Since: 5, By: "op"}, 5)
	assert.Equal(t, "draining", phase(a, "x", 5), "before it is recorded")
	a.sync(s, 5)
	old.sync(s, 6)
	assert.Equal(t, "draining", phase(a, "x", 6))
	assert.Equal(t, "draining", phase(old, "x", 6))
}

// All nodes hear of a server; what another has recorded need not be written again.
func TestWhatTheStoreHasIsNotWrittenAgain(t *testing.T) {
	n := 0
	v := NewView("n", 100, func() string { n++; return fmt.Sprint(n) })
	v.ApplyDiscovery("s", []Observation{
		{ID: "a", Addr: "a:1", Phase: "ready", Start: 5, ListRevision: 70},
		{ID: "b", Addr: "b:1", Phase: "gone", Start: 5, ListRevision: 71},
		{ID: "c", Addr: "c:1", Phase: "ready", Start: 6, ListRevision: 72},
		{ID: "d", Addr: "d:1", Phase: "ready", Start: 6, ListRevision: 72},
		{ID: "e", Addr: "e:1", Phase: "ready", Start: 6, ListRevision: 72},
	}, true, 1)
	assert.Equal(t, 5, v.PendingCount())
	has := func(id string, revision int64, s Observation) Entry {
		value, err := json.Marshal(s)
		assert.NoError(t, err)
		return Entry{Key: Key{KindServer, "s/" + id}, Revision: revision, Value: value}
	}
	gone := has("e", 5, Observation{Addr: "e:1", Phase: "ready", Start: 6})
	gone.Deleted = true
	v.ApplyPage(Page{Meta: Meta{"x", 5}, Entries: []Entry{
		has("a", 1, Observation{Addr: "a:1", Phase: "ready", Start: 5, ListRevision: 9_000}), // by another replica's numbers
		has("b", 2, Observation{Addr: "b:1", Phase: "ready", Start: 5}),                      // it has left since
		has("c", 3, Observation{Addr: "c:1", Phase: "gone", Start: 6}),                       // it is known here only later
		has("d", 4, Observation{Addr: "d:2", Phase: "ready", Start: 6}),                      // elsewhere
		gone,
	}}, 2)
	var waits []string
	for _, c := range v.Pending(100) {
		waits = append(waits, c.Name)
	}
	assert.Equal(t, []string{"s/b", "s/d", "s/e"}, waits)
}

// All nodes of a fleet are told the same, each at its own time and many by a replica of discovery that numbers its lists by itself. The first
// of them writes it; where each wrote its own form of it, each of those would be told to all.
func TestWhatAllNodesAreToldIsWrittenOnce(t *testing.T) {
	s := &shelf{meta: Meta{Epoch: "e"}, facts: map[Key]Entry{}}
	var views []*View
	for i := range 9 {
		v := view(fmt.Sprint("n", i))
		v.ApplyPage(s.page(0, true), 1)
		views = append(views, v)
	}
	say := func(phase string, now int64) int64 {
		before := s.meta.Revision
		for i, v := range views {
			v.ApplyDiscovery("s", []Observation{{ID: "a", Addr: "10.0.0.1:80", Phase: phase, Start: 5, ListRevision: int64(1000 * (i%3 + 1))}}, true, now+int64(i))
		}
		for _, v := range views { // none has heard of the others' writes
			for _, c := range v.Pending(100) {
				f, err := s.write(c)
				assert.NoError(t, err)
				v.MarkWritten(c, f)
			}
		}
		for _, v := range views {
			v.ApplyPage(s.page(v.Meta.Revision, false), now+50)
			assert.Zero(t, v.PendingCount())
		}
		return s.meta.Revision - before
	}
	assert.EqualValues(t, 1, say("ready", 100), "one sighting")
	assert.EqualValues(t, 2, say("draining", 200), "one sighting and one drain")
	for _, v := range views {
		assert.Equal(t, "draining", phase(v, "a", 300))
	}
	// What does say something else is written: another end, another process, a new word after an end.
	put := func(expect int64, d Drain) {
		before := s.meta.Revision
		text, _ := json.Marshal(d)
		_, err := s.write(Change{Key: Key{KindDrain, "s/a"}, ExpectedRevision: expect, Writer: "op", IdempotencyKey: fmt.Sprint("m", s.meta.Revision), Value: text})
		assert.NoError(t, err)
		assert.Equal(t, before+1, s.meta.Revision, "%+v", d)
	}
	put(AnyRevision, Drain{Start: 6, Since: 7, By: "op", Until: 900})
	put(AnyRevision, Drain{Start: 6, Since: 8, By: "op", Until: 950})
	put(s.meta.Revision, Drain{Start: 6, Since: 8, By: "op", Until: 950, Ended: true, Supersedes: s.meta.Revision}) // as robincart record undrain does
	put(AnyRevision, Drain{Start: 6, Since: 9, By: "op", Until: 950, Supersedes: s.meta.Revision})
}

// A store that goes back to just where a node had read last, behind what that node wrote since, has lost that: it is seen, and written again.
func TestAStoreThatWentBackBehindAWriteIsSeen(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		s := &shelf{meta: Meta{Epoch: "e", Revision: 2}, facts: map[Key]Entry{}}
		v := view("n")
		v.ApplyPage(s.page(0, true), 1)
		backup := s.copy()
		v.AddDrain("s/a", Drain{Start: 5, Since: 1, By: "op"}, 2)
		for _, c := range v.Pending(9) {
			f, err := s.write(c)
			assert.NoError(t, err)
			v.MarkWritten(c, f)
		}
		assert.Equal(t, Meta{Epoch: "e", Revision: 3}, v.Position())
		if restarted { // from a snapshot that was taken before the write was read
			snap := v.Snapshot()
			v = view("n")
			v.Restore(snap, 3)
		}
		_, whole := v.NextRead(backup.meta)
		assert.True(t, whole)
		v.sync(backup, 4)
		assert.Contains(t, backup.facts, Key{KindDrain, "s/a"}, "restarted %v", restarted)
		v.sync(backup, 5)
		assert.Equal(t, Following, v.SyncState)
		assert.Equal(t, backup.meta, v.Meta)
	}
}
