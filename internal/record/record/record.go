// Package record holds the decisions about the store of record: what a change may do to what is recorded, how a node
// merges what the store, discovery and its own memory say, and in what order what it knows is written. It knows no
// database, no file and no clock.
package record

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Kind is what a fact is about.
type Kind string

const (
	KindTenant  Kind = "tenant"  // its name is SERVICE/TENANT
	KindService Kind = "service" // a pool
	KindRoute   Kind = "route"
	KindServer  Kind = "server" // its name is SERVICE/SERVER
	KindDrain   Kind = "drain"  // its name is SERVICE/SERVER, too
)

// Kinds are all of them, drains first: in that order facts are written.
var Kinds = []Kind{KindDrain, KindService, KindTenant, KindRoute, KindServer}

// Limits of what is taken.
const (
	MaxNameLength = 512
	MaxValueSize  = 64 << 10
)

// Key names a fact.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Entry is one thing recorded. Times are milliseconds since 1970 by the writer's clock, for people: nothing is ordered by
// them.
type Entry struct {
	Key
	Revision       int64           `json:"revision"`          // of the change that made it so; one revision a fact
	Deleted        bool            `json:"deleted,omitempty"` // kept, so that who asks what changed learns of it
	Writer         string          `json:"by"`                // who wrote it
	IdempotencyKey string          `json:"mark"`              // of that write: who does not know whether it was done finds it here
	WrittenAt      int64           `json:"at_ms"`
	Value          json.RawMessage `json:"value,omitempty"`
}

// AnyRevision is the Expect of a change that does not ask what was there.
const AnyRevision = -1

// Change is what a writer wants.
type Change struct {
	Key
	ExpectedRevision int64           `json:"Expect"` // the revision that the fact has to have; 0: none yet, or deleted; Any
	Delete           bool            `json:"Delete"`
	Writer           string          `json:"By"`
	IdempotencyKey   string          `json:"Mark"` // a new one for each change, the same one if it is tried again
	WrittenAt        int64           `json:"At"`
	Value            json.RawMessage `json:"Value"`
}

// ConflictError tells the loser of a race what won.
type ConflictError struct {
	Change  Change `json:"Change"`
	Current Entry  `json:"Now"` // Revision 0: there is none
}

func (c *ConflictError) Error() string {
	if c.Current.Revision == 0 {
		return fmt.Sprintf("%s %s: revision %d was expected, and there is none", c.Change.Kind, c.Change.Name, c.Change.ExpectedRevision)
	}
	return fmt.Sprintf("%s %s: revision %d was expected, and it has %d by %s: %s", c.Change.Kind, c.Change.Name, c.Change.ExpectedRevision, c.Current.Revision,
		c.Current.Writer, c.Current.Value)
}

// StaleError is a change that says what something newer has already undone.
type StaleError struct {
	Change  Change `json:"Change"`
	Current Entry  `json:"Now"`
}

func (s *StaleError) Error() string {
	return fmt.Sprintf("%s %s: older than what revision %d says: %s", s.Change.Kind, s.Change.Name, s.Current.Revision, s.Current.Value)
}

// Observation is the value of a server's fact: how it was listed.
type Observation struct {
	Addr         string  `json:"addr"`
	Phase        string  `json:"phase"` // ready, draining, gone
	Start        int64   `json:"start_ms"`
	ListRevision int64   `json:"listed"` // the list's revision at which that was learned
	Zone         int     `json:"zone,omitempty"`
	Cell         int     `json:"cell,omitempty"`
	Weight       float64 `json:"weight,omitempty"`
	Service      string  `json:"-"`
	ID           string  `json:"-"`
}

// Drain is the value of a drain's fact. It is about one process: one that started later under the same name is another.
type Drain struct {
	Start      int64  `json:"start_ms"` // of the process, 0: whichever it is
	Since      int64  `json:"since_ms"`
	By         string `json:"by"`
	Until      int64  `json:"until_ms,omitempty"` // 0: for good
	Ended      bool   `json:"ended,omitempty"`    // by somebody's word
	Supersedes int64  `json:"over,omitempty"`     // the revision of the drain's fact that was known when the word was given
}

// last is the start of the last process that a drain is about.
func (d Drain) last() int64 {
	if d.Start == 0 {
		return math.MaxInt64
	}
	return d.Start
}

// same tells whether a drain says what another does, whoever said it and when.
func (d Drain) same(o Drain) bool {
	return d.last() == o.last() && d.Until == o.Until && d.Ended == o.Ended
}

// again tells whether a drain is a new word after the end of another, which stands at a revision. By clocks that could not be
// told: the new word would have to come from one that is not behind.
func (d Drain) again(ended Drain, revision int64) bool {
	return d.Supersedes >= revision || d.Start != 0 && d.last() > ended.last()
}

