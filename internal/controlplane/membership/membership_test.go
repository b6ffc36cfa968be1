package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func up(pod string) Endpoint {
	return Endpoint{Addr: pod + ":80", Pod: pod, Node: "n1", Zone: "a", Ready: true}
}

func phases(s *State, of string) map[string]Phase {
	out := map[string]Phase{}
	for _, m := range s.Members(of) {
		out[m.ID] = m.Phase
	}
	return out
}

// Every order of what is told about one pod's life, replays of old words included: from the first word of its end on it is
// never ready again.
func TestNoOrderOfWordsBringsADrainedServerBack(t *testing.T) {
	words := []struct {
		name string
		ends bool
		say  func(s *State, now float64) []Change
	}{
		{"slice ready", false, func(s *State, now float64) []Change {
			return s.UpdateSlice("k", "s", []Endpoint{up("p"), up("q")}, now)
		}},
		{"slice without it", false, func(s *State, now float64) []Change { return s.UpdateSlice("k", "s", []Endpoint{up("q")}, now) }},
		{"slice terminating", true, func(s *State, now float64) []Change {
			e := up("p")
			e.Terminating, e.Ready = true, false
			return s.UpdateSlice("k", "s", []Endpoint{e, up("q")}, now)
		}},
		{"pod lives", false, func(s *State, now float64) []Change { return s.UpdatePod(Pod{UID: "p"}, now) }},
		{"pod deleting", true, func(s *State, now float64) []Change { return s.UpdatePod(Pod{UID: "p", Deleting: true}, now) }},
		{"pod gone", true, func(s *State, now float64) []Change { return s.DeletePod("p", now) }},
		{"node emptied", true, func(s *State, now float64) []Change { return s.UpdateNode("n1", Node{Evicting: true}, now) }},
		{"node well", false, func(s *State, now float64) []Change { return s.UpdateNode("n1", Node{}, now) }},
		{"time", false, func(s *State, now float64) []Change { return s.Tick(now) }},
	}
	n := 0
	var play func(order []int)
	play = func(order []int) {
		if len(order) == 5 {
			n++
			s := New(DefaultConfig(), 0)
			s.UpdateSlice("k", "s", []Endpoint{up("p"), up("q")}, 0)
			s.UpdatePod(Pod{UID: "p"}, 0)
			list := phases(s, "s")
			ended, revision := false, s.Revision()
			for i, w := range order {
				now := float64(i+1) * 3
				ended = ended || words[w].ends
				for _, c := range words[w].say(s, now) {
					revision++
					assert.Equal(t, revision, c.Revision)
					if c.Phase == Gone {
						delete(list, c.ID)
					} else {
						list[c.ID] = c.Phase
					}
				}
				if ended {
					assert.NotEqual(t, Ready, phases(s, "s")["p"], "%v", order[:i+1])
				}
				assert.Equal(t, phases(s, "s"), list, "who follows the changes has the list: %v", order)
			}
			return
		}
		for w := range words {
			play(append(slices.Clone(order), w))
		}
	}
	play(nil)
	assert.Equal(t, 9*9*9*9*9, n)
}

func TestAPodReplacedUnderItsAddressIsAnother(t *testing.T) {
	s := New(DefaultConfig(), 0)
	s.UpdateSlice("k", "s", []Endpoint{{Addr: "a:80", Pod: "old", Ready: true}}, 0)
	s.UpdatePod(Pod{UID: "old", Deleting: true}, 1)
	s.UpdateSlice("k", "s", []Endpoint{{Addr: "a:80", Pod: "new", Ready: true}}, 1.05)
	assert.Equal(t, map[string]Phase{"new": Ready}, phases(s, "s"))
	s.UpdateSlice("k", "s", []Endpoint{{Addr: "a:80", Pod: "old", Ready: true}, {Addr: "a:80", Pod: "new", Ready: true}}, 1.1)
	assert.Equal(t, map[string]Phase{"new": Ready, "old": Draining}, phases(s, "s"))
}

