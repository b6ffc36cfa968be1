package record

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// SyncState is how a node's copy stands to its store.
type SyncState int

const (
	NeverSynced SyncState = iota // no store was reached since the start
	Following
	RolledBack   // the store is older than this copy, in the same epoch: restored without a word
	EpochChanged // the store has another epoch than this copy had: it was made anew, restored or imported
	Disconnected // the store was lost; this copy is of the last time it was reached
)

func (s SyncState) String() string {
	return []string{"never reached", "follows", "went back", "another epoch", "lost"}[s]
}

// ListedServer is a server as the node is to take it.
type ListedServer struct {
	Observation
	Reason string // of a phase that discovery does not say
}

// View is what a node knows. What it merges comes through its methods; Servers and Pending are what follows. It is not safe
// for concurrent use.
type View struct {
	MaxStaleness int64 // milliseconds that servers known from an old copy alone may be sent to; 0: for ever

	Meta        Meta
	SyncState   SyncState
	LastContact int64 // when the store was last heard
	LatestTime  int64 // the latest time heard: the machine's may be set back

	facts      map[Key]Entry
	wrote      int64                             // the highest revision of what this node wrote: the store stood there, whether or not it was read since
	discovered map[string]map[string]Observation // by service
	heard      map[string]bool                   // services whose discovery has spoken since the start
	own        map[string]Drain                  // drains that this node was told, by name
	pending    map[Key]Change                    // to be written, one a key
	Dropped    int                               // sightings that were not queued since the queue was full
	MaxPending int                               // pending at most, drains not counted
	mark       func() string
	by         string
}

// NewView starts with nothing known. Marks come from the function, a new one each time; by is the node's name.
func NewView(by string, most int, mark func() string) *View {
	return &View{facts: map[Key]Entry{}, discovered: map[string]map[string]Observation{}, heard: map[string]bool{}, own: map[string]Drain{},
		pending: map[Key]Change{}, MaxPending: most, mark: mark, by: by}
}

func (v *View) tick(now int64) int64 {
	v.LatestTime = max(v.LatestTime, now)
	return v.LatestTime
}

// Snapshot is what a node keeps on its own disk.
type Snapshot struct {
	Meta        Meta             `json:"meta"`
	LastContact int64            `json:"at_ms"`
	LatestTime  int64            `json:"clock_ms"`
	Entries     []Entry          `json:"facts"`
	Drains      map[string]Drain `json:"drains"` // told to this node, and perhaps not recorded yet
}

// Snapshot is a copy of what must outlast the process.
func (v *View) Snapshot() Snapshot {
	return Snapshot{Meta: v.Meta, LastContact: v.LastContact, LatestTime: v.LatestTime, Entries: slices.Collect(maps.Values(v.facts)), Drains: maps.Clone(v.own)}
}

// Restore begins with a snapshot. It is an old copy until the store has been reached.
func (v *View) Restore(s Snapshot, now int64) {
	v.Meta, v.LastContact, v.LatestTime, v.SyncState = s.Meta, s.LastContact, max(s.LatestTime, now), NeverSynced
	for _, f := range s.Entries {
		v.facts[f.Key] = f
		v.wrote = max(v.wrote, f.Revision)
	}
	for name, d := range s.Drains {
		v.tell(name, d)
	}
}

// Page is news from the store: what changed after a revision, or with Whole all of it.
type Page struct {
	Meta     Meta    `json:"Meta"`
	Complete bool    `json:"Whole"`
	Entries  []Entry `json:"Facts"`
}

// Position is where this copy stands: as far as it has read, or has written.
func (v *View) Position() Meta { return Meta{v.Meta.Epoch, max(v.Meta.Revision, v.wrote)} }

// NextRead is what to ask the store for next, given where it stands: all of it, or what came after a revision.
func (v *View) NextRead(m Meta) (after int64, whole bool) {
	if s := v.Position(); m.Epoch != s.Epoch || m.Revision < s.Revision {
		return 0, true
	}
	return v.Meta.Revision, false
}

