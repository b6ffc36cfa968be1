// Package desiredstate computes the changes to the record that Setting objects require, and the status of each object.
// Setting objects belong to the cluster manager's API and define services, routes and quotas.
//
// The computation is level-triggered: it compares all objects with all entries of the record. The package has no I/O
// and no clock: package controller reads the objects and the record, and writes the changes and statuses.
package desiredstate

import (
	"cmp"
	"fmt"
	"slices"

	"robincart/internal/record/record"
)

// Writer is the name of the writer in the entries that are written for Setting objects. Entries of other writers are
// not changed.
const Writer = "controller"

// reasonPending is the reason in the status of an object whose entry is being written.
const reasonPending = "being written to the record"

// reconciliation is the state of one call of Reconcile.
type reconciliation struct {
	present           map[record.Key]record.Entry // entries of the kinds that objects can define
	owners            map[record.Key]string       // key of the object that defines an entry, by key of the entry
	epoch             string
	newIdempotencyKey func() string
	changes           []record.Change
}

// Reconcile returns the changes to write to the record, and the status of each object by the object's key. If the list
// of objects is complete, the changes also delete the entries of Writer that no object defines. newIdempotencyKey must
// return a new key on each call.
func Reconcile(
	objects []Object, complete bool, entries []record.Entry, epoch string, newIdempotencyKey func() string,
) ([]record.Change, map[string]Status) {
	r := &reconciliation{
		present:           definableEntries(entries),
		owners:            make(map[record.Key]string),
		epoch:             epoch,
		newIdempotencyKey: newIdempotencyKey,
	}
	statuses := make(map[string]Status, len(objects))
	for _, object := range sortedByCreation(objects) {
		statuses[object.Key] = r.reconcile(object)
	}
	if complete {
		r.deleteUndefined()
	}
	sortByDependency(r.changes)
	return r.changes, statuses
}

// definableEntries returns the entries of the kinds that objects can define, by key. Deleted entries are left out.
func definableEntries(entries []record.Entry) map[record.Key]record.Entry {
	byKey := make(map[record.Key]record.Entry, len(entries))
	for _, entry := range entries {
		switch entry.Kind {
		case record.KindService, record.KindRoute, record.KindTenant:
			if !entry.Deleted {
				byKey[entry.Key] = entry
			}
		}
	}
	return byKey
}

// sortedByCreation returns the objects from the oldest to the newest: if two objects define the same entry, the older
// object takes effect.
func sortedByCreation(objects []Object) []Object {
	return slices.SortedFunc(slices.Values(objects), func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.UID, b.UID))
	})
}

// reconcile returns the status of one object. If the object requires a change of the record, reconcile appends the
// change to r.changes.
func (r *reconciliation) reconcile(object Object) Status {
	status := Status{Generation: object.Generation}
	desired, err := object.entry()
	if err != nil {
		status.Reason = err.Error()
		return status
	}
	key := desired.Key
	if owner, owned := r.owners[key]; owned {
		status.Reason = fmt.Sprintf("%s %s is already defined by object %s", key.Kind, key.Name, owner)
		return status
	}
	r.owners[key] = object.Key
	present, exists := r.present[key]
	switch {
	case exists && sameJSON(present.Value, desired.Value):
		status.Accepted = true
		status.Revision = present.Revision
		status.Epoch = r.epoch
	case exists && present.Writer != Writer:
		status.Reason = fmt.Sprintf("the record already has a different %s %s, written by %s: remove that entry first",
			key.Kind, key.Name, present.Writer)
	default:
		status.Reason = reasonPending
		r.changes = append(r.changes, record.Change{
			Key:              key,
			ExpectedRevision: present.Revision,
			Writer:           Writer,
			IdempotencyKey:   r.newIdempotencyKey(),
			Value:            desired.Value,
		})
	}
	return status
}

// deleteUndefined appends changes that delete the entries of Writer that no object defines any more.
func (r *reconciliation) deleteUndefined() {
	for key, entry := range r.present {
		if _, owned := r.owners[key]; owned || entry.Writer != Writer {
			continue
		}
		r.changes = append(r.changes, record.Change{
			Key:              key,
			ExpectedRevision: entry.Revision,
			Delete:           true,
			Writer:           Writer,
			IdempotencyKey:   r.newIdempotencyKey(),
		})
	}
}

// sortByDependency sorts services before the routes and tenants that refer to them.
func sortByDependency(changes []record.Change) {
	slices.SortFunc(changes, func(a, b record.Change) int {
		return cmp.Or(
			cmp.Compare(slices.Index(record.Kinds, a.Kind), slices.Index(record.Kinds, b.Kind)),
			cmp.Compare(a.Name, b.Name),
		)
	})
}
