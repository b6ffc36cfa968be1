package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// AnyRevision is the ExpectedRevision of a change that does not depend on the entry's revision, or on whether the entry
// exists.
const AnyRevision = -1

// Change is a request to write or delete one entry.
type Change struct {
	Key
	// ExpectedRevision is the revision that the entry must have. 0: there must be no entry, or a deleted one.
	// AnyRevision: the entry may have any revision, or not exist.
	ExpectedRevision int64           `json:"Expect"`
	Delete           bool            `json:"Delete"`
	Writer           string          `json:"By"`
	IdempotencyKey   string          `json:"Mark"` // unique to a change; retries of the change have the same key
	WrittenAt        int64           `json:"At"`
	Value            json.RawMessage `json:"Value"`
}

// InvalidChangeError reports a change with an invalid field. No store accepts it.
type InvalidChangeError struct {
	Key    Key
	Reason string
}

func (e *InvalidChangeError) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Key.Kind, e.Key.Name, e.Reason)
}

// ConflictError rejects a change because the entry does not have the expected revision: another writer has changed the
// entry.
type ConflictError struct {
	Change  Change `json:"Change"`
	Current Entry  `json:"Now"` // its Revision is 0 if there is no entry
}

func (e *ConflictError) Error() string {
	if e.Current.Revision == 0 {
		return fmt.Sprintf("%s %s: expected revision %d, but there is no such entry",
			e.Change.Kind, e.Change.Name, e.Change.ExpectedRevision)
	}
	return fmt.Sprintf("%s %s: expected revision %d, but it has revision %d by %s: %s",
		e.Change.Kind, e.Change.Name, e.Change.ExpectedRevision, e.Current.Revision, e.Current.Writer, e.Current.Value)
}

// StaleError rejects a change that a newer entry, Current, has superseded.
type StaleError struct {
	Change  Change `json:"Change"`
	Current Entry  `json:"Now"`
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("%s %s: superseded by revision %d: %s",
		e.Change.Kind, e.Change.Name, e.Current.Revision, e.Current.Value)
}

// Rejection returns the current entry that caused a store to reject a change. It returns false unless err is or wraps a
// *ConflictError or a *StaleError.
func Rejection(err error) (Entry, bool) {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, true
	}
	var stale *StaleError
	if errors.As(err, &stale) {
		return stale.Current, true
	}
	return Entry{}, false
}

// Validate checks the fields of a change without comparing them to a stored entry. The error is an *InvalidChangeError.
func (c *Change) Validate() error {
	reason := c.invalidField()
	if reason == "" && !c.Delete {
		reason = c.invalidValue()
	}
	if reason == "" {
		return nil
	}
	return &InvalidChangeError{Key: c.Key, Reason: reason}
}

// Validate checks the fields of a stored entry by the rules that Change.Validate applies to the change which writes
// such an entry. The error is an *InvalidChangeError.
func (e Entry) Validate() error {
	change := Change{
		Key:            e.Key,
		Delete:         e.Deleted,
		Writer:         e.Writer,
		IdempotencyKey: e.IdempotencyKey,
		Value:          e.Value,
	}
	return change.Validate()
}

// invalidField checks the fields that changes of all kinds have. It returns the reason why a field is invalid, or an
// empty string if all are valid.
func (c *Change) invalidField() string {
	switch {
	case !slices.Contains(Kinds, c.Kind):
		return "unknown kind"
	case !validName(c.Name):
		return fmt.Sprintf("the name is empty, longer than %d bytes, or has control characters or invalid UTF-8",
			MaxNameLength)
	case c.IdempotencyKey == "":
		return "the idempotency key is missing"
	case len(c.IdempotencyKey) > MaxNameLength || len(c.Writer) > MaxNameLength:
		return fmt.Sprintf("the idempotency key or the writer's name is longer than %d bytes", MaxNameLength)
	case c.ExpectedRevision < AnyRevision:
		return fmt.Sprintf("the expected revision is %d, below %d", c.ExpectedRevision, AnyRevision)
	}
	return ""
}

func validName(name string) bool {
	const replacementCharacter = 0xfffd // the JSON decoder returns it in place of invalid UTF-8
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool { return char < ' ' || char == replacementCharacter })
}

// invalidValue checks a change's value, and whether its name has the form that its kind requires. It returns the reason
// why the value or the name is invalid, or an empty string if both are valid.
func (c *Change) invalidValue() string {
	if len(c.Value) > MaxValueSize {
		return fmt.Sprintf("the value has %d bytes, more than %d", len(c.Value), MaxValueSize)
	}
	if !json.Valid(c.Value) {
		return "the value is not valid JSON"
	}
	if c.Kind != KindService && c.Kind != KindRoute {
		if _, member, _ := strings.Cut(c.Name, "/"); member == "" {
			return "the name is not of the form SERVICE/NAME"
		}
	}
	switch c.Kind {
	case KindServer:
		return invalidObservation(c.Value)
	case KindDrain:
		return invalidDrain(c.Value)
	}
	return ""
}

