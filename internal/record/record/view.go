package record

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Standing is how a node's copy stands to its store.
type Standing int

const (
	Never Standing = iota // no store was reached since the start
	Follows
	Back  // the store is older than this copy, in the same epoch: restored without a word
	Other // the store has another epoch than this copy had: it was made anew, restored or imported
	Alone // the store was lost; this copy is of the last time it was reached
)

func (s Standing) String() string {
	return []string{"never reached", "follows", "went back", "another epoch", "lost"}[s]
}

// Listed is a server as the node is to take it.
type Listed struct {
	Sighting
	Why string // of a phase that discovery does not say
}

// View is what a node knows. What it merges comes through its methods; Servers and Pending are what follows. It is not safe
// for concurrent use.
type View struct {
	MostAge int64 // milliseconds that servers known from an old copy alone may be sent to; 0: for ever

	Meta     Meta
	Standing Standing
	At       int64 // when the store was last heard
	Clock    int64 // the latest time heard: the machine's may be set back

	facts      map[Key]Fact
	wrote      int64                          // the highest revision of what this node wrote: the store stood there, whether or not it was read since
	discovered map[string]map[string]Sighting // by service
	heard      map[string]bool                // services whose discovery has spoken since the start
	own        map[string]Drained             // drains that this node was told, by name
	pending    map[Key]Change                 // to be written, one a key
	Dropped    int                            // sightings that were not queued since the queue was full
	Most       int                            // pending at most, drains not counted
	mark       func() string
	by         string
}

// NewView starts with nothing known. Marks come from the function, a new one each time; by is the node's name.
func NewView(by string, most int, mark func() string) *View {
	return &View{facts: map[Key]Fact{}, discovered: map[string]map[string]Sighting{}, heard: map[string]bool{}, own: map[string]Drained{},
		pending: map[Key]Change{}, Most: most, mark: mark, by: by}
}

func (v *View) tick(now int64) int64 {
	v.Clock = max(v.Clock, now)
	return v.Clock
}

// Snapshot is what a node keeps on its own disk.
type Snapshot struct {
	Meta   Meta               `json:"meta"`
	At     int64              `json:"at_ms"`
	Clock  int64              `json:"clock_ms"`
	Facts  []Fact             `json:"facts"`
	Drains map[string]Drained `json:"drains"` // told to this node, and perhaps not recorded yet
}

// Snapshot is a copy of what must outlast the process.
func (v *View) Snapshot() Snapshot {
	return Snapshot{Meta: v.Meta, At: v.At, Clock: v.Clock, Facts: slices.Collect(maps.Values(v.facts)), Drains: maps.Clone(v.own)}
}

// Restore begins with a snapshot. It is an old copy until the store has been reached.
func (v *View) Restore(s Snapshot, now int64) {
	v.Meta, v.At, v.Clock, v.Standing = s.Meta, s.At, max(s.Clock, now), Never
	for _, f := range s.Facts {
		v.facts[f.Key] = f
		v.wrote = max(v.wrote, f.Revision)
	}
	for name, d := range s.Drains {
		v.tell(name, d)
	}
}

// Page is news from the store: what changed after a revision, or with Whole all of it.
type Page struct {
	Meta  Meta   `json:"Meta"`
	Whole bool   `json:"Whole"`
	Facts []Fact `json:"Facts"`
}

// Stands is where this copy stands: as far as it has read, or has written.
func (v *View) Stands() Meta { return Meta{v.Meta.Epoch, max(v.Meta.Revision, v.wrote)} }

// Wants is what to ask the store for next, given where it stands: all of it, or what came after a revision.
func (v *View) Wants(m Meta) (after int64, whole bool) {
	if s := v.Stands(); m.Epoch != s.Epoch || m.Revision < s.Revision {
		return 0, true
	}
	return v.Meta.Revision, false
}

// Store takes news from the store. Whatever it says, no drain that this node knows is forgotten by it: those that it lacks
// are to be written again.
func (v *View) Store(p Page, now int64) {
	v.tick(now)
	switch {
	case v.Meta.Epoch == "" || p.Meta.Epoch == v.Meta.Epoch && p.Meta.Revision >= v.Stands().Revision:
		v.Standing = Follows
	case p.Meta.Epoch == v.Meta.Epoch:
		v.Standing = Back
	default:
		v.Standing = Other
	}
	drains := map[string]Fact{}
	for k, f := range v.facts {
		if k.Kind == Drain && !f.Deleted {
			drains[k.Name] = f
		}
	}
	if p.Whole && v.Standing != Back {
		clear(v.facts)
	}
	for _, f := range p.Facts {
		if was, ok := v.facts[f.Key]; ok && v.Standing == Back && was.Revision >= f.Revision {
			continue // the copy is newer: it stays until the store has passed it
		}
		v.facts[f.Key] = f
	}
	told := map[Key]bool{}
	for _, f := range p.Facts {
		told[f.Key] = true
		v.overtaken(f)
	}
	for name, f := range drains {
		// What a whole page lacks the store has lost; a drain that was taken back stands in it as deleted.
		if p.Whole && !told[f.Key] || v.Standing == Other && v.facts[f.Key].Mark != f.Mark {
			var d Drained
			if json.Unmarshal(f.Value, &d) == nil {
				v.tell(name, d)
			}
		}
	}
	// What the store has by now need not be written; what it lacks must be, also after it went back.
	for name, d := range v.own {
		f, ok := v.facts[Key{Drain, name}]
		var there Drained
		if ok && !f.Deleted && json.Unmarshal(f.Value, &there) == nil && !v.beyond(d, there, f.Revision) && (v.Standing == Follows || told[f.Key]) {
			if there.Ended || there.last() > d.last() || there == d {
				delete(v.own, name)
			}
			delete(v.pending, Key{Drain, name})
			continue
		}
		if ok && f.Deleted && v.Standing == Follows && f.Revision > 0 && v.written(name) {
			delete(v.own, name) // ended by hand, after it was recorded
			continue
		}
		v.queueDrain(name, d)
	}
	if v.Standing != Back {
		v.Meta, v.wrote = p.Meta, 0
	}
	v.At = now
}

