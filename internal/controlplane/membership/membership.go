// Package membership makes a list of servers out of what a cluster manager says: endpoints of slices, pods, nodes. It decides
// when a server is ready, draining or gone, what to make of an object that vanished, and how many cold servers there may be
// at once. It knows no API, no socket and no clock; times are seconds.
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Config is what an operator may set.
type Config struct {
	FlapDelay            float64 // a server that lost its readiness and has it again waits so long, twice that after the next loss, and so on
	MaxFlapDelay         float64
	MaxShrinkFraction    float64 // part of a service's servers that may vanish at once without a word about each
	ShrinkHold           float64 // so long what vanished beyond that is kept, until somebody says more
	ForgetAfter          float64 // a server that has gone is remembered so long: an old event must not bring it back
	SlowStartDuration    float64 // a server is cold so long after it was let in
	MaxSlowStartFraction float64 // part of a service's servers that may be cold at once, by the readiness gate
	DrainCordoned        bool    // a cordoned node's servers drain, too
}

// DefaultConfig are used where nothing is set.
func DefaultConfig() Config {
	return Config{FlapDelay: 1, MaxFlapDelay: 30, MaxShrinkFraction: 0.5, ShrinkHold: 60, ForgetAfter: 600, SlowStartDuration: 20, MaxSlowStartFraction: 0.25}
}

// Endpoint is one line of an EndpointSlice.
type Endpoint struct {
	Addr        string // with its port
	Pod         string // its UID, or "" if the slice does not name one
	Node        string
	Zone        string
	Ready       bool
	Terminating bool
}

// Pod is what counts of a Pod.
type Pod struct {
	UID             string
	Name            string
	GatedService    string // whose readiness gate it has; "" if none
	Deleting        bool
	Finished        bool    // failed or succeeded
	StartedAt       float64 // when its containers were; 0: not known
	ContainersReady bool    // all its containers are ready
	GateOpen        bool    // the readiness gate is open
}

// Node is what counts of a Node.
type Node struct {
	Zone     string
	Evicting bool // a taint that takes its pods away
	Cordoned bool
	Missing  bool
}

// Phase is a server's standing.
type Phase string

const (
	Ready    Phase = "ready"
	Draining Phase = "draining"
	Gone     Phase = "gone"
)

// Member is one line of the list.
type Member struct {
	ID        string
	Addr      string
	Zone      string
	Phase     Phase
	StartedAt float64
	Reason    string
}

// Change is one line that changed, and its revision.
type Change struct {
	Revision int64
	Service  string
	Member
}

// server is one process of a service: a pod, or an address of which no pod is named.
type server struct {
	Member
	service string
	pod     string
	node    string
	slices  map[string]Endpoint // that name it
	drained string              // why; it stays so
	gone    float64             // since when; 0: not
	lost    bool                // it was ready once and is not now
	losses  int
	steady  float64 // not ready again before that
	kept    float64 // since when it is kept although it vanished; 0: not
	told    bool    // it was in the list
}

type service struct {
	servers map[string]*server
	// Of what vanished without a word lately.
	vanished int
	since    float64
	of       int // ready servers when that began
	alive    int // servers that slices name as ready now
}

// State is one cluster manager's, as far as it was heard. It is not safe for concurrent use.
type State struct {
	c        Config
	now      float64
	revision int64
	services map[string]*service
	slices   map[string]map[string]Endpoint // by key, by id
	owner    map[string]string              // the service of a slice
	pods     map[string]Pod
	nodes    map[string]Node
	byPod    map[string]map[*server]bool
	byNode   map[string]map[*server]bool
	ended    map[string]float64 // pods of which the end was seen, and when
	dirty    map[*server]bool
	waits    map[*server]bool // for a time to pass
	granted  map[string]float64
	refused  map[string]int // by slice: endpoints beyond MostServers
}

// MaxServers is how many servers of a service are kept, those that left lately included: nodes take no longer list.
const MaxServers = 20_000

// Rejected is how many endpoints of a slice were left out since its service has too many.
func (s *State) Rejected(key string) int { return s.refused[key] }

// New starts with nothing known, at a revision: one that no earlier leader has reached.
func New(c Config, revision int64) *State {
	return &State{c: c, revision: revision, services: map[string]*service{}, slices: map[string]map[string]Endpoint{}, owner: map[string]string{},
		pods: map[string]Pod{}, nodes: map[string]Node{}, byPod: map[string]map[*server]bool{}, byNode: map[string]map[*server]bool{},
		ended: map[string]float64{}, dirty: map[*server]bool{}, waits: map[*server]bool{}, granted: map[string]float64{}, refused: map[string]int{}}
}

// Revision is the list's.
func (s *State) Revision() int64 { return s.revision }