func invalidObservation(value json.RawMessage) string {
	var observation Observation
	if err := json.Unmarshal(value, &observation); err != nil {
		return err.Error()
	}
	if phaseRank(observation.Phase) < 0 {
		return fmt.Sprintf("unknown phase %q", observation.Phase)
	}
	return ""
}

func invalidDrain(value json.RawMessage) string {
	var drain Drain
	if err := json.Unmarshal(value, &drain); err != nil {
		return err.Error()
	}
	if drain.Since < 0 || drain.Start < 0 || drain.Until < 0 {
		return fmt.Sprintf("a time is before 1970: since_ms %d, start_ms %d, until_ms %d",
			drain.Since, drain.Start, drain.Until)
	}
	return ""
}

// Outcome is what a store does with an accepted change.
type Outcome int

// The outcomes of a change.
const (
	OutcomeWrite          Outcome = iota
	OutcomeAlreadyApplied         // an earlier attempt was written: the entry has the change's idempotency key
	OutcomeUnchanged              // the entry already has the requested state
)

// Evaluate decides whether a change replaces the current entry, which is nil if there is none. Every store calls
// Evaluate in its transaction, so that all stores enforce the same rules: a change is written by compare-and-set on the
// revision, and an outdated change neither undoes a drain nor replaces the observation of a later process. The error is
// an *InvalidChangeError, a *ConflictError or a *StaleError.
func Evaluate(current *Entry, change *Change) (Outcome, error) {
	if err := change.Validate(); err != nil {
		return 0, err
	}
	if current != nil && current.IdempotencyKey == change.IdempotencyKey {
		return OutcomeAlreadyApplied, nil
	}
	if err := checkRevision(current, change); err != nil {
		return 0, err
	}
	if current == nil || current.Deleted {
		if change.Delete {
			return OutcomeUnchanged, nil
		}
		return OutcomeWrite, nil
	}
	if change.Delete {
		return OutcomeWrite, nil
	}
	if string(current.Value) == string(change.Value) {
		return OutcomeUnchanged, nil
	}
	switch change.Kind {
	case KindDrain:
		return evaluateDrain(current, change)
	case KindServer:
		return evaluateObservation(current, change)
	}
	return OutcomeWrite, nil
}

// checkRevision returns a *ConflictError if the current entry does not have the revision that the change expects.
func checkRevision(current *Entry, change *Change) error {
	if change.ExpectedRevision == AnyRevision {
		return nil
	}
	conflict := &ConflictError{Change: *change}
	var revision int64 // stays 0 if there is no entry, or a deleted one
	if current != nil {
		conflict.Current = *current
		if !current.Deleted {
			revision = current.Revision
		}
	}
	if change.ExpectedRevision == revision {
		return nil
	}
	return conflict
}

// evaluateDrain decides whether a drain replaces the stored drain of the same server. A drain that covers more replaces
// the stored drain. A drain that covers less, which includes one that ends the stored drain, replaces it only if the
// change expects the revision of the stored entry. So of two drains of the same process, the one that expires later is
// kept. After an operator has ended the stored drain, a new drain replaces it only if the new drain reopens it, or if
// the change expects the revision of the stored entry.
func evaluateDrain(current *Entry, change *Change) (Outcome, error) {
	stored, ok := current.drain()
	if !ok {
		return OutcomeWrite, nil
	}
	var requested Drain
	json.Unmarshal(change.Value, &requested) // can't fail: Validate has decoded it
	if requested.equivalent(stored) {
		// Nodes are notified of the same drain at different times, so their changes differ in Since. The change that
		// was written first stays.
		return OutcomeUnchanged, nil
	}
	superseded := requested.weakerThan(stored)
	if stored.Ended && !requested.Ended {
		superseded = !requested.reopens(stored, current.Revision)
	}
	if superseded && change.ExpectedRevision != current.Revision {
		return 0, &StaleError{Change: *change, Current: *current}
	}
	return OutcomeWrite, nil
}

// evaluateObservation decides whether an observation replaces the stored observation of the same server. An observation
// replaces the stored one if it is of a later process, of a later phase of the same process, or of the same phase of
// the same process with other data.
func evaluateObservation(current *Entry, change *Change) (Outcome, error) {
	stored, ok := current.observation()
	if !ok {
		return OutcomeWrite, nil
	}
	var requested Observation
	json.Unmarshal(change.Value, &requested) // can't fail: Validate has decoded it
	if requested.equivalent(stored) {
		return OutcomeUnchanged, nil
	}
	if requested.olderThan(stored) {
		return 0, &StaleError{Change: *change, Current: *current}
	}
	return OutcomeWrite, nil
}