// overtaken takes what waits to be written about a server out, if a fact that the store has says it already. All nodes hear of
// a server at once and each would else write it, and of those far from the store a whole list of writes that change nothing may
// never be done in the time of one call.
func (v *View) overtaken(f Fact) {
	c, waits := v.pending[f.Key]
	var s Sighting
	switch {
	case !waits || f.Kind != Server:
	case c.Delete:
		if f.Deleted {
			delete(v.pending, f.Key)
		}
	case json.Unmarshal(c.Value, &s) == nil && s.toldBy(f, c.Value):
		delete(v.pending, f.Key)
	}
}

// written tells whether a drain of this node has been recorded: then its absence is somebody's word.
func (v *View) written(name string) bool {
	_, waits := v.pending[Key{Drain, name}]
	return !waits
}

// Settled ends a Back or Other once what was lacking has been written: from there the store is followed.
func (v *View) Settled(m Meta) {
	if len(v.pending) == 0 || m.Revision >= v.Meta.Revision {
		v.Meta, v.wrote, v.Standing = m, 0, Follows
	}
}

// Lost tells that the store can't be reached.
func (v *View) Lost() {
	if v.Standing != Never {
		v.Standing = Alone
	}
}

// Discovered takes a service's list, or with full unset changes of it.
func (v *View) Discovered(service string, list []Sighting, full bool, now int64) {
	v.tick(now)
	was := v.discovered[service]
	is := map[string]Sighting{}
	if !full {
		maps.Copy(is, was)
	}
	for _, s := range list {
		s.Service = service
		is[s.ID] = s
	}
	v.discovered[service] = is
	v.heard[service] = v.heard[service] || full
	if full { // what is gone from a whole list has left
		for id, s := range was {
			if _, ok := is[id]; !ok {
				s.Phase = "gone"
				v.sight(s)
			}
		}
	}
	for _, s := range list {
		if s.Phase == "gone" {
			delete(is, s.ID)
		}
		s.Service = service
		// A drain by discovery's word is a fact of its own: a later list from an older source must not undo it.
		if s.Phase == "draining" {
			name := service + "/" + s.ID
			if d, ok := v.drain(name); !ok || !covers(d, s.Start, v.Clock) {
				v.Drain(name, Drained{Start: s.Start, Since: now, By: "discovery"}, now)
			}
		}
		v.sight(s)
	}
}

// toldBy tells whether a fact says all that a sighting does, whose value this is.
func (s *Sighting) toldBy(f Fact, value []byte) bool {
	var was Sighting
	if f.Deleted || json.Unmarshal(f.Value, &was) != nil {
		return false
	}
	same := was
	same.Listed = s.Listed
	b, _ := json.Marshal(same)
	return string(b) == string(value) || s.Start < was.Start || s.Start == was.Start && rank(s.Phase) < rank(was.Phase)
}

// sight queues a sighting, if it says more than is recorded.
func (v *View) sight(s Sighting) {
	k := Key{Server, s.Service + "/" + s.ID}
	value, _ := json.Marshal(s)
	if f, ok := v.facts[k]; ok && s.toldBy(f, value) {
		return
	}
	if _, waits := v.pending[k]; !waits && len(v.pending) >= v.Most {
		v.Dropped++ // the next list brings it again
		return
	}
	v.pending[k] = Change{Key: k, Expect: Any, By: v.by, Mark: v.mark(), At: v.Clock, Value: value}
}

// Drain is somebody's word to this node. It is in force before it is recorded.
func (v *View) Drain(name string, d Drained, now int64) {
	v.tick(now)
	d.Over = max(d.Over, v.facts[Key{Drain, name}].Revision)
	v.tell(name, d)
}

func (v *View) tell(name string, d Drained) {
	if was, ok := v.own[name]; ok && older(d, was) && !(was.Ended && d.Over > was.Over) {
		return
	}
	v.own[name] = d
	v.queueDrain(name, d)
}

