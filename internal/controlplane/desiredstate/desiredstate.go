// Package desiredstate decides what the objects of a cluster manager that wish for services, routes and quotas make of the record, and
// what each of them is told. It is level-triggered: from all objects and all facts to what is to be written, and it knows no
// store, no API and no clock.
package desiredstate

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/record/record"
)

// Writer is who writes these facts. Facts by anybody else are not touched.
const Writer = "controller"

// Object is one wish as the API has it.
type Object struct {
	Key        string // NAMESPACE/NAME
	UID        string
	Generation int64
	CreatedAt  int64 // in milliseconds of Unix time
	Spec       Spec
	Malformed  string // why its spec could not be read; empty: it could
}

// Spec is what it wishes for.
type Spec struct {
	Kind string `json:"kind"` // service, route or tenant
	Name string `json:"name"` // a tenant's is SERVICE/TENANT
	Text string `json:"text"` // a service's or a route's as in the operator's file; a tenant's {"quota":..,"weight":..}
}

// Status is what an object is told.
type Status struct {
	Accepted   bool   `json:"accepted"`
	Reason     string `json:"reason,omitempty"`
	Generation int64  `json:"observedGeneration"`
	Revision   int64  `json:"recordRevision,omitempty"` // of the fact that it made
	Epoch      string `json:"recordEpoch,omitempty"`
	// Of a service that the controller tells a list of: how many nodes follow that here, and its revision.
	Nodes        int64 `json:"nodes,omitempty"`
	ListRevision int64 `json:"listRevision,omitempty"`
}

// Reconcile tells what is to be written, and each object's status by its key. Marks come from the function, a new one each time.
// A fact without an object is taken out only if the objects are whole: a list that is lacking is no word.
func Reconcile(objects []Object, whole bool, facts []record.Entry, epoch string, mark func() string) ([]record.Change, map[string]Status) {
	there := map[record.Key]record.Entry{}
	for _, f := range facts {
		if !f.Deleted && (f.Kind == record.KindService || f.Kind == record.KindRoute || f.Kind == record.KindTenant) {
			there[f.Key] = f
		}
	}
	objects = slices.Clone(objects)
	slices.SortFunc(objects, func(a, b Object) int { // the first who wished holds a name
		return cmp.Or(cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.UID, b.UID))
	})
	var changes []record.Change
	told, holds := map[string]Status{}, map[record.Key]string{}
	for _, o := range objects {
		s := Status{Generation: o.Generation}
		key, value, err := o.fact()
		holder, held := holds[key]
		f, is := there[key]
		switch {
		case err != nil:
			s.Reason = err.Error()
		case held:
			s.Reason = fmt.Sprintf("%s %s is wished for by %s already", key.Kind, key.Name, holder)
		case is && f.Writer != Writer && !same(f.Value, value):
			holds[key] = o.Key
			s.Reason = fmt.Sprintf("the record has another %s %s, by %s: take that out first", key.Kind, key.Name, f.Writer)
		case is && same(f.Value, value):
			holds[key] = o.Key
			s.Accepted, s.Revision, s.Epoch = true, f.Revision, epoch
		default:
			holds[key] = o.Key
			s.Reason = "being written to the record"
			changes = append(changes, record.Change{Key: key, ExpectedRevision: f.Revision, Writer: Writer, IdempotencyKey: mark(), Value: value})
		}
		told[o.Key] = s
	}
	if whole {
		for key, f := range there {
			if _, held := holds[key]; !held && f.Writer == Writer {
				changes = append(changes, record.Change{Key: key, ExpectedRevision: f.Revision, Delete: true, Writer: Writer, IdempotencyKey: mark()})
			}
		}
	}
	slices.SortFunc(changes, func(a, b record.Change) int { // services before what names them
		return cmp.Or(cmp.Compare(slices.Index(record.Kinds, a.Kind), slices.Index(record.Kinds, b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	return changes, told
}

// same tells whether two values say the same, however they are spaced.
func same(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// fact is what an object wishes to stand in the record, checked.
func (o *Object) fact() (record.Key, json.RawMessage, error) {
	key := record.Key{Kind: record.Kind(o.Spec.Kind), Name: o.Spec.Name}
	if o.Malformed != "" {
		return key, nil, fmt.Errorf("spec: %s", o.Malformed)
	}
	var value json.RawMessage
	switch key.Kind {
	case record.KindService, record.KindRoute:
		var err error
		if value, err = json.Marshal(map[string]string{"toml": o.Spec.Text}); err != nil {
			return key, nil, err
		}
	case record.KindTenant:
		value = json.RawMessage(o.Spec.Text)
	default:
		return key, nil, fmt.Errorf("spec.kind is %q, not service, route or tenant", o.Spec.Kind)
	}
	c := record.Change{Key: key, IdempotencyKey: "check", Value: value}
	if err := c.Validate(); err != nil {
		return key, nil, err
	}
	return key, value, nodeconfig.ValidateEntry(record.Entry{Key: key, Value: value})
}
