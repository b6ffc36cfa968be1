package record

import (
	"encoding/json"
	"math"
	"slices"
)

// Phases of a server's process, in the order in which the process passes through them.
const (
	PhaseReady    = "ready"
	PhaseDraining = "draining"
	PhaseGone     = "gone"
)

var phaseOrder = []string{PhaseReady, PhaseDraining, PhaseGone}

// phaseRank returns the index of a phase in phaseOrder, or -1 for an unknown phase.
func phaseRank(phase string) int { return slices.Index(phaseOrder, phase) }

// Observation is the value of an entry of KindServer: a server as discovery listed it.
type Observation struct {
	Addr         string  `json:"addr"`
	Phase        string  `json:"phase"`    // one of the Phase constants
	Start        int64   `json:"start_ms"` // time when the process started, in milliseconds since 1970; 0: unknown
	ListRevision int64   `json:"listed"`   // revision of the endpoint list from which the server was read
	Zone         int     `json:"zone,omitempty"`
	Cell         int     `json:"cell,omitempty"`
	Weight       float64 `json:"weight,omitempty"`
	Service      string  `json:"-"`
	ID           string  `json:"-"`
}

// equivalent reports whether two observations are equal apart from ListRevision. Each replica of a discovery service
// assigns its own list revisions, so nodes get different ListRevisions for the same server. If a difference in
// ListRevision alone were written, every node would rewrite each observation, and each write would notify all other
// nodes.
func (o Observation) equivalent(other Observation) bool {
	o.ListRevision = other.ListRevision
	return o == other
}

// olderThan reports whether the observation o is of an earlier process than other, or of an earlier phase of the same
// process. A process that drained or left never becomes ready again.
func (o Observation) olderThan(other Observation) bool {
	if o.Start != other.Start {
		return o.Start < other.Start
	}
	return phaseRank(o.Phase) < phaseRank(other.Phase)
}

// impliedBy reports whether a stored entry makes the observation o redundant: the stored observation is newer than o,
// or it equals o apart from ListRevision. The argument value is o in its encoded form.
func (o Observation) impliedBy(entry Entry, value []byte) bool {
	stored, ok := entry.observation()
	if !ok {
		return false
	}
	if o.olderThan(stored) {
		return true
	}
	stored.ListRevision = o.ListRevision
	storedValue, _ := json.Marshal(stored) // can't fail: a struct of strings and numbers
	return string(storedValue) == string(value)
}

// Drain is the value of an entry of KindDrain. It applies to the server's process that started at Start and to all
// earlier processes of that server. A process that starts later under the same server name is not drained. Times are in
// milliseconds since 1970.
type Drain struct {
	Start      int64  `json:"start_ms"`           // when the process started; 0: applies to all processes
	Since      int64  `json:"since_ms"`           // when the drain was set
	By         string `json:"by"`                 // who set the drain
	Until      int64  `json:"until_ms,omitempty"` // when the drain expires; 0: never
	Ended      bool   `json:"ended,omitempty"`    // an operator ended the drain
	Supersedes int64  `json:"over,omitempty"`     // highest revision of the drain's entry that the writer had read
}

// lastStart returns the start time, in milliseconds since 1970, of the most recently started process to which a drain
// applies. It returns math.MaxInt64 for a drain of all processes.
func (d Drain) lastStart() int64 {
	if d.Start == 0 {
		return math.MaxInt64
	}
	return d.Start
}

// covers reports whether a drain applies, at the time now, to the process that started at the time start. A start of 0
// means that the process's start time is unknown.
func (d Drain) covers(start, now int64) bool {
	if d.Ended {
		return false
	}
	if d.Until != 0 && now >= d.Until {
		return false
	}
	return d.Start == 0 || start <= d.Start
}

// equivalent reports whether two drains have the same effect: both apply to the same processes, both expire at the same
// time, and either both have been ended or neither has.
func (d Drain) equivalent(other Drain) bool {
	return d.lastStart() == other.lastStart() && d.Until == other.Until && d.Ended == other.Ended
}

// reopens reports whether the drain d was set after an operator had ended the stored drain. That is the case if the
// writer of d had read the entry of the stored drain, which has the given revision, or if d applies to a process that
// started later than those of the stored drain. Times of the two drains can't decide this, since the clock of the node
// that sets d may be slow.
func (d Drain) reopens(stored Drain, revision int64) bool {
	return d.Supersedes >= revision || d.Start != 0 && d.lastStart() > stored.lastStart()
}

// weakerThan reports whether the drain d covers less than other: d applies to fewer processes, or both drains apply to
// the same processes but d was ended or expires earlier.
func (d Drain) weakerThan(other Drain) bool {
	if d.lastStart() != other.lastStart() {
		return d.lastStart() < other.lastStart()
	}
	if d.Ended != other.Ended {
		return d.Ended
	}
	if d.Until == 0 {
		return false
	}
	return other.Until == 0 || d.Until < other.Until
}

// extends reports whether the drain d, which only this node knows, covers more than the stored drain, whose entry has
// the given revision. If an operator has ended the stored drain, d covers more only if it reopens the stored drain.
func (d Drain) extends(stored Drain, revision int64) bool {
	if stored.Ended && !d.Ended {
		return d.reopens(stored, revision)
	}
	return stored.weakerThan(d)
}
