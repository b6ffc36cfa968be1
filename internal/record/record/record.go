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
	Tenant  Kind = "tenant"  // its name is SERVICE/TENANT
	Service Kind = "service" // a pool
	Route   Kind = "route"
	Server  Kind = "server" // its name is SERVICE/SERVER
	Drain   Kind = "drain"  // its name is SERVICE/SERVER, too
)

// Kinds are all of them, drains first: in that order facts are written.
var Kinds = []Kind{Drain, Service, Tenant, Route, Server}

// Limits of what is taken.
const (
	MostName  = 512
	MostValue = 64 << 10
)

// Key names a fact.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Fact is one thing recorded. Times are milliseconds since 1970 by the writer's clock, for people: nothing is ordered by
// them.
type Fact struct {
	Key
	Revision int64           `json:"revision"`          // of the change that made it so; one revision a fact
	Deleted  bool            `json:"deleted,omitempty"` // kept, so that who asks what changed learns of it
	By       string          `json:"by"`                // who wrote it
	Mark     string          `json:"mark"`              // of that write: who does not know whether it was done finds it here
	At       int64           `json:"at_ms"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Any is the Expect of a change that does not ask what was there.
const Any = -1

// Change is what a writer wants.
type Change struct {
	Key
	Expect int64           `json:"Expect"` // the revision that the fact has to have; 0: none yet, or deleted; Any
	Delete bool            `json:"Delete"`
	By     string          `json:"By"`
	Mark   string          `json:"Mark"` // a new one for each change, the same one if it is tried again
	At     int64           `json:"At"`
	Value  json.RawMessage `json:"Value"`
}

// Conflict tells the loser of a race what won.
type Conflict struct {
	Change Change `json:"Change"`
	Now    Fact   `json:"Now"` // Revision 0: there is none
}

func (c *Conflict) Error() string {
	if c.Now.Revision == 0 {
		return fmt.Sprintf("%s %s: revision %d was expected, and there is none", c.Change.Kind, c.Change.Name, c.Change.Expect)
	}
	return fmt.Sprintf("%s %s: revision %d was expected, and it has %d by %s: %s", c.Change.Kind, c.Change.Name, c.Change.Expect, c.Now.Revision,
		c.Now.By, c.Now.Value)
}

// Stale is a change that says what something newer has already undone.
type Stale struct {
	Change Change `json:"Change"`
	Now    Fact   `json:"Now"`
}

func (s *Stale) Error() string {
	return fmt.Sprintf("%s %s: older than what revision %d says: %s", s.Change.Kind, s.Change.Name, s.Now.Revision, s.Now.Value)
}

// Sighting is the value of a server's fact: how it was listed.
type Sighting struct {
	Addr    string  `json:"addr"`
	Phase   string  `json:"phase"` // ready, draining, gone
	Start   int64   `json:"start_ms"`
	Listed  int64   `json:"listed"` // the list's revision at which that was learned
	Zone    int     `json:"zone,omitempty"`
	Cell    int     `json:"cell,omitempty"`
	Weight  float64 `json:"weight,omitempty"`
	Service string  `json:"-"`
	ID      string  `json:"-"`
}

// Drained is the value of a drain's fact. It is about one process: one that started later under the same name is another.
type Drained struct {
	Start int64  `json:"start_ms"` // of the process, 0: whichever it is
	Since int64  `json:"since_ms"`
	By    string `json:"by"`
	Until int64  `json:"until_ms,omitempty"` // 0: for good
	Ended bool   `json:"ended,omitempty"`    // by somebody's word
	Over  int64  `json:"over,omitempty"`     // the revision of the drain's fact that was known when the word was given
}

// last is the start of the last process that a drain is about.
func (d Drained) last() int64 {
	if d.Start == 0 {
		return math.MaxInt64
	}
	return d.Start
}

// same tells whether a drain says what another does, whoever said it and when.
func (d Drained) same(o Drained) bool {
	return d.last() == o.last() && d.Until == o.Until && d.Ended == o.Ended
}

// again tells whether a drain is a new word after the end of another, which stands at a revision. By clocks that could not be
// told: the new word would have to come from one that is not behind.
func (d Drained) again(ended Drained, revision int64) bool {
	return d.Over >= revision || d.Start != 0 && d.last() > ended.last()
}

// Valid tells what is wrong with a change.
func (c *Change) Valid() error {
	bad := func(why string) error { return fmt.Errorf("%s %q: %s", c.Kind, c.Name, why) }
	switch {
	case !slices.Contains(Kinds, c.Kind):
		return bad("no such kind")
	case c.Name == "" || len(c.Name) > MostName || strings.ContainsFunc(c.Name, func(r rune) bool { return r < ' ' || r == 0xfffd }):
		return bad("no proper name")
	case c.Mark == "" || len(c.Mark) > MostName || len(c.By) > MostName:
		return bad("a change needs a mark, and who made it in few words")
	case c.Expect < Any:
		return bad("no proper revision")
	case c.Delete:
		return nil
	case len(c.Value) > MostValue || !json.Valid(c.Value):
		return bad("its value is no JSON, or too long")
	}
	if _, name, ok := strings.Cut(c.Name, "/"); c.Kind != Service && c.Kind != Route && (!ok || name == "") {
		return bad("its name is SERVICE/NAME")
	}
	switch c.Kind {
	case Server:
		var s Sighting
		if err := json.Unmarshal(c.Value, &s); err != nil {
			return bad(err.Error())
		}
		if s.Phase != "ready" && s.Phase != "draining" && s.Phase != "gone" {
			return bad("phase is " + fmt.Sprintf("%q", s.Phase))
		}
	case Drain:
		var d Drained
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
	Write Outcome = iota
	Done          // it was done before: its mark is there
	Same          // nothing would change
)

// Decide says what a change may do to the fact that is there (nil: none). Stores ask it inside their transaction, so that
// all of them keep the same rules: compare and set by revision, and nothing older undoes a drain or a newer process.
func Decide(now *Fact, c *Change) (Outcome, error) {
	if err := c.Valid(); err != nil {
		return 0, err
	}
	if now != nil && now.Mark == c.Mark {
		return Done, nil
	}
	there := int64(0)
	if now != nil && !now.Deleted {
		there = now.Revision
	}
	if c.Expect != Any && c.Expect != there {
		k := &Conflict{Change: *c}
		if now != nil {
			k.Now = *now
		}
		return 0, k
	}
	if now == nil || now.Deleted {
		if c.Delete {
			return Same, nil
		}
		return Write, nil
	}
	if !c.Delete && string(now.Value) == string(c.Value) {
		return Same, nil
	}
	switch c.Kind {
	case Drain:
		var was, is Drained
		if json.Unmarshal(now.Value, &was) != nil || c.Delete {
			return Write, nil // by hand, with Expect
		}
		json.Unmarshal(c.Value, &is)
		if is.same(was) { // all nodes are told of a drain, each at its own time: the first word of it stays
			return Same, nil
		}
		// Of one process the drain that ends later holds, unless it was ended by word, which names the revision it ends.
		undone := older(is, was)
		if was.Ended && !is.Ended {
			undone = !is.again(was, now.Revision)
		}
		if undone && c.Expect != there {
			return 0, &Stale{*c, *now}
		}
	case Server:
		var was, is Sighting
		if json.Unmarshal(now.Value, &was) != nil || c.Delete {
			return Write, nil
		}
		json.Unmarshal(c.Value, &is)
		if same := is; rank(was.Phase) == rank(is.Phase) {
			// Each replica of a discovery numbers its lists by itself: what differs in that alone would be written by each node in turn,
			// and told to all of them each time.
			if same.Listed = was.Listed; same == was {
				return Same, nil
			}
		}
		// A process that drained or left does not come back; nor does an older one than is known.
		if is.Start < was.Start || is.Start == was.Start && rank(is.Phase) < rank(was.Phase) {
			return 0, &Stale{*c, *now}
		}
	}
	return Write, nil
}

// older tells whether a drain says less than another: of a process that started before, or an earlier end for the same.
func older(a, b Drained) bool {
	if a.last() != b.last() {
		return a.last() < b.last()
	}
	if a.Ended != b.Ended {
		return a.Ended
	}
	return b.Until == 0 && a.Until != 0 || a.Until != 0 && b.Until != 0 && a.Until < b.Until
}

func rank(phase string) int { return slices.Index([]string{"ready", "draining", "gone"}, phase) }

// ErrEpoch is a write meant for another epoch of the record than the store's: it was restored or made anew meanwhile.
var ErrEpoch = errors.New("the record has another epoch")

// ErrBack is said to those who follow a copy when its store went back, or was made anew: all of it has to be read again, also where numbers that were given
// anew have passed those known before.
var ErrBack = errors.New("the record went back, or has another epoch: all of it is to be read again")

// ErrBehind is said by a replica's copy to one who stands further, while the store that would know better can't be asked.
var ErrBehind = errors.New("this copy of the record is older than the caller's, and the store can't be asked")

// Meta is where a store stands.
type Meta struct {
	Epoch    string `json:"epoch"` // a new one whenever the record is made, restored or imported
	Revision int64  `json:"revision"`
}

// Sorted puts facts into the order in which they are written and shown.
func Sorted(facts []Fact) []Fact {
	slices.SortFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)), strings.Compare(a.Name, b.Name))
	})
	return facts
}