func id(e Endpoint) string {
	if e.Pod != "" {
		return e.Pod
	}
	return e.Addr
}

// UpdateSlice takes a slice of a service as it is now. What it no longer names has vanished from it.
func (s *State) UpdateSlice(key, of string, endpoints []Endpoint, now float64) []Change {
	s.tick(now)
	was, is := s.slices[key], map[string]Endpoint{}
	v := s.services[of]
	if v == nil {
		v = &service{servers: map[string]*server{}}
		s.services[of] = v
	}
	for _, e := range endpoints {
		if old, twice := is[id(e)]; twice { // the more careful word
			e.Ready, e.Terminating = e.Ready && old.Ready, e.Terminating || old.Terminating
		}
		is[id(e)] = e
	}
	s.slices[key], s.owner[key] = is, of
	delete(s.refused, key)
	for k, e := range is {
		x := v.servers[k]
		if x == nil && len(v.servers) >= MaxServers {
			s.refused[key]++
			continue
		}
		if x == nil {
			x = &server{Member: Member{ID: k, Phase: Gone}, service: of, pod: e.Pod, slices: map[string]Endpoint{}}
			v.servers[k] = x
			link(s.byPod, e.Pod, x)
		}
		if e.Node != x.node {
			unlink(s.byNode, x.node, x)
			link(s.byNode, e.Node, x)
			x.node = e.Node
		}
		x.slices[key] = e
		s.dirty[x] = true
	}
	s.drop(key, v, was, is)
	return s.settle()
}

// DeleteSlice is a slice that is no longer there.
func (s *State) DeleteSlice(key string, now float64) []Change {
	s.tick(now)
	if v := s.services[s.owner[key]]; v != nil {
		s.drop(key, v, s.slices[key], nil)
	}
	delete(s.slices, key)
	delete(s.owner, key)
	delete(s.refused, key)
	return s.settle()
}

func (s *State) drop(key string, v *service, was, is map[string]Endpoint) {
	for k := range was {
		if x := v.servers[k]; x != nil {
			if _, still := is[k]; !still {
				delete(x.slices, key)
				s.dirty[x] = true
			}
		}
	}
}

func link(m map[string]map[*server]bool, k string, x *server) {
	if k == "" {
		return
	}
	if m[k] == nil {
		m[k] = map[*server]bool{}
	}
	m[k][x] = true
}

func unlink(m map[string]map[*server]bool, k string, x *server) {
	if delete(m[k], x); len(m[k]) == 0 {
		delete(m, k)
	}
}

// UpdatePod takes a pod as it is now. What was seen to end does not come back, whatever an older event says.
func (s *State) UpdatePod(p Pod, now float64) []Change {
	s.tick(now)
	if p.Finished || p.Deleting {
		if _, known := s.ended[p.UID]; !known {
			s.ended[p.UID] = now
		}
	}
	s.pods[p.UID] = p
	for x := range s.byPod[p.UID] {
		s.dirty[x] = true
	}
	return s.settle()
}

// MarkPodMissing is a pod that a whole list lacks: it was deleted while nobody watched, or the list is not whole. Nothing is
// concluded by that alone; where no slice names it either, it has vanished.
func (s *State) MarkPodMissing(uid string, now float64) []Change {
	s.tick(now)
	delete(s.pods, uid)
	for x := range s.byPod[uid] {
		s.dirty[x] = true
	}
	return s.settle()
}

// DeletePod is a pod that was deleted.
func (s *State) DeletePod(uid string, now float64) []Change {
	s.tick(now)
	if p, known := s.pods[uid]; known || s.byPod[uid] != nil {
		p.UID, p.Finished = uid, true
		return s.UpdatePod(p, now)
	}
	return s.settle()
}

// UpdateNode takes a node as it is now; a missing one is gone.
func (s *State) UpdateNode(name string, n Node, now float64) []Change {
	s.tick(now)
	if n.Missing {
		delete(s.nodes, name) // its pods are told of by themselves
	} else {
		s.nodes[name] = n
	}
	for x := range s.byNode[name] {
		s.dirty[x] = true
	}
	return s.settle()
}

// Tick lets time pass.
func (s *State) Tick(now float64) []Change {
	s.tick(now)
	// Here alone, some times a second: looked at with each event, those that left in the last minutes would cost every event.
	for x := range s.waits {
		s.dirty[x] = true
	}
	for uid, at := range s.ended {
		if s.now-at > s.c.ForgetAfter && s.byPod[uid] == nil {
			delete(s.ended, uid)
			delete(s.pods, uid)
			delete(s.granted, uid)
		}
	}
	return s.settle()
}

// tick never goes back: a clock set back must not undo a wait.
func (s *State) tick(now float64) { s.now = max(s.now, now) }

