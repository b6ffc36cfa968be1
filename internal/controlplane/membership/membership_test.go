package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// readyEndpoint returns the ready endpoint of a pod on the Kubernetes node "n1".
func readyEndpoint(pod string) Endpoint {
	return Endpoint{Addr: pod + ":80", Pod: pod, Node: "n1", Zone: "a", Ready: true}
}

// readyEndpoints returns the ready endpoints of pods that are numbered from 0.
func readyEndpoints(prefix string, count int) []Endpoint {
	var endpoints []Endpoint
	for i := range count {
		endpoints = append(endpoints, readyEndpoint(fmt.Sprint(prefix, i)))
	}
	return endpoints
}

func phases(state *State, serviceName string) map[string]Phase {
	result := map[string]Phase{}
	for _, member := range state.Members(serviceName) {
		result[member.ID] = member.Phase
	}
	return result
}

func countReady(state *State) int {
	ready := 0
	for _, phase := range phases(state, "s") {
		if phase == Ready {
			ready++
		}
	}
	return ready
}

// observation is one report about the pod "p" of a service that also has the pod "q".
type observation struct {
	name    string
	ending  bool // the report means that the pod ends
	observe func(state *State, now float64) []Change
}

var observations = []observation{
	{"slice with it", false, func(state *State, now float64) []Change {
		return state.UpdateSlice("k", "s", []Endpoint{readyEndpoint("p"), readyEndpoint("q")}, now)
	}},
	{"slice without it", false, func(state *State, now float64) []Change {
		return state.UpdateSlice("k", "s", []Endpoint{readyEndpoint("q")}, now)
	}},
	{"slice with it terminating", true, func(state *State, now float64) []Change {
		terminating := readyEndpoint("p")
		terminating.Terminating, terminating.Ready = true, false
		return state.UpdateSlice("k", "s", []Endpoint{terminating, readyEndpoint("q")}, now)
	}},
	{"pod running", false, func(state *State, now float64) []Change { return state.UpdatePod(Pod{UID: "p"}, now) }},
	{"pod deleting", true, func(state *State, now float64) []Change {
		return state.UpdatePod(Pod{UID: "p", Deleting: true}, now)
	}},
	{"pod deleted", true, func(state *State, now float64) []Change { return state.DeletePod("p", now) }},
	{"node evicting", true, func(state *State, now float64) []Change {
		return state.UpdateNode("n1", Node{Evicting: true}, now)
	}},
	{"node healthy", false, func(state *State, now float64) []Change {
		return state.UpdateNode("n1", Node{}, now)
	}},
	{"time passes", false, func(state *State, now float64) []Change { return state.Tick(now) }},
}

// In every sequence of observations, including sequences that repeat old observations, a pod is never ready after the
// first report of its end.
func TestState_EndedServerNeverReady(t *testing.T) {
	const length = 5
	orders := 0
	var runAllOrders func(order []int)
	runAllOrders = func(order []int) {
		if len(order) == length {
			orders++
			runOrder(t, order)
			return
		}
		for i := range observations {
			runAllOrders(append(slices.Clone(order), i))
		}
	}
	runAllOrders(nil)
	assert.Equal(t, 9*9*9*9*9, orders)
}

func runOrder(t *testing.T, order []int) {
	state := New(DefaultConfig(), 0)
	state.UpdateSlice("k", "s", []Endpoint{readyEndpoint("p"), readyEndpoint("q")}, 0)
	state.UpdatePod(Pod{UID: "p"}, 0)
	rebuilt := phases(state, "s")
	revision := state.Revision()
	ended := false
	for i, index := range order {
		now := float64(i+1) * 3
		ended = ended || observations[index].ending
		for _, change := range observations[index].observe(state, now) {
			revision++
			assert.Equal(t, revision, change.Revision)
			if change.Phase == Gone {
				delete(rebuilt, change.ID)
			} else {
				rebuilt[change.ID] = change.Phase
			}
		}
		if ended {
			assert.NotEqual(t, Ready, phases(state, "s")["p"], "%v", order[:i+1])
		}
		assert.Equal(t, phases(state, "s"), rebuilt, "the changes must add up to the list: %v", order)
	}
}

func TestState_PodReplacedAtItsAddress(t *testing.T) {
	state := New(DefaultConfig(), 0)
	old := Endpoint{Addr: "a:80", Pod: "old", Ready: true}
	replacement := Endpoint{Addr: "a:80", Pod: "new", Ready: true}
	state.UpdateSlice("k", "s", []Endpoint{old}, 0)
	state.UpdatePod(Pod{UID: "old", Deleting: true}, 1)
	state.UpdateSlice("k", "s", []Endpoint{replacement}, 1.05)
	assert.Equal(t, map[string]Phase{"new": Ready}, phases(state, "s"))
	state.UpdateSlice("k", "s", []Endpoint{old, replacement}, 1.1)
	assert.Equal(t, map[string]Phase{"new": Ready, "old": Draining}, phases(state, "s"))
}

