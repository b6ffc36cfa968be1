// Package desiredstate decides what the cluster manager's Setting objects, which define services, routes and quotas,
// mean for the record: which entries are to be written, and which status each object gets.
//
// It is level-triggered: from all objects and all entries to what is to be written. It has no I/O and no clock; package
// controller reads the objects and the record, and writes what comes out.
package desiredstate

import (
	"cmp"
	"fmt"
	"slices"

	"robincart/internal/record/record"
)

// Writer is the writer of the entries that objects define. Entries of other writers are left as they are.
const Writer = "controller"

// reasonPending is the reason of an object whose entry is being written.
const reasonPending = "being written to the record"

// reconciliation is one run of Reconcile.
type reconciliation struct {
	present           map[record.Key]record.Entry // entries of the kinds that objects define
	owners            map[record.Key]string       // the key of the object that defines an entry
	epoch             string
	newIdempotencyKey func() string
	changes           []record.Change
}

// Reconcile returns what is to be written to the record, and each object's status by its key. An entry that no object
// defines is deleted, but only if the list of objects is complete. The function has to return a new key each time.
func Reconcile(
	objects []Object, complete bool, entries []record.Entry, epoch string, newIdempotencyKey func() string,
) ([]record.Change, map[string]Status) {
	r := &reconciliation{
		present:           definable(entries),
		owners:            make(map[record.Key]string),
		epoch:             epoch,
		newIdempotencyKey: newIdempotencyKey,
	}
	statuses := make(map[string]Status, len(objects))
	for _, object := range inOrderOfCreation(objects) {
		statuses[object.Key] = r.reconcile(object)
	}
	if complete {
		r.deleteUndefined()
	}
	sortByDependency(r.changes)
	return r.changes, statuses
}

// definable returns the entries of the kinds that objects define, by key.
func definable(entries []record.Entry) map[record.Key]record.Entry {
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

// inOrderOfCreation returns the objects so that of two which define the same entry the older one comes first, and
// defines it.
func inOrderOfCreation(objects []Object) []Object {
	return slices.SortedFunc(slices.Values(objects), func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.UID, b.UID))
	})
}

// reconcile returns the status of one object, and notes the change that it needs.
func (r *reconciliation) reconcile(object Object) Status {
	status := Status{Generation: object.Generation}
	desired, err := object.entry()
	if err != nil {
		status.Reason = err.Error()
		return status
	}
	key := desired.Key
	if owner, owned := r.owners[key]; owned {
		status.Reason = fmt.Sprintf("%s %s is defined by %s already", key.Kind, key.Name, owner)
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
		status.Reason = fmt.Sprintf("the record has another %s %s, by %s: take that out first",
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

// deleteUndefined notes the deletion of the entries that objects defined and none does any more.
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

// sortByDependency puts services before the routes and tenants that name them.
func sortByDependency(changes []record.Change) {
	slices.SortFunc(changes, func(a, b record.Change) int {
		return cmp.Or(
			cmp.Compare(slices.Index(record.Kinds, a.Kind), slices.Index(record.Kinds, b.Kind)),
			cmp.Compare(a.Name, b.Name),
		)
	})
}