// settle decides anew about all servers that something was heard of, and tells what changed: drains first.
func (s *State) settle() []Change {
	all := slices.Collect(maps.Keys(s.dirty))
	clear(s.dirty)
	slices.SortFunc(all, func(a, b *server) int { return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.ID, b.ID)) })
	s.countVanished(all)
	var out []Change
	for _, x := range all {
		delete(s.waits, x)
		was := x.Member
		s.decide(x)
		if x.Phase == Gone && x.gone > 0 && s.now-x.gone > s.c.ForgetAfter && len(x.slices) == 0 {
			delete(s.services[x.service].servers, x.ID)
			unlink(s.byPod, x.pod, x)
			unlink(s.byNode, x.node, x)
		} else if x.Phase == Gone && len(x.slices) == 0 {
			s.waits[x] = true
		}
		quiet := was
		quiet.Reason = x.Reason
		if quiet == x.Member || !x.told && x.Phase == Gone {
			continue
		}
		x.told = x.Phase != Gone
		out = append(out, Change{Service: x.service, Member: x.Member})
	}
	rank := func(c Change) int { return slices.Index([]Phase{Draining, Gone, Ready}, c.Phase) }
	slices.SortStableFunc(out, func(a, b Change) int { return rank(a) - rank(b) })
	for i := range out {
		s.revision++
		out[i].Revision = s.revision
	}
	return out
}

// decide sets a server's phase.
func (s *State) decide(x *server) {
	var e Endpoint
	named, ready, terminating := false, true, false
	for _, k := range slices.Sorted(maps.Keys(x.slices)) {
		e, named = x.slices[k], true
		ready, terminating = ready && e.Ready, terminating || e.Terminating
	}
	if named {
		x.Addr, x.Zone = e.Addr, e.Zone
	}
	p, known := s.pods[x.pod]
	_, ended := s.ended[x.pod]
	n := s.nodes[x.node]
	if x.Zone == "" {
		x.Zone = n.Zone
	}
	// Each word of an end is for good: a process that drains does not come back, and whoever says otherwise is behind.
	switch {
	case x.drained != "":
	case x.pod != "" && ended:
		x.drained = "its pod ends"
	case terminating:
		x.drained = "its endpoint terminates"
	case n.Evicting:
		x.drained = "its node is being emptied"
	case n.Cordoned && s.c.DrainCordoned:
		x.drained = "its node is cordoned"
	}
	switch {
	case x.drained != "":
		x.kept = 0
		switch {
		case !named, known && p.Finished && !p.Deleting:
			s.leave(x)
		default:
			x.Phase, x.Reason = Draining, x.drained
			x.gone = 0
		}
	case !named && x.told:
		s.vanish(x)
	case !named:
		s.leave(x)
	case !ready:
		x.kept, x.gone = 0, 0
		if x.Phase == Ready {
			x.lost = true
			x.losses++
			x.Phase, x.Reason = Draining, "not ready"
		} else if x.Phase == Gone && x.told {
			x.Phase, x.Reason = Draining, "not ready"
		}
	default:
		s.rise(x, p, known)
	}
}

// rise lets a server be ready. One that lost its readiness waits, longer each time; it comes back as one that has just
// started, since to nodes a draining process does not come back.
func (s *State) rise(x *server, p Pod, known bool) {
	x.kept, x.gone = 0, 0
	switch {
	case x.Phase == Ready:
		x.Reason = ""
		return
	case x.lost && x.steady == 0:
		x.steady = s.now + min(s.c.FlapDelay*float64(uint64(1)<<min(x.losses-1, 20)), s.c.MaxFlapDelay)
		s.waits[x] = true
		return
	case x.lost && s.now < x.steady:
		s.waits[x] = true
		return
	}
	switch {
	case x.lost || x.told:
		x.StartedAt = s.now
	case known && p.StartedAt > 0:
		x.StartedAt = p.StartedAt
	default:
		x.StartedAt = s.now
	}
	x.Phase, x.Reason, x.lost, x.steady = Ready, "", false, 0
}

func (s *State) leave(x *server) {
	if x.Phase != Gone || x.gone == 0 {
		x.gone = s.now
	}
	x.Phase, x.Reason, x.kept = Gone, "", 0
}