func TestState_FlapsDelayed(t *testing.T) {
	state := New(DefaultConfig(), 0)
	now := 0.0
	notReady := readyEndpoint("p")
	notReady.Ready = false
	state.UpdateSlice("k", "s", []Endpoint{readyEndpoint("p")}, now)
	assert.Equal(t, Ready, phases(state, "s")["p"], "the first time without a delay")
	for _, delay := range []float64{1, 2, 4, 8, 16, 30, 30} {
		now += 100
		state.UpdateSlice("k", "s", []Endpoint{notReady}, now)
		assert.Equal(t, Draining, phases(state, "s")["p"], "a loss of readiness takes effect at once")
		now++
		state.UpdateSlice("k", "s", []Endpoint{readyEndpoint("p")}, now)
		state.Tick(now + delay - 0.01)
		assert.Equal(t, Draining, phases(state, "s")["p"])
		state.Tick(now + delay)
		assert.Equal(t, Ready, phases(state, "s")["p"], "after %v", delay)
		assert.Equal(t, now+delay, state.Members("s")[0].StartedAt, "with a new start time")
		now += delay
	}
	state.UpdatePod(Pod{UID: "p", Deleting: true}, now)
	assert.Equal(t, Draining, phases(state, "s")["p"], "a drain is not delayed")
}

// tenPods returns the state of a service of ten ready pods.
func tenPods() *State {
	state := New(DefaultConfig(), 0)
	for i := range 10 {
		state.UpdatePod(Pod{UID: fmt.Sprint("p", i)}, 0)
	}
	state.UpdateSlice("k", "s", readyEndpoints("p", 10), 0)
	return state
}

func TestState_ServersVanish(t *testing.T) {
	t.Run("all at once", func(t *testing.T) {
		state := tenPods()
		state.UpdateSlice("k", "s", nil, 1)
		assert.Equal(t, 10, countReady(state), "servers stay in the list during a fault of the API")
		state.UpdateSlice("k", "s", readyEndpoints("p", 10), 2)
		state.Tick(40)
		assert.Equal(t, 10, countReady(state))
		state.DeleteSlice("k", 50)
		assert.Equal(t, 10, countReady(state))
		state.Tick(111)
		assert.Empty(t, phases(state, "s"), "after ShrinkHold the servers are removed")
	})
	t.Run("scaled to zero", func(t *testing.T) {
		state := tenPods()
		for i := range 10 {
			state.UpdatePod(Pod{UID: fmt.Sprint("p", i), Deleting: true}, 1)
		}
		assert.Zero(t, countReady(state))
		state.UpdateSlice("k", "s", nil, 1.1)
		assert.Empty(t, phases(state, "s"))
	})
	t.Run("all replaced between two watches", func(t *testing.T) {
		state := tenPods()
		for i := range 10 {
			state.MarkPodMissing(fmt.Sprint("p", i), 1)
		}
		assert.Equal(t, 10, countReady(state), "pods that slices list keep their phase")
		state.UpdateSlice("k", "s", readyEndpoints("new", 10), 1)
		assert.Len(t, phases(state, "s"), 10)
		assert.NotContains(t, phases(state, "s"), "p0")
	})
	t.Run("only one", func(t *testing.T) {
		state := tenPods()
		state.UpdateSlice("k", "s", readyEndpoints("p", 9), 1)
		assert.Equal(t, Draining, phases(state, "s")["p9"], "it drains until the end of its pod is observed")
		state.DeletePod("p9", 2)
		assert.NotContains(t, phases(state, "s"), "p9")
	})
}

func TestOpenGates_SlowStartsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		state := New(config, 0)
		total := rapid.IntRange(4, 40).Draw(t, "pods")
		openedAt := map[string]float64{}
		for i := range total {
			state.UpdatePod(Pod{
				UID: fmt.Sprint("old", i), GatedService: "s", ContainersReady: true, GateOpen: true, StartedAt: -1000,
			}, 0)
		}
		now := 0.0
		for i := range total { // a rolling restart with random pauses
			now += rapid.Float64Range(0, 10).Draw(t, "pause")
			state.UpdatePod(Pod{
				UID: fmt.Sprint("new", i), GatedService: "s", ContainersReady: true, StartedAt: now,
			}, now)
			if rapid.Bool().Draw(t, "end") {
				state.DeletePod(fmt.Sprint("old", i), now)
			}
			for _, uid := range state.OpenGates(now) {
				assert.NotContains(t, openedAt, uid, "a gate is opened once")
				openedAt[uid] = now
			}
			slowStart, alive := 0, 0
			for uid := range state.pods {
				if _, ended := state.endedAt[uid]; !ended {
					alive++
				}
			}
			for _, at := range openedAt {
				if now-at < config.SlowStartDuration {
					slowStart++
				}
			}
			assert.LessOrEqual(t, slowStart, max(1, int(config.MaxSlowStartFraction*float64(alive+1))))
		}
		for range 200 {
			now += 5
			for _, uid := range state.OpenGates(now) {
				openedAt[uid] = now
			}
		}
		assert.Len(t, openedAt, total, "all gates are open in the end")
	})
}

