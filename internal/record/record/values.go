package record

import (
	"encoding/json"
	"math"
	"slices"
)

// Phases of a server's process, in the order in which it goes through them.
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
	Start        int64   `json:"start_ms"` // when the process started
	ListRevision int64   `json:"listed"`   // revision of the endpoint list that was observed
	Zone         int     `json:"zone,omitempty"`
	Cell         int     `json:"cell,omitempty"`
	Weight       float64 `json:"weight,omitempty"`
	Service      string  `json:"-"`
	ID           string  `json:"-"`
}

// equivalent reports whether two observations are equal apart from ListRevision. Each replica of a discovery service
// assigns its own list revisions. If a difference in ListRevision alone were written, every node would rewrite each
// observation, and each write would notify all other nodes.
func (o Observation) equivalent(other Observation) bool {
	o.ListRevision = other.ListRevision
	return o == other
}

// olderThan reports whether an observation is of an earlier process, or of an earlier phase of the same process. A
// process that drained or left never becomes ready again.
func (o Observation) olderThan(other Observation) bool {
	if o.Start != other.Start {
		return o.Start < other.Start
	}
	return phaseRank(o.Phase) < phaseRank(other.Phase)
}

// impliedBy reports whether an observation adds nothing to a stored entry: the entry is newer, or equal apart from
// ListRevision. The argument value is the encoded observation.
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

// Drain is the value of an entry of KindDrain. It applies to the process with the given start and to earlier ones; a
// process that starts later under the same name is not drained.
type Drain struct {
	Start      int64  `json:"start_ms"` // when the process started; 0: applies to every process of that name
	Since      int64  `json:"since_ms"`
	By         string `json:"by"`
	Until      int64  `json:"until_ms,omitempty"` // 0: does not expire
	Ended      bool   `json:"ended,omitempty"`    // by an operator
	Supersedes int64  `json:"over,omitempty"`     // revision of the drain's entry that the writer had read
}

// lastStart returns the start of the latest process to which a drain applies.
func (d Drain) lastStart() int64 {
	if d.Start == 0 {
		return math.MaxInt64
	}
	return d.Start
}

// covers reports whether a drain applies at the time now to the process that started at start. A start of 0 means
// unknown.
func (d Drain) covers(start, now int64) bool {
	if d.Ended {
		return false
	}
	if d.Until != 0 && now >= d.Until {
		return false
	}
	return d.Start == 0 || start <= d.Start
}

// equivalent reports whether two drains have the same effect, regardless of By and Since.
func (d Drain) equivalent(other Drain) bool {
	return d.lastStart() == other.lastStart() && d.Until == other.Until && d.Ended == other.Ended
}

// reopens reports whether a drain was set after an ended one, whose entry has the given revision: its writer had read
// that entry, or it applies to a later process. Times can't decide that, since the node that sets the new drain may
// have a slow clock.
func (d Drain) reopens(ended Drain, revision int64) bool {
	return d.Supersedes >= revision || d.Start != 0 && d.lastStart() > ended.lastStart()
}

// weakerThan reports whether a drain covers less than another: earlier processes, or the same ones for a shorter time.
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

// extends reports whether a drain that only this node knows covers more than the stored one, whose entry has the given
// revision.
func (d Drain) extends(stored Drain, revision int64) bool {
	if stored.Ended && !d.Ended {
		return d.reopens(stored, revision)
	}
	return stored.weakerThan(d)
}