// countVanished counts what vanishes now and has vanished lately, before anything is made of one of them.
func (s *State) countVanished(all []*server) {
	touched := map[*service]bool{}
	for _, x := range all {
		_, ended := s.ended[x.pod]
		if len(x.slices) > 0 || !x.told || x.drained != "" || x.pod != "" && ended || x.kept != 0 {
			continue
		}
		v := s.services[x.service]
		if v.vanished == 0 || s.now-v.since > s.c.ShrinkHold {
			v.vanished, v.since, v.of = 0, s.now, 0
			for _, y := range v.servers {
				if y.Phase == Ready {
					v.of++
				}
			}
		}
		v.vanished++
		x.kept = max(s.now, 1e-9)
		touched[v] = true
	}
	for v := range touched { // once: for each that vanished, a lost slice of thousands would take minutes
		v.alive = 0
		for _, y := range v.servers {
			if _, ended := s.ended[y.pod]; len(y.slices) > 0 && y.drained == "" && !(y.pod != "" && ended) {
				v.alive++
			}
		}
	}
}

// vanish is a server that no slice names any more, of which nobody has said that it ends. Some do: their pods' end is told later.
// Many at once look like a fault of the API: an empty slice, a list that lacks a page. Those are kept, until their pods' end is
// told, or time has passed; a real scale-down says of each pod that it ends.
func (s *State) vanish(x *server) {
	v := s.services[x.service]
	// Where others stand in their places it is a deploy, and not a list that lacks them.
	few := float64(v.vanished) <= s.c.MaxShrinkFraction*float64(v.of) && v.vanished < v.of || float64(v.alive) >= (1-s.c.MaxShrinkFraction)*float64(v.of) && v.alive > 0
	if s.now-x.kept > s.c.ShrinkHold || few && s.pods[x.pod].UID == "" {
		s.leave(x)
		return
	}
	if x.Phase == Ready && few {
		// Few: the careful word is that it drains, until its pod says more.
		x.Phase, x.Reason = Draining, "vanished, and its pod lives"
		x.lost = true
		x.losses++
	} else if x.Phase == Ready {
		x.Reason = "kept: many vanished at once without a word"
	}
	s.waits[x] = true
}

// Members is a service's list, those that have gone left out.
func (s *State) Members(of string) []Member {
	var out []Member
	if v := s.services[of]; v != nil {
		for _, x := range v.servers {
			if x.told && x.Phase != Gone {
				out = append(out, x.Member)
			}
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// OpenGates are the pods whose readiness gate is to be opened now: their containers are ready, and no more than a part of their
// service is cold at once. A cluster manager that rolls a deployment waits for the gate, and so keeps the pace.
func (s *State) OpenGates(now float64) []string {
	s.now = max(s.now, now)
	type group struct {
		total, cold int
		wait        []Pod
	}
	groups := map[string]*group{}
	for uid, p := range s.pods {
		if _, ended := s.ended[uid]; ended || p.GatedService == "" {
			continue
		}
		g := groups[p.GatedService]
		if g == nil {
			g = &group{}
			groups[p.GatedService] = g
		}
		g.total++
		at, granted := s.granted[uid]
		switch {
		case p.GateOpen && !granted: // by an earlier leader
			if s.granted[uid] = s.now - s.c.SlowStartDuration; p.StartedAt != 0 {
				s.granted[uid] = p.StartedAt
			}
			if s.now-s.granted[uid] < s.c.SlowStartDuration {
				g.cold++
			}
		case granted && s.now-at < s.c.SlowStartDuration:
			g.cold++
		case !granted && p.ContainersReady:
			g.wait = append(g.wait, p)
		}
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		slices.SortFunc(g.wait, func(a, b Pod) int { return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.UID, b.UID)) })
		most := max(1, int(s.c.MaxSlowStartFraction*float64(g.total)))
		if g.total == len(g.wait) { // all are new: nothing is there to be spared
			most = g.total
		}
		for _, p := range g.wait[:min(len(g.wait), max(0, most-g.cold))] {
			s.granted[p.UID] = s.now
			out = append(out, p.UID)
		}
	}
	return out
}

// Validate tells what is wrong with a configuration.
func (c Config) Validate() error {
	switch {
	case c.FlapDelay < 0 || c.MaxFlapDelay < c.FlapDelay:
		return fmt.Errorf("flap %v and flap_most %v: both at least 0, the second not below the first", c.FlapDelay, c.MaxFlapDelay)
	case !(c.MaxShrinkFraction > 0 && c.MaxShrinkFraction <= 1) || c.ShrinkHold <= 0:
		return fmt.Errorf("shrink_at %v must be above 0 and at most 1, shrink_for %v above 0", c.MaxShrinkFraction, c.ShrinkHold)
	case c.ForgetAfter < c.ShrinkHold:
		return fmt.Errorf("forget %v must not be below shrink_for %v", c.ForgetAfter, c.ShrinkHold)
	case !(c.MaxSlowStartFraction > 0 && c.MaxSlowStartFraction <= 1) || c.SlowStartDuration < 0:
		return fmt.Errorf("cold_most %v must be above 0 and at most 1, cold_for %v not below 0", c.MaxSlowStartFraction, c.SlowStartDuration)
	}
	return nil
}
