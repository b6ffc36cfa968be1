package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	maxExamples = 5
	maxCameBack = 1000
	// restartGrace is how long after a drain a node that starts may still get a list from before it.
	restartGrace = 2 * time.Second
)

// expectation is one change, and when it came into force where.
type expectation struct {
	step    int
	subject string
	phases  []Phase       // any of them will do
	at      int64         // when it was made
	nodes   map[int]int64 // when it was in force; 0: not yet
	missing int           // nodes where it is not
}

func (e *expectation) isDrain() bool { return slices.Contains(e.phases, PhaseDraining) }

// tracker follows from events which changes are in force at which nodes, and what each node knows of the servers.
type tracker struct {
	places  []Place // of the nodes
	regions int

	mu           sync.Mutex
	step         int           // the present one; 0: the start
	dead         map[int]bool  // nodes
	startedAt    map[int]int64 // a node's last start
	bySubject    map[string][]*expectation
	expectations []*expectation
	known        map[int]map[string]Phase // by node, by server
	drainedAt    map[string]int64         // servers
	cameBack     []string
}

func newTracker(places []Place, regions int) *tracker {
	return &tracker{
		places:    places,
		regions:   regions,
		dead:      map[int]bool{},
		startedAt: map[int]int64{},
		bySubject: map[string][]*expectation{},
		known:     map[int]map[string]Phase{},
		drainedAt: map[string]int64{},
	}
}

// beginStep has changes that are expected from now on belong to a step.
func (t *tracker) beginStep(step int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = step
}

// nodesStart notes that nodes are about to start, which know nothing.
func (t *tracker) nodesStart(nodes []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		delete(t.dead, node)
		t.known[node] = map[string]Phase{}
		t.startedAt[node] = time.Now().UnixNano()
	}
}

// nodesDie notes that nodes are about to be killed. Changes that are not in force there need not be any more.
func (t *tracker) nodesDie(nodes []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		t.dead[node] = true
		delete(t.known, node)
		for _, change := range t.expectations {
			if at, expected := change.nodes[node]; expected && at == 0 {
				delete(change.nodes, node)
				change.missing--
			}
		}
	}
}

// expect notes a change that is to be in force at all nodes that run, right before it is made.
func (t *tracker) expect(subject string, phases ...Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := &expectation{
		step:    t.step,
		subject: subject,
		phases:  phases,
		at:      time.Now().UnixNano(),
		nodes:   map[int]int64{},
	}
	for node := range t.places {
		if !t.dead[node] {
			change.nodes[node] = 0
		}
	}
	change.missing = len(change.nodes)
	t.bySubject[subject] = append(t.bySubject[subject], change)
	t.expectations = append(t.expectations, change)
}

// expectDrain notes that a server is to drain, after which it must not be ready again anywhere.
func (t *tracker) expectDrain(pod *Pod) {
	t.expect(pod.Addr, PhaseDraining, PhaseGone)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainedAt[pod.Addr] = time.Now().UnixNano()
}

// take takes events of nodes.
func (t *tracker) take(events ...Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range events {
		t.takeExpected(event)
		isOfThisStart := !t.dead[event.Node] && event.At >= t.startedAt[event.Node]
		if event.Phase != PhaseSet && isOfThisStart {
			t.takeServer(event)
		}
	}
}

func (t *tracker) takeExpected(event Event) {
	for _, change := range t.bySubject[event.Subject] {
		at, expected := change.nodes[event.Node]
		isFirst := expected && at == 0 && event.At >= change.at
		if isFirst && slices.Contains(change.phases, event.Phase) {
			change.nodes[event.Node] = event.At
			change.missing--
		}
	}
}

// takeServer notes what a node knows of a server, and whether the server was ready again after its drain.
func (t *tracker) takeServer(event Event) {
	known := t.known[event.Node]
	before := known[event.Subject]
	known[event.Subject] = event.Phase
	drainedAt, drained := t.drainedAt[event.Subject]
	if !drained || event.Phase != PhaseReady || len(t.cameBack) >= maxCameBack {
		return
	}
	knewOfDrain := before == PhaseDraining || before == PhaseGone
	startedLater := t.startedAt[event.Node] > drainedAt+restartGrace.Nanoseconds()
	if knewOfDrain || startedLater {
		after := time.Duration(event.At - drainedAt)
		t.cameBack = append(t.cameBack,
			fmt.Sprintf("node %d: %s is ready %.2f s after its drain", event.Node, event.Subject, after.Seconds()))
	}
}

// missing returns for how many pairs of a change of the present step and a node the change is not in force.
func (t *tracker) missing() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := 0
	for _, change := range t.expectations {
		if change.step == t.step {
			missing += change.missing
		}
	}
	return missing
}

// disagreements returns how many servers some nodes that run would send to and others not. It makes no difference
// whether one knows a server as draining, as gone, or not at all.
func (t *tracker) disagreements() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	readyAt := map[string]int{}
	for _, servers := range t.known {
		for server, phase := range servers {
			if phase == PhaseReady {
				readyAt[server]++
			}
		}
	}
	disagreements := 0
	for _, nodes := range readyAt {
		if nodes < len(t.known) {
			disagreements++
		}
	}
	return disagreements
}

// propagation returns how the drains of a step, or all its other changes, came into force.
func (t *tracker) propagation(step int, drains bool) Propagation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result Propagation
	var atLastNode, atEachNode []time.Duration
	regions := make([]regionPropagation, t.regions)
	for _, change := range t.expectations {
		if change.step != step || change.isDrain() != drains {
			continue
		}
		result.Changes++
		slowest := time.Duration(0)
		for node, at := range change.nodes {
			region := &regions[t.places[node].Region]
			if at == 0 {
				region.missed++
				result.addMissed(fmt.Sprintf("node %d (region %d, zone %d): %s",
					node, t.places[node].Region, t.places[node].Zone, change.subject))
				continue
			}
			duration := time.Duration(at - change.at)
			slowest = max(slowest, duration)
			atEachNode = append(atEachNode, duration)
			region.durations = append(region.durations, duration)
		}
		atLastNode = append(atLastNode, slowest)
	}
	last, each := summarize(atLastNode), summarize(atEachNode)
	result.P50, result.P99, result.Max = last.p50, last.p99, last.max
	result.NodeP50, result.NodeP99 = each.p50, each.p99
	result.ByRegions = map[int]string{}
	for i := range regions {
		result.ByRegions[i] = regions[i].text()
	}
	return result
}

// addMissed counts a pair of a change and a node where it is not in force.
func (p *Propagation) addMissed(text string) {
	p.Missed++
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, text)
	}
}

// regionPropagation is the part of a Propagation at the nodes of a region.
type regionPropagation struct {
	durations []time.Duration
	missed    int
}

func (r *regionPropagation) text() string {
	s := summarize(r.durations)
	return fmt.Sprintf("p50 %.2f s, p99 %.2f s, most %.2f s, %d told, %d not",
		s.p50.Seconds(), s.p99.Seconds(), s.max.Seconds(), len(r.durations), r.missed)
}

// summary is the distribution of durations.
type summary struct{ p50, p99, max time.Duration }

// summarize sorts the durations.
func summarize(durations []time.Duration) summary {
	n := len(durations)
	if n == 0 {
		return summary{}
	}
	slices.Sort(durations)
	return summary{p50: durations[n/2], p99: durations[min(n-1, n*99/100)], max: durations[n-1]}
}
