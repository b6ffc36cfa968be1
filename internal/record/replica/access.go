package replica

import (
	"fmt"

	"robincart/internal/record/record"
)

// Limits of one call by which a node writes changes.
const (
	MaxChangesPerCall = 1000
	MaxValueSize      = 4 << 10 // bytes per value; observations and drains are short
)

// ForbiddenChangeError reports a change that nodes may not make. Only operators and the controller's leader write
// services, routes and tenants, and they write directly to the store.
type ForbiddenChangeError struct {
	Key record.Key
}

func (e *ForbiddenChangeError) Error() string {
	return fmt.Sprintf("%s %s: a node writes observations of servers and drains, and nothing else",
		e.Key.Kind, e.Key.Name)
}

// CheckAllowed returns an error if a node may not make one of the changes, or if the call exceeds a limit. A node may
// write and delete entries of servers. It may write drains, but not delete them.
func CheckAllowed(epoch string, changes []record.Change) error {
	if len(changes) > MaxChangesPerCall {
		return fmt.Errorf("the call has %d changes, more than %d", len(changes), MaxChangesPerCall)
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
		return fmt.Errorf("%s %s: the value has %d bytes, more than %d",
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
