package replica

import (
	"fmt"

	"robincart/internal/record/record"
)

// Limits of a node's write.
const (
	MaxChangesPerCall = 1000
	MaxValueSize      = 4 << 10 // bytes: observations and drains are short
)

// ForbiddenChangeError reports a change that nodes may not make: services, routes and tenants are configured by
// operators and the controller's leader, at the store.
type ForbiddenChangeError struct {
	Key record.Key
}

func (e *ForbiddenChangeError) Error() string {
	return fmt.Sprintf("%s %s: a node writes observations of servers and drains, and nothing else",
		e.Key.Kind, e.Key.Name)
}

// CheckAllowed returns an error if a node may not make one of the changes: if it is not one of a server or a drain, or
// beyond the limits.
func CheckAllowed(epoch string, changes []record.Change) error {
	if len(changes) > MaxChangesPerCall {
		return fmt.Errorf("%d changes in one call are more than %d", len(changes), MaxChangesPerCall)
	}
	if len(epoch) > record.MaxNameLength {
		return record.ErrEpochMismatch
	}
	for i := range changes {
		if err := checkChange(&changes[i]); err != nil {
			return err
		}
	}
	return nil
}

func checkChange(change *record.Change) error {
	if err := change.Validate(); err != nil {
		return err
	}
	if len(change.Value) > MaxValueSize {
		return fmt.Errorf("%s %s: a value of %d bytes is more than %d",
			change.Kind, change.Name, len(change.Value), MaxValueSize)
	}
	switch change.Kind {
	case record.KindServer:
		return nil
	case record.KindDrain:
		if !change.Delete {
			return nil
		}
	}
	return &ForbiddenChangeError{Key: change.Key}
}