func (v *View) queueDrain(name string, d Drained) {
	k := Key{Drain, name}
	value, _ := json.Marshal(d)
	if c, ok := v.pending[k]; ok && string(c.Value) == string(value) {
		return // the mark stays: it may have been written
	}
	v.pending[k] = Change{Key: k, Expect: Any, By: v.by, Mark: v.mark(), At: v.Clock, Value: value}
}

// drain is what is known of a server's drain, from the record and from this node's own memory: what says most.
func (v *View) drain(name string) (d Drained, ok bool) {
	if f, is := v.facts[Key{Drain, name}]; is && !f.Deleted && json.Unmarshal(f.Value, &d) == nil {
		ok = true
	}
	if own, is := v.own[name]; is && (!ok || v.beyond(own, d, v.facts[Key{Drain, name}].Revision)) {
		return own, true
	}
	return d, ok
}

// beyond tells whether a drain of this node's says more than the recorded one at a revision.
func (v *View) beyond(own, recorded Drained, revision int64) bool {
	if recorded.Ended && !own.Ended {
		return own.again(recorded, revision)
	}
	return older(recorded, own)
}

// covers tells whether a drain holds for a process that started at a time, 0 if that is not known.
func covers(d Drained, start, now int64) bool {
	return !d.Ended && (d.Until == 0 || now < d.Until) && (d.Start == 0 || start <= d.Start)
}

// Servers is a service's list as the node is to take it now. Where discovery has spoken its list is the base; where it has
// not, the record's sightings are, unless they are too old to be sent to. Drains hold over either.
func (v *View) Servers(service string, now int64) []Listed {
	now = v.tick(now)
	base := map[string]Listed{}
	if v.heard[service] {
		for id, s := range v.discovered[service] {
			base[id] = Listed{Sighting: s}
		}
	} else {
		old := v.Standing != Follows && v.MostAge > 0 && now-v.At > v.MostAge
		for k, f := range v.facts {
			id, is := strings.CutPrefix(k.Name, service+"/")
			var s Sighting
			if k.Kind != Server || !is || f.Deleted || json.Unmarshal(f.Value, &s) != nil || s.Phase == "gone" {
				continue
			}
			s.Service, s.ID = service, id
			l := Listed{Sighting: s}
			if old && s.Phase == "ready" {
				l.Phase, l.Why = "draining", "known from an old copy only"
			}
			base[id] = l
		}
		for id, s := range v.discovered[service] { // changes without a whole list
			base[id] = Listed{Sighting: s}
		}
	}
	out := make([]Listed, 0, len(base))
	for id, l := range base {
		if d, ok := v.drain(service + "/" + id); ok && l.Phase == "ready" && covers(d, l.Start, now) {
			l.Phase, l.Why = "draining", "drained by "+d.By
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listed) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Size is how many facts the view would hold with a page, deleted ones included.
func (v *View) Size(p Page) int {
	if p.Whole {
		return len(p.Facts)
	}
	n := len(v.facts)
	for _, f := range p.Facts {
		if _, has := v.facts[f.Key]; !has {
			n++
		}
	}
	return n
}

// Facts are those of a kind, by name.
func (v *View) Facts(k Kind) []Fact {
	var out []Fact
	for _, f := range v.facts {
		if f.Kind == k && !f.Deleted {
			out = append(out, f)
		}
	}
	return Sorted(out)
}

// Pending are the changes to be written next, drains first; a key stands in it once.
func (v *View) Pending(most int) []Change {
	var out []Change
	for _, k := range Kinds {
		var of []Change
		for key, c := range v.pending {
			if key.Kind == k {
				of = append(of, c)
			}
		}
		slices.SortFunc(of, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
		out = append(out, of...)
	}
	return out[:min(most, len(out))]
}

// Unrecorded is how many drains this node alone knows.
func (v *View) Unrecorded() int {
	n := 0
	for k := range v.pending {
		if k.Kind == Drain {
			n++
		}
	}
	return n
}

// Prune queues the end of sightings of servers that left longer ago than keep: under deploys all day the record would else
// grow with every name there has been. Until then an old list can't bring them back.
func (v *View) Prune(now, keep int64) {
	now = v.tick(now)
	for k, f := range v.facts {
		var s Sighting
		if k.Kind != Server || f.Deleted || now-f.At <= keep || json.Unmarshal(f.Value, &s) != nil || s.Phase != "gone" || len(v.pending) >= v.Most {
			continue
		}
		if _, waits := v.pending[k]; !waits {
			v.pending[k] = Change{Key: k, Expect: f.Revision, Delete: true, By: v.by, Mark: v.mark(), At: now}
		}
	}
}

// Waiting is how many changes wait.
func (v *View) Waiting() int { return len(v.pending) }

// Written tells that a change is recorded as a fact, or with Revision 0 that the store would not have it since something
// newer is there.
func (v *View) Written(c Change, f Fact) {
	if now, ok := v.pending[c.Key]; ok && now.Mark == c.Mark {
		delete(v.pending, c.Key)
	}
	if f.Revision > 0 {
		v.wrote = max(v.wrote, f.Revision)
		if was, ok := v.facts[f.Key]; !ok || was.Revision < f.Revision {
			v.facts[f.Key] = f
		}
	}
}