// ApplyPage takes news from the store. Whatever it says, no drain that this node knows is forgotten by it: those that it lacks
// are to be written again.
func (v *View) ApplyPage(p Page, now int64) {
	v.tick(now)
	switch {
	case v.Meta.Epoch == "" || p.Meta.Epoch == v.Meta.Epoch && p.Meta.Revision >= v.Position().Revision:
		v.SyncState = Following
	case p.Meta.Epoch == v.Meta.Epoch:
		v.SyncState = RolledBack
	default:
		v.SyncState = EpochChanged
	}
	drains := map[string]Entry{}
	for k, f := range v.facts {
		if k.Kind == KindDrain && !f.Deleted {
			drains[k.Name] = f
		}
	}
	if p.Complete && v.SyncState != RolledBack {
		clear(v.facts)
	}
	for _, f := range p.Entries {
		if was, ok := v.facts[f.Key]; ok && v.SyncState == RolledBack && was.Revision >= f.Revision {
			continue // the copy is newer: it stays until the store has passed it
		}
		v.facts[f.Key] = f
	}
	told := map[Key]bool{}
	for _, f := range p.Entries {
		told[f.Key] = true
		v.overtaken(f)
	}
	for name, f := range drains {
		// What a whole page lacks the store has lost; a drain that was taken back stands in it as deleted.
		if p.Complete && !told[f.Key] || v.SyncState == EpochChanged && v.facts[f.Key].IdempotencyKey != f.IdempotencyKey {
			var d Drain
			if json.Unmarshal(f.Value, &d) == nil {
				v.tell(name, d)
			}
		}
	}
	// What the store has by now need not be written; what it lacks must be, also after it went back.
	for name, d := range v.own {
		f, ok := v.facts[Key{KindDrain, name}]
		var there Drain
		if ok && !f.Deleted && json.Unmarshal(f.Value, &there) == nil && !v.beyond(d, there, f.Revision) && (v.SyncState == Following || told[f.Key]) {
			if there.Ended || there.last() > d.last() || there == d {
				delete(v.own, name)
			}
			delete(v.pending, Key{KindDrain, name})
			continue
		}
		if ok && f.Deleted && v.SyncState == Following && f.Revision > 0 && v.written(name) {
			delete(v.own, name) // ended by hand, after it was recorded
			continue
		}
		v.queueDrain(name, d)
	}
	if v.SyncState != RolledBack {
		v.Meta, v.wrote = p.Meta, 0
	}
	v.LastContact = now
}

// overtaken takes what waits to be written about a server out, if a fact that the store has says it already. All nodes hear of
// a server at once and each would else write it, and of those far from the store a whole list of writes that change nothing may
// never be done in the time of one call.
func (v *View) overtaken(f Entry) {
	c, waits := v.pending[f.Key]
	var s Observation
	switch {
	case !waits || f.Kind != KindServer:
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
	_, waits := v.pending[Key{KindDrain, name}]
	return !waits
}

// MarkSynced ends a Back or Other once what was lacking has been written: from there the store is followed.
func (v *View) MarkSynced(m Meta) {
	if len(v.pending) == 0 || m.Revision >= v.Meta.Revision {
		v.Meta, v.wrote, v.SyncState = m, 0, Following
	}
}

// MarkDisconnected tells that the store can't be reached.
func (v *View) MarkDisconnected() {
	if v.SyncState != NeverSynced {
		v.SyncState = Disconnected
	}
}

// ApplyDiscovery takes a service's list, or with full unset changes of it.
func (v *View) ApplyDiscovery(service string, list []Observation, full bool, now int64) {
	v.tick(now)
	was := v.discovered[service]
	is := map[string]Observation{}
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
			if d, ok := v.drain(name); !ok || !covers(d, s.Start, v.LatestTime) {
				v.AddDrain(name, Drain{Start: s.Start, Since: now, By: "discovery"}, now)
			}
		}
		v.sight(s)
	}
}

// toldBy tells whether a fact says all that a sighting does, whose value this is.
func (o *Observation) toldBy(f Entry, value []byte) bool {
	var was Observation
	if f.Deleted || json.Unmarshal(f.Value, &was) != nil {
		return false
	}
	same := was
	same.ListRevision = o.ListRevision
	b, _ := json.Marshal(same)
	return string(b) == string(value) || o.Start < was.Start || o.Start == was.Start && rank(o.Phase) < rank(was.Phase)
}

// sight queues a sighting, if it says more than is recorded.
func (v *View) sight(s Observation) {
	k := Key{KindServer, s.Service + "/" + s.ID}
	value, _ := json.Marshal(s)
	if f, ok := v.facts[k]; ok && s.toldBy(f, value) {
		return
	}
	if _, waits := v.pending[k]; !waits && len(v.pending) >= v.MaxPending {
		v.Dropped++ // the next list brings it again
		return
	}
	v.pending[k] = Change{Key: k, ExpectedRevision: AnyRevision, Writer: v.by, IdempotencyKey: v.mark(), WrittenAt: v.LatestTime, Value: value}
}

// AddDrain is somebody's word to this node. It is in force before it is recorded.
func (v *View) AddDrain(name string, d Drain, now int64) {
	v.tick(now)
	d.Supersedes = max(d.Supersedes, v.facts[Key{KindDrain, name}].Revision)
	v.tell(name, d)
}

func (v *View) tell(name string, d Drain) {
	if was, ok := v.own[name]; ok && older(d, was) && !(was.Ended && d.Supersedes > was.Supersedes) {
		return
	}
	v.own[name] = d
	v.queueDrain(name, d)
}