// stateModel checks that the published changes, applied in turn, result in the list, that revisions increase by one,
// and that no server is ready after its end was observed.
type stateModel struct {
	state    *State
	rebuilt  map[string]Member
	ended    map[string]bool
	now      float64
	revision int64
}

var modelPods = []string{"a", "b", "c", "d"}

func TestState_ChangesReproduceList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &stateModel{
			state:    New(DefaultConfig(), 7),
			rebuilt:  map[string]Member{},
			ended:    map[string]bool{},
			revision: 7,
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			model.now += rapid.Float64Range(0, 20).Draw(t, "passed")
			model.applyChanges(t, model.step(t))
			model.check(t)
		}
	})
}

// step makes one random observation.
func (m *stateModel) step(t *rapid.T) []Change {
	pod := rapid.SampledFrom(modelPods).Draw(t, "pod")
	switch rapid.IntRange(0, 6).Draw(t, "observation") {
	case 0, 1:
		endpoints := m.drawEndpoints(t)
		slice := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "slice")
		return m.state.UpdateSlice(slice, "s", endpoints, m.now)
	case 2:
		return m.state.DeleteSlice("k1", m.now)
	case 3:
		return m.state.UpdatePod(Pod{UID: pod}, m.now)
	case 4:
		if m.state.pods[pod].UID != "" || m.state.serversByPod[pod] != nil {
			m.ended[pod] = true
		}
		return m.state.DeletePod(pod, m.now)
	case 5:
		return m.state.Tick(m.now)
	default:
		return m.state.UpdateNode("n1", Node{Cordoned: rapid.Bool().Draw(t, "cordoned")}, m.now)
	}
}

func (m *stateModel) drawEndpoints(t *rapid.T) []Endpoint {
	var endpoints []Endpoint
	for _, pod := range modelPods {
		if rapid.IntRange(0, 3).Draw(t, "listed") == 0 {
			continue
		}
		endpoint := readyEndpoint(pod)
		endpoint.Ready = rapid.IntRange(0, 4).Draw(t, "ready") > 0
		endpoint.Terminating = rapid.IntRange(0, 9).Draw(t, "terminating") == 0
		m.ended[pod] = m.ended[pod] || endpoint.Terminating
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func (m *stateModel) applyChanges(t *rapid.T, changes []Change) {
	drainsOnly := true
	for _, change := range changes {
		m.revision++
		assert.Equal(t, m.revision, change.Revision)
		if change.Phase == Gone {
			delete(m.rebuilt, change.ID)
		} else {
			m.rebuilt[change.ID] = change.Member
		}
		assert.True(t, drainsOnly || change.Phase != Draining, "servers that drain come first")
		drainsOnly = drainsOnly && change.Phase == Draining
	}
}

func (m *stateModel) check(t *rapid.T) {
	listed := map[string]Member{}
	for _, member := range m.state.Members("s") {
		listed[member.ID] = member
		assert.False(t, member.Phase == Ready && m.ended[member.ID], "%s has ended", member.ID)
	}
	assert.Equal(t, listed, m.rebuilt)
}

func TestUpdateSlice_MaxServers(t *testing.T) {
	state := New(DefaultConfig(), 0)
	endpoints := readyEndpoints("p", MaxServers+3)
	state.UpdateSlice("a", "web", endpoints, 1)
	assert.Equal(t, 3, state.Rejected("a"))
	assert.Len(t, phases(state, "web"), MaxServers)
	state.UpdateSlice("b", "mail", endpoints[:4400], 1) // ten times the size of the target fleet
	assert.Zero(t, state.Rejected("b"))
	state.UpdateSlice("c", "web", endpoints[:5], 2)
	state.UpdateSlice("c", "web", []Endpoint{readyEndpoint("new")}, 2)
	assert.Equal(t, 1, state.Rejected("c"))
	state.DeleteSlice("c", 3)
	assert.Zero(t, state.Rejected("c"))
	state.UpdateSlice("a", "web", endpoints[:10], 4)
	assert.Zero(t, state.Rejected("a"))
}