// Validate tells what is wrong with a change.
func (c *Change) Validate() error {
	bad := func(why string) error { return fmt.Errorf("%s %q: %s", c.Kind, c.Name, why) }
	switch {
	case !slices.Contains(Kinds, c.Kind):
		return bad("no such kind")
	case c.Name == "" || len(c.Name) > MaxNameLength || strings.ContainsFunc(c.Name, func(r rune) bool { return r < ' ' || r == 0xfffd }):
		return bad("no proper name")
	case c.IdempotencyKey == "" || len(c.IdempotencyKey) > MaxNameLength || len(c.Writer) > MaxNameLength:
		return bad("a change needs a mark, and who made it in few words")
	case c.ExpectedRevision < AnyRevision:
		return bad("no proper revision")
	case c.Delete:
		return nil
	case len(c.Value) > MaxValueSize || !json.Valid(c.Value):
		return bad("its value is no JSON, or too long")
	}
	if _, name, ok := strings.Cut(c.Name, "/"); c.Kind != KindService && c.Kind != KindRoute && (!ok || name == "") {
		return bad("its name is SERVICE/NAME")
	}
	switch c.Kind {
	case KindServer:
		var s Observation
		if err := json.Unmarshal(c.Value, &s); err != nil {
			return bad(err.Error())
		}
		if s.Phase != "ready" && s.Phase != "draining" && s.Phase != "gone" {
			return bad("phase is " + fmt.Sprintf("%q", s.Phase))
		}
	case KindDrain:
		var d Drain
		if err := json.Unmarshal(c.Value, &d); err != nil {
			return bad(err.Error())
		}
		if d.Since < 0 || d.Start < 0 || d.Until < 0 {
			return bad("a time before 1970")
		}
	}
	return nil
}

// Outcome is what a change does.
type Outcome int

const (
	OutcomeWrite          Outcome = iota
	OutcomeAlreadyApplied         // it was done before: its mark is there
	OutcomeUnchanged              // nothing would change
)

// Evaluate says what a change may do to the fact that is there (nil: none). Stores ask it inside their transaction, so that
// all of them keep the same rules: compare and set by revision, and nothing older undoes a drain or a newer process.
func Evaluate(now *Entry, c *Change) (Outcome, error) {
	if err := c.Validate(); err != nil {
		return 0, err
	}
	if now != nil && now.IdempotencyKey == c.IdempotencyKey {
		return OutcomeAlreadyApplied, nil
	}
	there := int64(0)
	if now != nil && !now.Deleted {
		there = now.Revision
	}
	if c.ExpectedRevision != AnyRevision && c.ExpectedRevision != there {
		k := &ConflictError{Change: *c}
		if now != nil {
			k.Current = *now
		}
		return 0, k
	}
	if now == nil || now.Deleted {
		if c.Delete {
			return OutcomeUnchanged, nil
		}
		return OutcomeWrite, nil
	}
	if !c.Delete && string(now.Value) == string(c.Value) {
		return OutcomeUnchanged, nil
	}
	switch c.Kind {
	case KindDrain:
		var was, is Drain
		if json.Unmarshal(now.Value, &was) != nil || c.Delete {
			return OutcomeWrite, nil // by hand, with Expect
		}
		json.Unmarshal(c.Value, &is)
		if is.same(was) { // all nodes are told of a drain, each at its own time: the first word of it stays
			return OutcomeUnchanged, nil
		}
		// Of one process the drain that ends later holds, unless it was ended by word, which names the revision it ends.
		undone := older(is, was)
		if was.Ended && !is.Ended {
			undone = !is.again(was, now.Revision)
		}
		if undone && c.ExpectedRevision != there {
			return 0, &StaleError{*c, *now}
		}
	case KindServer:
		var was, is Observation
		if json.Unmarshal(now.Value, &was) != nil || c.Delete {
			return OutcomeWrite, nil
		}
		json.Unmarshal(c.Value, &is)
		if same := is; rank(was.Phase) == rank(is.Phase) {
			// Each replica of a discovery numbers its lists by itself: what differs in that alone would be written by each node in turn,
			// and told to all of them each time.
			if same.ListRevision = was.ListRevision; same == was {
				return OutcomeUnchanged, nil
			}
		}
		// A process that drained or left does not come back; nor does an older one than is known.
		if is.Start < was.Start || is.Start == was.Start && rank(is.Phase) < rank(was.Phase) {
			return 0, &StaleError{*c, *now}
		}
	}
	return OutcomeWrite, nil
}

// older tells whether a drain says less than another: of a process that started before, or an earlier end for the same.
func older(a, b Drain) bool {
	if a.last() != b.last() {
		return a.last() < b.last()
	}
	if a.Ended != b.Ended {
		return a.Ended
	}
	return b.Until == 0 && a.Until != 0 || a.Until != 0 && b.Until != 0 && a.Until < b.Until
}

func rank(phase string) int { return slices.Index([]string{"ready", "draining", "gone"}, phase) }

// ErrEpochMismatch is a write meant for another epoch of the record than the store's: it was restored or made anew meanwhile.
var ErrEpochMismatch = errors.New("the record has another epoch")

// ErrRolledBack is said to those who follow a copy when its store went back, or was made anew: all of it has to be read again, also where numbers that were given
// anew have passed those known before.
var ErrRolledBack = errors.New("the record went back, or has another epoch: all of it is to be read again")

// ErrReplicaBehind is said by a replica's copy to one who stands further, while the store that would know better can't be asked.
var ErrReplicaBehind = errors.New("this copy of the record is older than the caller's, and the store can't be asked")

// Meta is where a store stands.
type Meta struct {
	Epoch    string `json:"epoch"` // a new one whenever the record is made, restored or imported
	Revision int64  `json:"revision"`
}

// SortEntries puts facts into the order in which they are written and shown.
func SortEntries(facts []Entry) []Entry {
	slices.SortFunc(facts, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)), strings.Compare(a.Name, b.Name))
	})
	return facts
}