func (v *View) queueDrain(name string, d Drain) {
	k := Key{KindDrain, name}
	value, _ := json.Marshal(d)
	if c, ok := v.pending[k]; ok && string(c.Value) == string(value) {
		return // the mark stays: it may have been written
	}
	v.pending[k] = Change{Key: k, ExpectedRevision: AnyRevision, Writer: v.by, IdempotencyKey: v.mark(), WrittenAt: v.LatestTime, Value: value}
}

// drain is what is known of a server's drain, from the record and from this node's own memory: what says most.
func (v *View) drain(name string) (d Drain, ok bool) {
	if f, is := v.facts[Key{KindDrain, name}]; is && !f.Deleted && json.Unmarshal(f.Value, &d) == nil {
		ok = true
	}
	if own, is := v.own[name]; is && (!ok || v.beyond(own, d, v.facts[Key{KindDrain, name}].Revision)) {
		return own, true
	}
	return d, ok
}

// beyond tells whether a drain of this node's says more than the recorded one at a revision.
func (v *View) beyond(own, recorded Drain, revision int64) bool {
	if recorded.Ended && !own.Ended {
		return own.again(recorded, revision)
	}
	return older(recorded, own)
}

// covers tells whether a drain holds for a process that started at a time, 0 if that is not known.
func covers(d Drain, start, now int64) bool {
	return !d.Ended && (d.Until == 0 || now < d.Until) && (d.Start == 0 || start <= d.Start)
}

// Servers is a service's list as the node is to take it now. Where discovery has spoken its list is the base; where it has
// not, the record's sightings are, unless they are too old to be sent to. Drains hold over either.
func (v *View) Servers(service string, now int64) []ListedServer {
	now = v.tick(now)
	base := map[string]ListedServer{}
	if v.heard[service] {
		for id, s := range v.discovered[service] {
			base[id] = ListedServer{Observation: s}
		}
	} else {
		old := v.SyncState != Following && v.MaxStaleness > 0 && now-v.LastContact > v.MaxStaleness
		for k, f := range v.facts {
			id, is := strings.CutPrefix(k.Name, service+"/")
			var s Observation
			if k.Kind != KindServer || !is || f.Deleted || json.Unmarshal(f.Value, &s) != nil || s.Phase == "gone" {
				continue
			}
			s.Service, s.ID = service, id
			l := ListedServer{Observation: s}
			if old && s.Phase == "ready" {
				l.Phase, l.Reason = "draining", "known from an old copy only"
			}
			base[id] = l
		}
		for id, s := range v.discovered[service] { // changes without a whole list
			base[id] = ListedServer{Observation: s}
		}
	}
	out := make([]ListedServer, 0, len(base))
	for id, l := range base {
		if d, ok := v.drain(service + "/" + id); ok && l.Phase == "ready" && covers(d, l.Start, now) {
			l.Phase, l.Reason = "draining", "drained by "+d.By
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b ListedServer) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// SizeWith is how many facts the view would hold with a page, deleted ones included.
func (v *View) SizeWith(p Page) int {
	if p.Complete {
		return len(p.Entries)
	}
	n := len(v.facts)
	for _, f := range p.Entries {
		if _, has := v.facts[f.Key]; !has {
			n++
		}
	}
	return n
}

// Entries are those of a kind, by name.
func (v *View) Entries(k Kind) []Entry {
	var out []Entry
	for _, f := range v.facts {
		if f.Kind == k && !f.Deleted {
			out = append(out, f)
		}
	}
	return SortEntries(out)
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

// UnrecordedDrains is how many drains this node alone knows.
func (v *View) UnrecordedDrains() int {
	n := 0
	for k := range v.pending {
		if k.Kind == KindDrain {
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
		var s Observation
		if k.Kind != KindServer || f.Deleted || now-f.WrittenAt <= keep || json.Unmarshal(f.Value, &s) != nil || s.Phase != "gone" || len(v.pending) >= v.MaxPending {
			continue
		}
		if _, waits := v.pending[k]; !waits {
			v.pending[k] = Change{Key: k, ExpectedRevision: f.Revision, Delete: true, Writer: v.by, IdempotencyKey: v.mark(), WrittenAt: now}
		}
	}
}

// PendingCount is how many changes wait.
func (v *View) PendingCount() int { return len(v.pending) }

// MarkWritten tells that a change is recorded as a fact, or with Revision 0 that the store would not have it since something
// newer is there.
func (v *View) MarkWritten(c Change, f Entry) {
	if now, ok := v.pending[c.Key]; ok && now.IdempotencyKey == c.IdempotencyKey {
		delete(v.pending, c.Key)
	}
	if f.Revision > 0 {
		v.wrote = max(v.wrote, f.Revision)
		if was, ok := v.facts[f.Key]; !ok || was.Revision < f.Revision {
			v.facts[f.Key] = f
		}
	}
}