func TestFlapsAreDampedAndDrainsAreNot(t *testing.T) {
	s := New(DefaultConfig(), 0)
	now, lost := 0.0, up("p")
	lost.Ready = false
	s.UpdateSlice("k", "s", []Endpoint{up("p")}, now)
	assert.Equal(t, Ready, phases(s, "s")["p"], "the first time at once")
	for _, wait := range []float64{1, 2, 4, 8, 16, 30, 30} {
		now += 100
		s.UpdateSlice("k", "s", []Endpoint{lost}, now)
		assert.Equal(t, Draining, phases(s, "s")["p"], "a loss counts at once")
		now++
		s.UpdateSlice("k", "s", []Endpoint{up("p")}, now)
		s.Tick(now + wait - 0.01)
		assert.Equal(t, Draining, phases(s, "s")["p"])
		s.Tick(now + wait)
		assert.Equal(t, Ready, phases(s, "s")["p"], "after %v", wait)
		assert.Equal(t, now+wait, s.Members("s")[0].StartedAt, "as one that has just started")
		now += wait
	}
	s.UpdatePod(Pod{UID: "p", Deleting: true}, now)
	assert.Equal(t, Draining, phases(s, "s")["p"])
}

func TestAnEmptySliceIsNotBelievedAtOnceAndAScaleDownIs(t *testing.T) {
	all := func(n int) (out []Endpoint) {
		for i := range n {
			out = append(out, up(fmt.Sprint("p", i)))
		}
		return out
	}
	start := func() *State {
		s := New(DefaultConfig(), 0)
		for i := range 10 {
			s.UpdatePod(Pod{UID: fmt.Sprint("p", i)}, 0)
		}
		s.UpdateSlice("k", "s", all(10), 0)
		return s
	}
	ready := func(s *State) (n int) {
		for _, p := range phases(s, "s") {
			if p == Ready {
				n++
			}
		}
		return n
	}
	s := start()
	s.UpdateSlice("k", "s", nil, 1)
	assert.Equal(t, 10, ready(s), "an API fault: what it does not speak of lives on")
	s.UpdateSlice("k", "s", all(10), 2)
	s.Tick(40)
	assert.Equal(t, 10, ready(s))
	s.DeleteSlice("k", 50)
	assert.Equal(t, 10, ready(s))
	s.Tick(111)
	assert.Empty(t, phases(s, "s"), "after its time it is believed")

	s = start()
	for i := range 10 { // scaled to zero: of each pod its end is told
		s.UpdatePod(Pod{UID: fmt.Sprint("p", i), Deleting: true}, 1)
	}
	assert.Zero(t, ready(s))
	s.UpdateSlice("k", "s", nil, 1.1)
	assert.Empty(t, phases(s, "s"))

	s = start() // all replaced while nobody watched
	var fresh []Endpoint
	for i := range 10 {
		fresh = append(fresh, up(fmt.Sprint("new", i)))
	}
	for i := range 10 {
		s.MarkPodMissing(fmt.Sprint("p", i), 1)
	}
	assert.Equal(t, 10, ready(s), "pods that a list lacks, and slices name: nothing is concluded")
	s.UpdateSlice("k", "s", fresh, 1)
	assert.Len(t, phases(s, "s"), 10)
	assert.NotContains(t, phases(s, "s"), "p0")

	s = start()
	s.UpdateSlice("k", "s", all(9), 1)
	assert.Equal(t, Draining, phases(s, "s")["p9"], "one alone drains until its pod says more")
	s.DeletePod("p9", 2)
	assert.NotContains(t, phases(s, "s"), "p9")
}

func TestFewAreColdAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := DefaultConfig()
		s := New(c, 0)
		total := rapid.IntRange(4, 40).Draw(t, "pods")
		born := map[string]float64{}
		for i := range total {
			uid := fmt.Sprint("old", i)
			s.UpdatePod(Pod{UID: uid, GatedService: "s", ContainersReady: true, GateOpen: true, StartedAt: -1000}, 0)
		}
		now := 0.0
		for i := range total { // a rolling restart, as fast as the cluster manager likes
			now += rapid.Float64Range(0, 10).Draw(t, "pause")
			s.UpdatePod(Pod{UID: fmt.Sprint("new", i), GatedService: "s", ContainersReady: true, StartedAt: now}, now)
			if rapid.Bool().Draw(t, "end") {
				s.DeletePod(fmt.Sprint("old", i), now)
			}
			for _, uid := range s.OpenGates(now) {
				assert.NotContains(t, born, uid, "a gate is opened once")
				born[uid] = now
			}
			cold, living := 0, 0
			for uid := range s.pods {
				if _, ended := s.ended[uid]; !ended {
					living++
				}
			}
			for _, at := range born {
				if now-at < c.SlowStartDuration {
					cold++
				}
			}
			assert.LessOrEqual(t, cold, max(1, int(c.MaxSlowStartFraction*float64(living+1))))
		}
		for range 200 {
			now += 5
			for _, uid := range s.OpenGates(now) {
				born[uid] = now
			}
		}
		assert.Len(t, born, total, "all are let in in the end")
	})
}

// Whatever is told, who follows the changes has the list, revisions rise by one, and nothing that was seen to end is ready.
func TestChangesAddUpToTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(DefaultConfig(), 7)
		list := map[string]Member{}
		ended := map[string]bool{}
		now, revision := 0.0, int64(7)
		pods := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Float64Range(0, 20).Draw(t, "pass")
			p := rapid.SampledFrom(pods).Draw(t, "pod")
			var out []Change
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				var es []Endpoint
				for _, q := range pods {
					if rapid.IntRange(0, 3).Draw(t, "in") > 0 {
						e := up(q)
						e.Ready = rapid.IntRange(0, 4).Draw(t, "ready") > 0
						e.Terminating = rapid.IntRange(0, 9).Draw(t, "terminating") == 0
						ended[q] = ended[q] || e.Terminating
						es = append(es, e)
					}
				}
				out = s.UpdateSlice(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "slice"), "s", es, now)
			case 2:
				out = s.DeleteSlice("k1", now)
			case 3:
				out = s.UpdatePod(Pod{UID: p}, now)
			case 4:
				if s.pods[p].UID != "" || s.byPod[p] != nil {
					ended[p] = true
				}
				out = s.DeletePod(p, now)
			case 5:
				out = s.Tick(now)
			case 6:
				out = s.UpdateNode("n1", Node{Cordoned: rapid.Bool().Draw(t, "cordon")}, now)
			}
			drains := true
			for _, c := range out {
				revision++
				assert.Equal(t, revision, c.Revision)
				if c.Phase == Gone {
					delete(list, c.ID)
				} else {
					list[c.ID] = c.Member
				}
				assert.True(t, drains || c.Phase != Draining, "drains go ahead")
				drains = drains && c.Phase == Draining
			}
			got := map[string]Member{}
			for _, m := range s.Members("s") {
				got[m.ID] = m
				assert.False(t, m.Phase == Ready && ended[m.ID], "%s has ended", m.ID)
				if x, ok := list[m.ID]; ok {
					m.Reason, x.Reason = "", ""
					assert.Equal(t, m, x)
				}
			}
			assert.Len(t, list, len(got))
		}
	})
}

func TestAServiceWithTooManyServersIsBoundedAndNamed(t *testing.T) {
	s := New(DefaultConfig(), 0)
	var es []Endpoint
	for i := range MaxServers + 3 {
		es = append(es, up(fmt.Sprint("p", i)))
	}
	s.UpdateSlice("a", "web", es, 1)
	assert.Equal(t, 3, s.Rejected("a"))
	assert.Len(t, phases(s, "web"), MaxServers)
	s.UpdateSlice("b", "mail", es[:4400], 1) // ten times the target
	assert.Zero(t, s.Rejected("b"))
	s.UpdateSlice("c", "web", es[:5], 2)
	s.UpdateSlice("c", "web", []Endpoint{up("new")}, 2)
	assert.Equal(t, 1, s.Rejected("c"))
	s.DeleteSlice("c", 3)
	assert.Zero(t, s.Rejected("c"))
	s.UpdateSlice("a", "web", es[:10], 4)
	assert.Zero(t, s.Rejected("a"))
}
